// Decodes heartbeats with a streaming (SAX) CBOR parser that fills the struct without an intermediate tree.
//
// It rejects whatever `decode` rejects, and missing or mistyped fields. The tests compare it with a decoder that reads
// the tree.
#include <algorithm>
#include <array>
#include <bitset>
#include <cmath>

#include "cbor_structure.hpp"
#include "json_fields.hpp"
#include "loftrouter/wire/worker.hpp"
#include "protocol_names.hpp"
#include "task_sets.hpp"

namespace loftrouter::wire {

namespace {

class HeartbeatReader final : public nlohmann::json_sax<Json> {
public:
  // Returns the heartbeat if the message was complete and had all required fields.
  std::optional<Heartbeat> take() {
    if (!complete_ || (fields_read_ & kRequiredKeys) != kRequiredKeys) return std::nullopt;
    return std::move(heartbeat_);
  }

  // Treats null as a missing field.
  bool null() override { return depth_ > 0 && !in_task_list(); }

  bool boolean(bool value) override {
    if (in_heartbeat() && key_ == Key::Spot) {
      heartbeat_.spot = value;
      mark_field_read();
    } else if (in_task() && task_key_ == TaskKey::Saved) {
      heartbeat_.tasks.back().saved = value;
    }
    return value_allowed();
  }

  bool number_integer(number_integer_t value) override {
    return value >= 0 ? number_unsigned(static_cast<number_unsigned_t>(value))
                      : read_number(static_cast<double>(value));
  }

  bool number_unsigned(number_unsigned_t value) override {
    if (in_heartbeat()) {
      if (std::uint64_t *const target = integer_target()) {
        *target = value;
        mark_field_read();
      }
    } else if (in_task() && task_key_ == TaskKey::Attempt) {
      heartbeat_.tasks.back().attempt = value;
      mark_task_field_read();
    }
    return read_number(static_cast<double>(value));
  }

  bool number_float(number_float_t value, const string_t &) override {
    return std::isfinite(value) && read_number(value);
  }

  bool string(string_t &value) override {
    if (!valid_utf8(value)) return false;
    if (in_heartbeat())
      read_heartbeat_text(value);
    else if (in_task())
      read_task_text(value);
    return value_allowed();
  }

  bool binary(binary_t &) override { return false; }

  bool key(string_t &name) override {
    if (!valid_utf8(name)) return false;
    key_ = in_heartbeat() ? find_key(name, kHeartbeatKeys) : Key::Unknown;
    task_key_ = in_task() ? find_key(name, kTaskKeys) : TaskKey::Unknown;
    Level &level = levels_[depth_];
    if (key_ != Key::Unknown) return mark_key_seen(level, static_cast<std::size_t>(key_));
    if (task_key_ != TaskKey::Unknown) return mark_key_seen(level, static_cast<std::size_t>(task_key_));
    auto &names = level.unknown_names;
    if (std::find(names.begin(), names.end(), name) != names.end()) return false;
    names.push_back(std::move(name));
    return true;
  }

  bool start_object(std::size_t) override {
    const bool task = in_task_list();
    if (depth_ > 0 && !task && !value_allowed()) return false;
    if (!open_level()) return false;
    if (task) {
      heartbeat_.tasks.emplace_back();
      task_fields_read_.reset();
    }
    return true;
  }

  bool start_array(std::size_t) override {
    if (depth_ == 0) return false;
    const bool task_list = in_heartbeat() && key_ == Key::Tasks;
    if (!task_list && !value_allowed()) return false;
    if (!open_level()) return false;
    task_list_open_ |= task_list;
    return true;
  }

  bool end_object() override {
    if (in_task() && !end_task()) return false;
    --depth_;
    complete_ = depth_ == 0;
    return true;
  }

  bool end_array() override {
    --depth_;
    if (in_heartbeat()) task_list_open_ = false;
    return true;
  }

  bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override { return false; }

private:
  enum class Key : std::uint8_t {
    Machine,
    Address,
    Type,
    Zone,
    Incarnation,
    Sequence,
    FencingToken,
    Spot,
    Notice,
    Tasks,
    Unknown
  };
  enum class TaskKey : std::uint8_t { Name, Attempt, Phase, Cause, Saved, Unknown };
  using KeySet = std::bitset<static_cast<std::size_t>(Key::Unknown)>;

  template <class Enum> struct NamedKey {
    const char *name;
    Enum key;
  };
  static constexpr NamedKey<Key> kHeartbeatKeys[] = {{field::kMachine, Key::Machine},
                                                     {field::kAddress, Key::Address},
                                                     {field::kMachineType, Key::Type},
                                                     {field::kZone, Key::Zone},
                                                     {field::kIncarnation, Key::Incarnation},
                                                     {field::kSequence, Key::Sequence},
                                                     {field::kFencingToken, Key::FencingToken},
                                                     {field::kSpot, Key::Spot},
                                                     {field::kNoticeS, Key::Notice},
                                                     {field::kTasks, Key::Tasks}};
  static constexpr NamedKey<TaskKey> kTaskKeys[] = {{field::kTask, TaskKey::Name},
                                                    {field::kAttempt, TaskKey::Attempt},
                                                    {field::kState, TaskKey::Phase},
                                                    {field::kExitCause, TaskKey::Cause},
                                                    {field::kSaved, TaskKey::Saved}};
  // A heartbeat requires the keys declared before Notice, a task those before Cause.
  static constexpr KeySet kRequiredKeys{(1U << static_cast<unsigned>(Key::Notice)) - 1};
  static constexpr KeySet kRequiredTaskKeys{(1U << static_cast<unsigned>(TaskKey::Cause)) - 1};
  static constexpr std::size_t kMaxDepth = DecodeLimits{}.depth;

  // Holds the keys seen so far in an open map, to reject duplicates.
  struct Level {
    KeySet known_keys;
    std::vector<std::string> unknown_names;
  };

  template <class Enum, std::size_t Count>
  static Enum find_key(std::string_view name, const NamedKey<Enum> (&keys)[Count]) {
    for (const auto &candidate : keys)
      if (name == candidate.name) return candidate.key;
    return Enum::Unknown;
  }

  static bool mark_key_seen(Level &level, std::size_t key) {
    if (level.known_keys[key]) return false;
    level.known_keys.set(key);
    return true;
  }

  // These functions return whether the parser is in the heartbeat's map, in its task list, or in a task's map. The list
  // accepts only maps, so an open level below it is a task.
  bool in_heartbeat() const { return depth_ == 1; }
  bool in_task_list() const { return depth_ == 2 && task_list_open_; }
  bool in_task() const { return depth_ == 3 && task_list_open_; }

  // Returns whether a value of any type may occur here. The task list, the notice and the tasks require a certain type:
  // their callbacks accept an array, a number and maps before they call this function.
  bool value_allowed() const {
    if (depth_ == 0 || in_task_list()) return false;
    return !in_heartbeat() || (key_ != Key::Tasks && key_ != Key::Notice);
  }

  bool open_level() {
    if (depth_ >= kMaxDepth) return false;
    ++depth_;
    levels_[depth_].known_keys.reset();
    levels_[depth_].unknown_names.clear();
    return true;
  }

  void mark_field_read() { fields_read_.set(static_cast<std::size_t>(key_)); }
  void mark_task_field_read() { task_fields_read_.set(static_cast<std::size_t>(task_key_)); }

  // Returns the member for the current integer field, or null.
  std::uint64_t *integer_target() {
    switch (key_) {
    case Key::Incarnation:
      return &heartbeat_.incarnation;
    case Key::Sequence:
      return &heartbeat_.sequence;
    case Key::FencingToken:
      return &heartbeat_.fencing_token;
    default:
      return nullptr;
    }
  }

  // Returns the member for the current text field, or null.
  std::string *text_target() {
    switch (key_) {
    case Key::Machine:
      return &heartbeat_.machine;
    case Key::Address:
      return &heartbeat_.address;
    case Key::Type:
      return &heartbeat_.type;
    case Key::Zone:
      return &heartbeat_.zone;
    default:
      return nullptr;
    }
  }

  // Stores the notice; returns whether a number may occur here.
  bool read_number(double value) {
    if (!in_heartbeat() || key_ != Key::Notice) return value_allowed();
    heartbeat_.notice_s = std::max(0.0, value);
    return true;
  }

  void read_heartbeat_text(std::string &value) {
    std::string *const target = text_target();
    if (!target || value.empty() || value.size() > kMaxTextBytes) return;
    *target = std::move(value);
    mark_field_read();
  }

  void read_task_text(const std::string &value) {
    TaskStatus &task = heartbeat_.tasks.back();
    if (task_key_ == TaskKey::Name) {
      read_task_name(value, task);
    } else if (task_key_ == TaskKey::Phase) {
      const auto phase = spelling::kTaskPhases.find(value);
      if (!phase) return;
      task.phase = *phase;
      mark_task_field_read();
    } else if (task_key_ == TaskKey::Cause) {
      const auto cause = spelling::kExitCauses.find(value);
      if (!cause) return;
      task.cause = *cause;
      mark_task_field_read();
    }
  }

  void read_task_name(const std::string &value, TaskStatus &task) {
    if (value.size() > kMaxTextBytes) return;
    auto name = parse_task_name(value);
    if (!name) return;
    task.job = std::move(name->job);
    task.index = name->index;
    mark_task_field_read();
  }

  // Returns whether the task has all required fields. An exit with a missing or unknown cause counts as an error.
  bool end_task() {
    if ((task_fields_read_ & kRequiredTaskKeys) != kRequiredTaskKeys) return false;
    TaskStatus &task = heartbeat_.tasks.back();
    const bool cause_read = task_fields_read_[static_cast<std::size_t>(TaskKey::Cause)];
    if (!cause_read && task.phase == TaskPhase::Exited) task.cause = ExitCause::Error;
    return true;
  }

  Heartbeat heartbeat_;
  std::size_t depth_ = 0;               // open maps and lists
  Key key_ = Key::Unknown;              // current field of the heartbeat
  TaskKey task_key_ = TaskKey::Unknown; // current field of the task
  KeySet fields_read_;                  // fields with a valid value
  KeySet task_fields_read_;             // fields of the current task with a valid value
  bool task_list_open_ = false;
  bool complete_ = false;
  std::array<Level, kMaxDepth + 1> levels_;
};

} // namespace

std::optional<Heartbeat> decode_heartbeat(std::string_view body) {
  HeartbeatReader reader;
  if (!parse_cbor(body, {}, reader)) return std::nullopt;
  return reader.take();
}

} // namespace loftrouter::wire
