// The streaming reader of heartbeats: CBOR straight into the struct, without a tree in between.
//
// It refuses what `decode` refuses, and what a tree would show to be missing or of the wrong kind; the tests compare
// it with a model that reads a whole tree.
#include <algorithm>
#include <array>
#include <bitset>
#include <cmath>

#include "json_fields.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/worker.hpp"
#include "protocol_names.hpp"
#include "task_sets.hpp"

namespace loftrouter::wire {

namespace {

class HeartbeatReader final : public nlohmann::json_sax<Json> {
public:
  // The heartbeat, if the message was complete and all required fields were there.
  std::optional<Heartbeat> take() {
    if (!complete_ || (read_ & kRequired) != kRequired) return std::nullopt;
    return std::move(heartbeat_);
  }

  // A null counts as a field that is not there.
  bool null() override { return depth_ > 0 && !in_task_list(); }

  bool boolean(bool value) override {
    if (in_heartbeat() && key_ == Key::Spot) {
      heartbeat_.spot = value;
      mark_read();
    } else if (in_task() && task_key_ == TaskKey::Saved) {
      heartbeat_.tasks.back().saved = value;
    }
    return may_be_value();
  }

  bool number_integer(number_integer_t value) override {
    return value >= 0 ? number_unsigned(static_cast<number_unsigned_t>(value)) : number(static_cast<double>(value));
  }

  bool number_unsigned(number_unsigned_t value) override {
    if (in_heartbeat()) {
      if (std::uint64_t *const out = counter()) {
        *out = value;
        mark_read();
      }
    } else if (in_task() && task_key_ == TaskKey::Attempt) {
      heartbeat_.tasks.back().attempt = value;
      mark_task_read();
    }
    return number(static_cast<double>(value));
  }

  bool number_float(number_float_t value, const string_t &) override { return std::isfinite(value) && number(value); }

  bool string(string_t &value) override {
    if (!valid_utf8(value)) return false;
    if (in_heartbeat())
      read_heartbeat_text(value);
    else if (in_task())
      read_task_text(value);
    return may_be_value();
  }

  bool binary(binary_t &) override { return false; }

  bool key(string_t &name) override {
    if (!valid_utf8(name)) return false;
    key_ = in_heartbeat() ? find(name, kKeys) : Key::Unknown;
    task_key_ = in_task() ? find(name, kTaskKeys) : TaskKey::Unknown;
    Level &level = levels_[depth_];
    if (key_ != Key::Unknown) return first_use(level, static_cast<std::size_t>(key_));
    if (task_key_ != TaskKey::Unknown) return first_use(level, static_cast<std::size_t>(task_key_));
    auto &names = level.unknown_names;
    if (std::find(names.begin(), names.end(), name) != names.end()) return false;
    names.push_back(std::move(name));
    return true;
  }

  bool start_object(std::size_t) override {
    const bool task = in_task_list();
    if (depth_ > 0 && !task && !may_be_value()) return false;
    if (!open_level()) return false;
    if (task) {
      heartbeat_.tasks.emplace_back();
      task_read_.reset();
    }
    return true;
  }

  bool start_array(std::size_t) override {
    if (depth_ == 0) return false;
    const bool task_list = in_heartbeat() && key_ == Key::Tasks;
    if (!task_list && !may_be_value()) return false;
    if (!open_level()) return false;
    tasks_open_ |= task_list;
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
    if (in_heartbeat()) tasks_open_ = false;
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
  static constexpr NamedKey<Key> kKeys[] = {{field::kMachine, Key::Machine},
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
  // The keys that come before Notice are required, of a task those that come before Cause.
  static constexpr KeySet kRequired{(1U << static_cast<unsigned>(Key::Notice)) - 1};
  static constexpr KeySet kTaskRequired{(1U << static_cast<unsigned>(TaskKey::Cause)) - 1};
  static constexpr std::size_t kMaxDepth = DecodeLimits{}.depth;

  // The names that a map has shown, as a name that comes twice is refused.
  struct Level {
    KeySet known_keys;
    std::vector<std::string> unknown_names;
  };

  template <class Enum, std::size_t Count>
  static Enum find(std::string_view name, const NamedKey<Enum> (&keys)[Count]) {
    for (const auto &candidate : keys)
      if (name == candidate.name) return candidate.key;
    return Enum::Unknown;
  }

  static bool first_use(Level &level, std::size_t key) {
    if (level.known_keys[key]) return false;
    level.known_keys.set(key);
    return true;
  }

  // Where the parser stands: among the heartbeat's own fields, in its list of tasks, or among a task's fields. The
  // list takes nothing but maps, so what is open one level below it is a task.
  bool in_heartbeat() const { return depth_ == 1; }
  bool in_task_list() const { return depth_ == 2 && tasks_open_; }
  bool in_task() const { return depth_ == 3 && tasks_open_; }

  // Whether a value that is neither null nor a map of a task may stand here: the list of tasks has to be a list, and
  // a notice a number.
  bool may_be_value() const {
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

  void mark_read() { read_.set(static_cast<std::size_t>(key_)); }
  void mark_task_read() { task_read_.set(static_cast<std::size_t>(task_key_)); }

  // Where the number of the present field belongs, or null.
  std::uint64_t *counter() {
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

  // Where the text of the present field belongs, or null.
  std::string *text() {
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

  bool number(double value) {
    if (!in_heartbeat() || key_ != Key::Notice) return may_be_value();
    heartbeat_.notice_s = std::max(0.0, value);
    return true;
  }

  void read_heartbeat_text(std::string &value) {
    std::string *const out = text();
    if (!out || value.empty() || value.size() > kMaxTextBytes) return;
    *out = std::move(value);
    mark_read();
  }

  void read_task_text(const std::string &value) {
    TaskStatus &task = heartbeat_.tasks.back();
    if (task_key_ == TaskKey::Name) {
      read_task_name(value, task);
    } else if (task_key_ == TaskKey::Phase) {
      const auto phase = spelling::kTaskPhases.find(value);
      if (!phase) return;
      task.phase = *phase;
      mark_task_read();
    } else if (task_key_ == TaskKey::Cause) {
      const auto cause = spelling::kExitCauses.find(value);
      if (!cause) return;
      task.cause = *cause;
      mark_task_read();
    }
  }

  void read_task_name(const std::string &value, TaskStatus &task) {
    if (value.size() > kMaxTextBytes) return;
    auto name = parse_task_name(value);
    if (!name) return;
    task.job = std::move(name->job);
    task.index = name->index;
    mark_task_read();
  }

  // A task that exited for a cause that this version doesn't know is taken to have failed.
  bool end_task() {
    if ((task_read_ & kTaskRequired) != kTaskRequired) return false;
    TaskStatus &task = heartbeat_.tasks.back();
    const bool cause_read = task_read_[static_cast<std::size_t>(TaskKey::Cause)];
    if (!cause_read && task.phase == TaskPhase::Exited) task.cause = ExitCause::Error;
    return true;
  }

  Heartbeat heartbeat_;
  std::size_t depth_ = 0;               // of open maps and lists
  Key key_ = Key::Unknown;              // the heartbeat's field that is read
  TaskKey task_key_ = TaskKey::Unknown; // the task's field that is read
  KeySet read_;                         // fields with a valid value
  KeySet task_read_;                    // the same, of the present task
  bool tasks_open_ = false;
  bool complete_ = false;
  std::array<Level, kMaxDepth + 1> levels_;
};

} // namespace

std::optional<Heartbeat> decode_heartbeat(std::string_view body) {
  HeartbeatReader reader;
  if (!Json::sax_parse(body.begin(), body.end(), &reader, Json::input_format_t::cbor, true)) return std::nullopt;
  return reader.take();
}

} // namespace loftrouter::wire
