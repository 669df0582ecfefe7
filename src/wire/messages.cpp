#include "loftrouter/wire/messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

namespace loftrouter::wire {

namespace {

// The one table of names that this deployment's platform uses on the wire.
namespace f {
constexpr const char *id = "id", *job_class = "jobclass", *team = "crew", *shape = "shape", *urgency = "urgency",
                     *tasks = "pieces", *cpus = "cores", *gpus = "cards", *memory = "ram_gb", *image = "bundle",
                     *image_gb = "image_gb", *types = "hulls", *type = "hull", *zone = "yard", *zones = "yards",
                     *one_zone = "one_zone", *spread = "apart", *spot = "standby", *estimate = "guess_s",
                     *checkpoint = "bookmark_s", *save = "stash_s", *deadline = "due_s", *state = "status",
                     *machine = "box", *machines = "boxes", *address = "address", *incarnation = "shift",
                     *sequence = "tick", *fencing_token = "baton", *notice = "warning_s", *task = "piece",
                     *attempt = "try", *cause = "cause", *saved = "stored", *orders = "orders", *verb = "verb",
                     *grace = "leeway_s", *redirect = "answer_to", *revision = "epoch", *mod_revision = "stamp",
                     *lease = "permit", *key = "k", *value = "v", *entries = "entries", *more = "truncated",
                     *preconditions = "guards", *writes = "writes", *put = "set", *del = "drop", *failed = "failed",
                     *events = "events", *ttl = "ttl_ms", *request = "hire", *count = "number", *name = "sku",
                     *cache = "local_gb", *fetch = "pull_gb_per_s", *price = "rate", *spot_price = "spot_price",
                     *boot = "startup_s", *age = "age_s", *waits_for = "waits_on";
}

constexpr const char *kShapes[] = {"array", "gang", "service"};
constexpr const char *kUrgencies[] = {"low", "normal", "urgent", "production"};
constexpr const char *kPhases[] = {"pulling", "gathering", "running", "saving", "exited"};
constexpr const char *kCauses[] = {"", "done", "stopped", "mates_gone", "alone", "error", "full", "busy", "no_such"};
constexpr const char *kVerbs[] = {"start", "kill", "reap"};
constexpr const char *kJobStates[] = {"queued", "running", "done", "aborted"};

template <std::size_t N> std::optional<int> find_name(const char *const (&names)[N], const std::string &s) {
  for (std::size_t i = 0; i < N; ++i)
    if (s == names[i]) return static_cast<int>(i);
  return std::nullopt;
}
template <std::size_t N> std::optional<int> find_name(const char *const (&names)[N], const Json &json) {
  if (!json.is_string()) return std::nullopt;
  return find_name(names, json.get_ref<const std::string &>());
}

const Json kNull;

const Json &at(const Json &json, const char *name) {
  if (!json.is_object()) return kNull;
  auto it = json.find(name);
  return it == json.end() ? kNull : *it;
}

std::optional<std::string> text(const Json &json, std::size_t max = 200) {
  if (!json.is_string()) return std::nullopt;
  const auto &s = json.get_ref<const std::string &>();
  if (s.empty() || s.size() > max) return std::nullopt;
  return s;
}

std::optional<double> amount(const Json &json, double max = 1e9) {
  if (!json.is_number()) return std::nullopt;
  double v = json.get<double>();
  if (!std::isfinite(v) || v < 0 || v > max) return std::nullopt;
  return v;
}

std::optional<std::uint64_t> count(const Json &json) {
  if (json.is_number_unsigned()) return json.get<std::uint64_t>();
  if (json.is_number_integer() && json.get<std::int64_t>() >= 0)
    return static_cast<std::uint64_t>(json.get<std::int64_t>());
  return std::nullopt;
}

std::string task_name(std::string_view job, std::uint32_t index) {
  return fmt::format("{}/{}", job, index);
}

bool split_task(std::string_view name, std::string &job, std::uint32_t &index) {
  auto slash = name.rfind('/');
  if (slash == std::string_view::npos) return false;
  job = name.substr(0, slash);
  auto [end, err] = std::from_chars(name.data() + slash + 1, name.data() + name.size(), index);
  return err == std::errc() && end == name.data() + name.size() && valid_job_id(job);
}

// A set of task indices in the shorter of two forms: a list of range ends, or a bitmap in hexadecimal
// digits of four tasks each, which scattered tasks need.
Json set_json(const Ranges &ranges) {
  std::size_t list_chars = 2;
  for (auto [a, b] : ranges)
    list_chars += fmt::formatted_size("{},{},", a, b);
  const std::size_t digits = ranges.empty() ? 0 : (ranges.back().second + 3) / 4;
  if (digits + 2 < list_chars) {
    std::string bits(digits, '\0');
    for (auto [a, b] : ranges)
      for (auto i = a; i < b; ++i)
        bits[i / 4] = static_cast<char>(bits[i / 4] | 1 << i % 4);
    for (char &c : bits)
      c = "0123456789abcdef"[static_cast<int>(c)];
    return bits;
  }
  Json out = Json::array();
  for (auto [a, b] : ranges) {
    out.push_back(a);
    out.push_back(b);
  }
  return out;
}

std::optional<Ranges> set_from(const Json &json) {
  Ranges out;
  if (json.is_string()) {
    std::uint32_t i = 0;
    for (char c : json.get_ref<const std::string &>()) {
      int v = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
      if (v < 0) return std::nullopt;
      for (int bit = 0; bit < 4; ++bit, ++i) {
        if (!(v >> bit & 1)) continue;
        if (!out.empty() && out.back().second == i)
          out.back().second = i + 1;
        else
          out.emplace_back(i, i + 1);
      }
    }
    return out;
  }
  if (!json.is_array() || json.size() % 2) return std::nullopt;
  for (std::size_t i = 0; i < json.size(); i += 2) {
    auto a = count(json[i]), b = count(json[i + 1]);
    if (!a || !b || *a >= *b || *b > 1'000'000) return std::nullopt;
    out.emplace_back(*a, *b);
  }
  return out;
}

} // namespace

bool valid_job_id(std::string_view id) {
  if (id.size() < 3 || id.size() > 40 || id.substr(0, 2) != "j-") return false;
  return std::all_of(id.begin() + 2, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<JobSpec> job_from_json(const Json &j, std::string &problem) {
  if (!j.is_object()) {
    problem = "not a map";
    return std::nullopt;
  }
  JobSpec spec;
  auto bad = [&](const char *field) {
    problem = fmt::format("field {} is missing or invalid", field);
    return std::nullopt;
  };
  auto id = text(at(j, f::id));
  if (!id || !valid_job_id(*id)) return bad(f::id);
  spec.id = *id;
  auto get_text = [&](const char *name, std::string &out) {
    auto t = text(at(j, name));
    if (t) out = *t;
    return t.has_value();
  };
  if (!get_text(f::job_class, spec.job_class)) return bad(f::job_class);
  if (!get_text(f::team, spec.team)) return bad(f::team);
  if (!get_text(f::image, spec.image)) return bad(f::image);
  auto shape = find_name(kShapes, at(j, f::shape));
  if (!shape) return bad(f::shape);
  spec.shape = static_cast<Shape>(*shape);
  auto urgency = find_name(kUrgencies, at(j, f::urgency));
  if (!urgency) return bad(f::urgency);
  spec.urgency = static_cast<Urgency>(*urgency);
  auto tasks = count(at(j, f::tasks));
  if (!tasks || *tasks < 1 || *tasks > 100'000) return bad(f::tasks);
  spec.tasks = static_cast<std::uint32_t>(*tasks);
  struct Amount {
    const char *name;
    double *to;
  };
  for (auto [name, to] :
       {Amount{f::cpus, &spec.need.cpus}, Amount{f::gpus, &spec.need.gpus}, Amount{f::memory, &spec.need.memory},
        Amount{f::image_gb, &spec.image_gb}, Amount{f::estimate, &spec.estimate_s},
        Amount{f::checkpoint, &spec.checkpoint_s}, Amount{f::save, &spec.save_s}}) {
    auto v = amount(at(j, name));
    if (!v) return bad(name);
    *to = *v;
  }
  struct Flag {
    const char *name;
    bool *to;
  };
  for (auto [name, to] :
       {Flag{f::one_zone, &spec.one_zone}, Flag{f::spread, &spec.spread}, Flag{f::spot, &spec.spot}}) {
    const Json &json = at(j, name);
    if (!json.is_boolean()) return bad(name);
    *to = json.get<bool>();
  }
  if (const Json &json = at(j, f::types); !json.is_null()) {
    if (!json.is_array() || json.size() > 100) return bad(f::types);
    spec.types.emplace();
    for (const auto &t : json) {
      auto name = text(t);
      if (!name) return bad(f::types);
      spec.types->push_back(*name);
    }
  }
  if (const Json &json = at(j, f::zone); !json.is_null()) {
    auto t = text(json);
    if (!t) return bad(f::zone);
    spec.zone = *t;
  }
  if (const Json &json = at(j, f::deadline); !json.is_null()) {
    auto d = amount(json);
    if (!d) return bad(f::deadline);
    spec.deadline_s = *d;
  }
  if (const Json &json = at(j, f::waits_for); !json.is_null()) {
    if (!json.is_array() || json.size() > kMaxWaitsFor) return bad(f::waits_for);
    for (const auto &name : json) {
      const auto named = text(name);
      if (!named || !valid_job_id(*named) || *named == spec.id) return bad(f::waits_for);
      if (std::find(spec.waits_for.begin(), spec.waits_for.end(), *named) == spec.waits_for.end())
        spec.waits_for.push_back(*named);
    }
  }
  return spec;
}

Json to_json(const JobSpec &spec) {
  Json json = {{f::id, spec.id},
               {f::job_class, spec.job_class},
               {f::team, spec.team},
               {f::shape, kShapes[static_cast<int>(spec.shape)]},
               {f::urgency, kUrgencies[static_cast<int>(spec.urgency)]},
               {f::tasks, spec.tasks},
               {f::cpus, spec.need.cpus},
               {f::gpus, spec.need.gpus},
               {f::memory, spec.need.memory},
               {f::image, spec.image},
               {f::image_gb, spec.image_gb},
               {f::one_zone, spec.one_zone},
               {f::spread, spec.spread},
               {f::spot, spec.spot},
               {f::estimate, spec.estimate_s},
               {f::checkpoint, spec.checkpoint_s},
               {f::save, spec.save_s}};
  if (spec.types) json[f::types] = *spec.types;
  if (spec.zone) json[f::zone] = *spec.zone;
  if (spec.deadline_s) json[f::deadline] = *spec.deadline_s;
  if (!spec.waits_for.empty()) json[f::waits_for] = spec.waits_for;
  return json;
}

std::variant<JobSpec, std::string> decode_job(std::string_view body) {
  auto j = decode(body);
  if (!j) return std::string("body is not CBOR");
  std::string problem;
  auto spec = job_from_json(*j, problem);
  if (!spec) return problem;
  return std::move(*spec);
}

std::string encode_job_view(const JobView &v) {
  Json json = {
      {f::id, v.id}, {f::state, kJobStates[static_cast<int>(v.state)]}, {"done", v.done}, {"running", v.running}};
  if (!v.reason.empty()) json["reason"] = v.reason;
  return encode(json);
}

std::string encode_accepted(std::string_view id, JobState state) {
  return encode({{f::id, id}, {f::state, kJobStates[static_cast<int>(state)]}});
}

std::string encode_error(std::string_view text) {
  return encode({{"error", text}});
}

namespace {

// Reports are the bulk of what a leader reads, so they go straight into the struct, without a tree in between.
// What is refused is what `decode` refuses, and what a tree would show to be missing or of the wrong kind.
class ReportReader final : public nlohmann::json_sax<Json> {
public:
  std::optional<Heartbeat> take() {
    constexpr unsigned need =
        1U << Machine | 1U << Address | 1U << Type | 1U << Zone | 1U << Session | 1U << Seq | 1U << Token | 1U << Spot;
    if (!whole_ || (good_ & need) != need) return std::nullopt;
    return std::move(report_);
  }

  bool null() override { return depth_ > 0 && !in_list(); } // as if it were not there
  bool boolean(bool v) override {
    if (depth_ == 1 && key_ == Spot) {
      report_.spot = v;
      good_ |= 1U << Spot;
    } else if (in_task() && key_ == Saved) {
      report_.tasks.back().saved = v;
    }
    return value();
  }
  bool number_integer(number_integer_t v) override {
    return v >= 0 ? number_unsigned(static_cast<number_unsigned_t>(v)) : number(static_cast<double>(v));
  }
  bool number_unsigned(number_unsigned_t v) override {
    if (depth_ == 1) {
      auto *to = key_ == Session ? &report_.incarnation
                 : key_ == Seq   ? &report_.sequence
                 : key_ == Token ? &report_.fencing_token
                                 : nullptr;
      if (to) {
        *to = v;
        good_ |= 1U << key_;
      }
    } else if (in_task() && key_ == Attempt) {
      report_.tasks.back().attempt = v;
      good_task_ |= 1U << Attempt;
    }
    return number(static_cast<double>(v));
  }
  bool number_float(number_float_t v, const string_t &) override { return std::isfinite(v) && number(v); }
  bool string(string_t &v) override {
    if (!valid_utf8(v)) return false;
    if (depth_ == 1 && key_ <= Zone && !v.empty() && v.size() <= 200) {
      good_ |= 1U << key_;
      (key_ == Machine   ? report_.machine
       : key_ == Address ? report_.address
       : key_ == Type    ? report_.type
                         : report_.zone) = std::move(v);
    } else if (in_task()) {
      take_task_text(v);
    }
    return value();
  }
  bool binary(binary_t &) override { return false; }
  bool key(string_t &v) override {
    if (!valid_utf8(v)) return false;
    key_ = depth_ == 1 ? find(v, kTop) : in_task() ? find(v, kTask) : None;
    auto &seen = keys_[depth_];
    if (key_ != None) {
      if (known_[depth_] >> key_ & 1) return false;
      known_[depth_] |= 1U << key_;
      return true;
    }
    if (std::find(seen.begin(), seen.end(), v) != seen.end()) return false;
    seen.push_back(std::move(v));
    return true;
  }
  bool start_object(std::size_t) override {
    if ((depth_ > 0 && !in_list() && !value()) || !open()) return false;
    if (depth_ == 3 && tasks_) {
      report_.tasks.emplace_back();
      good_task_ = 0;
      cause_ = false;
    }
    map_[depth_] = true;
    return true;
  }
  bool start_array(std::size_t) override {
    if (depth_ == 0) return false;
    const bool tasks = depth_ == 1 && key_ == Tasks;
    if ((!tasks && !value()) || !open()) return false;
    tasks_ |= tasks;
    map_[depth_] = false;
    return true;
  }
  bool end_object() override {
    if (in_task()) {
      constexpr unsigned need = 1U << Name | 1U << Attempt | 1U << Phase;
      auto &t = report_.tasks.back();
      if ((good_task_ & need) != need) return false;
      if (!cause_ && t.phase == TaskPhase::Exited) t.cause = ExitCause::Error;
    }
    whole_ = --depth_ == 0;
    return true;
  }
  bool end_array() override {
    if (--depth_ == 1) tasks_ = false;
    return true;
  }
  bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override { return false; }

private:
  enum Field : unsigned {
    Machine,
    Address,
    Type,
    Zone,
    Session,
    Seq,
    Token,
    Spot,
    Notice,
    Tasks,
    Name = 0,
    Attempt,
    Phase,
    Cause,
    Saved,
    None = 31
  };
  static constexpr std::pair<const char *, Field> kTop[] = {
      {f::machine, Machine}, {f::address, Address},     {f::type, Type}, {f::zone, Zone},     {f::incarnation, Session},
      {f::sequence, Seq},    {f::fencing_token, Token}, {f::spot, Spot}, {f::notice, Notice}, {f::tasks, Tasks}};
  static constexpr std::pair<const char *, Field> kTask[] = {
      {f::task, Name}, {f::attempt, Attempt}, {f::state, Phase}, {f::cause, Cause}, {f::saved, Saved}};
  static constexpr std::size_t kDepth = DecodeLimits{}.depth;

  template <std::size_t N> static Field find(const std::string &v, const std::pair<const char *, Field> (&names)[N]) {
    for (auto [name, field] : names)
      if (v == name) return field;
    return None;
  }
  bool in_task() const { return depth_ == 3 && tasks_ && map_[3]; }
  bool in_list() const { return depth_ == 2 && tasks_; }
  // A task has to be a map, the list of tasks a list, and a notice a number.
  bool value() const { return depth_ > 0 && !in_list() && !(depth_ == 1 && (key_ == Tasks || key_ == Notice)); }
  bool number(double v) {
    if (depth_ != 1 || key_ != Notice) return value();
    report_.notice_s = std::max(0.0, v);
    return true;
  }
  bool open() {
    if (depth_ >= kDepth) return false;
    ++depth_;
    keys_[depth_].clear();
    known_[depth_] = 0;
    return true;
  }
  void take_task_text(const std::string &v) {
    auto &t = report_.tasks.back();
    if (key_ == Name) {
      if (v.size() <= 200 && split_task(v, t.job, t.index)) good_task_ |= 1U << Name;
    } else if (key_ == Phase) {
      if (auto phase = find_name(kPhases, v)) {
        t.phase = static_cast<TaskPhase>(*phase);
        good_task_ |= 1U << Phase;
      }
    } else if (key_ == Cause) {
      if (auto cause = find_name(kCauses, v)) {
        t.cause = static_cast<ExitCause>(*cause);
        cause_ = true;
      }
    }
  }

  Heartbeat report_;
  std::size_t depth_ = 0;
  Field key_ = None;
  unsigned good_ = 0, good_task_ = 0;
  bool tasks_ = false, cause_ = false, whole_ = false;
  std::array<bool, kDepth + 1> map_{};
  std::array<unsigned, kDepth + 1> known_{};              // fields that a map on this level has shown
  std::array<std::vector<std::string>, kDepth + 1> keys_; // and names that are not known
};

} // namespace

std::optional<Heartbeat> decode_heartbeat(std::string_view body) {
  ReportReader reader;
  if (!Json::sax_parse(body.begin(), body.end(), &reader, Json::input_format_t::cbor, true)) return std::nullopt;
  return reader.take();
}

static Json orders_json(const std::vector<TaskCommand> &orders) {
  Json list = Json::array();
  for (const auto &o : orders) {
    Json json = {
        {f::verb, kVerbs[static_cast<int>(o.verb)]}, {f::task, task_name(o.job, o.index)}, {f::attempt, o.attempt}};
    if (o.verb == TaskCommand::Verb::Stop) json[f::grace] = o.grace_s;
    list.push_back(std::move(json));
  }
  return list;
}

std::string encode_commands(std::uint64_t fencing_token, const std::vector<TaskCommand> &orders) {
  return encode({{f::fencing_token, fencing_token}, {f::orders, orders_json(orders)}});
}

std::string encode_call(std::uint64_t fencing_token, std::uint64_t incarnation,
                        const std::vector<TaskCommand> &orders) {
  return encode({{f::fencing_token, fencing_token}, {f::incarnation, incarnation}, {f::orders, orders_json(orders)}});
}

std::string encode_redirect(std::string_view node) {
  if (node.empty()) return encode(Json::object());
  return encode({{f::redirect, node}});
}

std::string encode_heartbeat(const Heartbeat &heartbeat) {
  Json tasks = Json::array();
  for (const auto &t : heartbeat.tasks) {
    Json json = {
        {f::task, task_name(t.job, t.index)}, {f::attempt, t.attempt}, {f::state, kPhases[static_cast<int>(t.phase)]}};
    if (t.cause != ExitCause::None) json[f::cause] = kCauses[static_cast<int>(t.cause)];
    if (t.saved) json[f::saved] = true;
    tasks.push_back(std::move(json));
  }
  Json json = {{f::machine, heartbeat.machine},   {f::address, heartbeat.address},
               {f::type, heartbeat.type},         {f::zone, heartbeat.zone},
               {f::spot, heartbeat.spot},         {f::incarnation, heartbeat.incarnation},
               {f::sequence, heartbeat.sequence}, {f::fencing_token, heartbeat.fencing_token},
               {f::tasks, std::move(tasks)}};
  if (heartbeat.notice_s) json[f::notice] = *heartbeat.notice_s;
  return encode(json);
}

std::optional<WorkerCommands> decode_commands(std::string_view body) {
  auto j = decode(body);
  if (!j) return std::nullopt;
  auto fencing_token = count(at(*j, f::fencing_token));
  const Json &list = at(*j, f::orders);
  if (!fencing_token || !list.is_array()) return std::nullopt;
  WorkerCommands out{*fencing_token, {}};
  for (const auto &e : list) {
    TaskCommand command;
    auto verb = find_name(kVerbs, at(e, f::verb));
    auto name = text(at(e, f::task));
    auto attempt = count(at(e, f::attempt));
    if (!verb || !name || !attempt || !split_task(*name, command.job, command.index)) return std::nullopt;
    command.verb = static_cast<TaskCommand::Verb>(*verb);
    command.attempt = *attempt;
    command.grace_s = amount(at(e, f::grace)).value_or(0);
    out.orders.push_back(std::move(command));
  }
  return out;
}

Json to_json(const OpenRecord &record) {
  Json json = {{"spec", to_json(record.spec)}, {"at", record.submit_wall}};
  if (record.cancelled) json["cancelled"] = true;
  if (record.delegated)
    json["lent"] = {{"home", record.delegated->origin},
                    {"gen", record.delegated->generation},
                    {"tasks", set_json(record.delegated->tasks)}};
  return json;
}

std::optional<OpenRecord> open_from_json(const Json &json) {
  std::string problem;
  auto spec = job_from_json(at(json, "spec"), problem);
  auto when = amount(at(json, "at"), 1e12);
  if (!spec || !when) return std::nullopt;
  OpenRecord out{std::move(*spec), *when, at(json, "cancelled").is_boolean(), {}};
  if (const Json &delegated = at(json, "lent"); !delegated.is_null()) {
    const auto origin = text(at(delegated, "home"));
    const auto generation = count(at(delegated, "gen"));
    auto tasks = set_from(at(delegated, "tasks"));
    if (!origin || !generation || !tasks) return std::nullopt;
    out.delegated = DelegationSource{*origin, *generation, std::move(*tasks)};
  }
  return out;
}

Json to_json(const EndRecord &end) {
  Json json = {{"cancelled", end.cancelled}, {"tasks", end.tasks},  {"class", end.job_class}, {"team", end.team},
               {"at", end.submit_wall},      {"end", end.end_wall}, {"late", end.late}};
  if (!end.reason.empty()) json["reason"] = end.reason;
  if (end.usage) {
    json["used"] = accounts::pack(*end.usage);
    json["need"] = {end.need.cpus, end.need.gpus, end.need.memory};
  }
  return json;
}

std::optional<EndRecord> end_from_json(const Json &json) {
  EndRecord end;
  const Json &cancelled = at(json, "cancelled");
  auto tasks = count(at(json, "tasks"));
  if (!cancelled.is_boolean() || !tasks) return std::nullopt;
  end.cancelled = cancelled.get<bool>();
  end.tasks = static_cast<std::uint32_t>(*tasks);
  end.job_class = text(at(json, "class")).value_or("");
  end.team = text(at(json, "team")).value_or("");
  end.submit_wall = amount(at(json, "at"), 1e12).value_or(0);
  end.end_wall = amount(at(json, "end"), 1e12).value_or(0);
  end.late = at(json, "late").is_boolean() && at(json, "late").get<bool>();
  end.reason = text(at(json, "reason"), 1000).value_or("");
  const Json &need = at(json, "need");
  if (auto used = text(at(json, "used"), 200); used && need.is_array() && need.size() == 3) {
    end.usage = accounts::unpack<accounts::kUsageColumns>(*used);
    end.need = {amount(need[0], 1e6).value_or(0), amount(need[1], 1e6).value_or(0), amount(need[2], 1e9).value_or(0)};
  }
  return end;
}

Json final_json(const EndRecord &end) {
  return {{"final", to_json(end)}};
}

std::optional<EndRecord> final_from_json(const Json &json) {
  return end_from_json(at(json, "final"));
}

Json to_json(const ProgressRecord &progress) {
  Json j = {{"s", set_json(progress.started)}, {"f", set_json(progress.finished)}};
  if (progress.failed_on) j["x"] = progress.failed_on;
  if (progress.at_ms) { // used, held by attempts under way, when
    j["u"] = accounts::pack(progress.usage);
    j["h"] = progress.running_ms;
    j["t"] = progress.at_ms;
  }
  if (progress.delegated_here) j["b"] = progress.delegated_here;
  for (const auto &l : progress.delegations) {
    Json json = {{"g", l.generation},
                 {"c", l.cell},
                 {"l", l.lease_s},
                 {"u", accounts::pack(l.charged)},
                 {"r", set_json(l.tasks)}};
    if (l.lapsed) json["x"] = true;
    j["l"].push_back(std::move(json));
  }
  return j;
}

namespace {
constexpr std::uint64_t kShardVersion = 2; // 1: without sums
} // namespace

Json to_json(const SumsByTeam &sums) {
  Json out = Json::object();
  for (const auto &[key, row] : sums)
    out[key.first][key.second] = accounts::pack(row);
  return out;
}

std::optional<SumsByTeam> sums_from_json(const Json &json) {
  SumsByTeam out;
  if (!json.is_object()) return std::nullopt;
  for (const auto &[period, teams] : json.items()) {
    if (!teams.is_object()) return std::nullopt;
    for (const auto &[team, packed] : teams.items()) {
      auto t = text(packed, 300);
      auto row = t ? accounts::unpack<accounts::kSumColumns>(*t) : std::nullopt;
      if (!row) return std::nullopt;
      out[{period, team}] = *row;
    }
  }
  return out;
}

Json progress_shard(std::vector<std::pair<std::string, Json>> jobs, const SumsByTeam &sums) {
  Json map = Json::object();
  for (auto &[id, progress] : jobs)
    map[id] = std::move(progress);
  Json out = {{"jobs", std::move(map)}};
  if (!sums.empty()) {
    out["v"] = kShardVersion;
    out["sums"] = to_json(sums);
  }
  return out;
}

std::optional<ProgressShard> progress_from_json(std::string_view key, const Json &j) {
  ProgressShard out;
  // What a later version has written may mean something else: it is not guessed at.
  if (count(at(j, "v")).value_or(1) > kShardVersion) return std::nullopt;
  if (const Json &sums = at(j, "sums"); !sums.is_null()) {
    auto read = sums_from_json(sums);
    if (!read) return std::nullopt;
    out.sums = std::move(*read);
  }
  auto one = [&](std::string_view id, const Json &json) {
    auto started = set_from(at(json, "s")), finished = set_from(at(json, "f"));
    if (!started || !finished) return false;
    ProgressRecord progress;
    progress.started = std::move(*started);
    progress.finished = std::move(*finished);
    progress.failed_on =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(count(at(json, "x")).value_or(0), 1'000'000));
    if (const Json &used = at(json, "u"); !used.is_null()) {
      auto t = text(used, 200);
      auto usage = t ? accounts::unpack<accounts::kUsageColumns>(*t) : std::nullopt;
      if (!usage) return false;
      progress.usage = *usage;
      progress.running_ms =
          static_cast<std::int64_t>(std::min<std::uint64_t>(count(at(json, "h")).value_or(0), 1ULL << 53));
      progress.at_ms = static_cast<std::int64_t>(std::min<std::uint64_t>(count(at(json, "t")).value_or(0), 1ULL << 53));
    }
    progress.delegated_here = count(at(json, "b")).value_or(0);
    for (const Json &delegations = at(json, "l");
         const auto &l : delegations.is_array() ? delegations : Json::array()) {
      const auto generation = count(at(l, "g"));
      const auto cell = text(at(l, "c"));
      const auto lease = amount(at(l, "l"));
      const auto used = at(l, "u").is_string()
                            ? accounts::unpack<accounts::kUsageColumns>(at(l, "u").get<std::string>())
                            : std::nullopt;
      auto tasks = set_from(at(l, "r"));
      if (!generation || !cell || !lease || !used || !tasks) return false;
      progress.delegations.push_back({*generation, *cell, std::move(*tasks), *lease, at(l, "x").is_boolean(), *used});
    }
    out.jobs.emplace_back(std::string(id), std::move(progress));
    return true;
  };
  const Json &jobs = at(j, "jobs");
  if (!jobs.is_object()) {
    if (!one(key.substr(key.find('/') + 1), j)) return std::nullopt;
    return out;
  }
  for (const auto &[id, e] : jobs.items())
    if (!one(id, e)) return std::nullopt;
  return out;
}

Json to_json(const LeaderRecord &record) {
  return {{"node", record.node}, {"nonce", record.nonce}};
}

std::optional<LeaderRecord> leader_from_json(const Json &json) {
  auto node = text(at(json, "node"));
  auto nonce = count(at(json, "nonce"));
  if (!node || !nonce) return std::nullopt;
  return LeaderRecord{*node, *nonce};
}

namespace {
constexpr const char *kHearing[] = {"unknown", "hears", "silent"}, *kCloud[] = {"unknown", "answers", "fails"};
}

Json to_json(const StoredConnectivityRecord &r) {
  return {{"workers", kHearing[static_cast<int>(r.word.workers)]},
          {"machines", r.word.machines},
          {"quiet_s", r.word.quiet_s},
          {"carried_s", r.word.carried_s},
          {"cloud", kCloud[static_cast<int>(r.word.cloud)]},
          {"at", r.wall}};
}

std::optional<StoredConnectivityRecord> connectivity_from_json(const Json &json) {
  const auto workers = find_name(kHearing, at(json, "workers")), cloud = find_name(kCloud, at(json, "cloud"));
  const auto machines = count(at(json, "machines"));
  const auto quiet = amount(at(json, "quiet_s"), ConnectivityRecord::kMaxQuiet),
             carried = amount(at(json, "carried_s"), ConnectivityRecord::kMaxQuiet);
  const auto when = amount(at(json, "at"), 1e12);
  if (!quiet || !carried || !workers || !cloud || !machines || !when) return std::nullopt;
  return StoredConnectivityRecord{{static_cast<WorkerReachability>(*workers),
                                   static_cast<std::uint16_t>(std::min<std::uint64_t>(*machines, 65535)), *quiet,
                                   *carried, static_cast<ProviderHealth>(*cloud)},
                                  *when};
}

Json to_json(const std::vector<MachineType> &types) {
  Json list = Json::array();
  for (const auto &t : types)
    list.push_back({{f::name, t.name},
                    {f::cpus, t.size.cpus},
                    {f::gpus, t.size.gpus},
                    {f::memory, t.size.memory},
                    {f::cache, t.cache_gb},
                    {f::fetch, t.fetch_gb_per_s},
                    {f::price, t.price},
                    {f::spot_price, t.spot_price},
                    {f::boot, t.boot_s},
                    {f::zones, t.zones}});
  return {{f::types, std::move(list)}};
}

std::optional<std::vector<MachineType>> types_from_json(const Json &json) {
  const Json &list = at(json, f::types);
  if (!list.is_array()) return std::nullopt;
  std::vector<MachineType> out;
  for (const auto &e : list) {
    MachineType type;
    auto name = text(at(e, f::name));
    auto cpus = amount(at(e, f::cpus)), memory = amount(at(e, f::memory));
    const Json &zones = at(e, f::zones);
    if (!name || !cpus || !memory || !zones.is_array()) return std::nullopt;
    type.name = *name;
    type.size = {*cpus, amount(at(e, f::gpus)).value_or(0), *memory};
    type.cache_gb = amount(at(e, f::cache)).value_or(0);
    type.fetch_gb_per_s = amount(at(e, f::fetch)).value_or(0);
    type.price = amount(at(e, f::price)).value_or(0);
    type.spot_price = amount(at(e, f::spot_price)).value_or(type.price);
    type.boot_s = amount(at(e, f::boot)).value_or(60);
    for (const auto &z : zones)
      if (auto zone = text(z)) type.zones.push_back(*zone);
    out.push_back(std::move(type));
  }
  return out;
}

std::string encode_commit(const std::vector<Precondition> &preconditions, const std::vector<Mutation> &writes) {
  Json g = Json::array(), w = Json::array();
  for (const auto &x : preconditions)
    g.push_back({{f::key, x.key}, {f::mod_revision, x.mod_revision}});
  for (const auto &x : writes) {
    if (!x.value) {
      w.push_back({{f::del, x.key}});
      continue;
    }
    Json json = {{f::put, x.key}, {f::value, *x.value}};
    if (x.lease) json[f::lease] = x.lease;
    w.push_back(std::move(json));
  }
  return encode({{f::preconditions, std::move(g)}, {f::writes, std::move(w)}});
}

std::string encode_ttl(double ttl_s) {
  return encode({{f::ttl, static_cast<std::int64_t>(ttl_s * 1000)}});
}

StoreReply decode_store(int status, std::string_view body) {
  StoreReply reply;
  reply.status = status;
  if (status == 0 || body.empty()) return reply;
  auto j = decode(body, {32, 2'000'000});
  if (!j || !j->is_object()) {
    // An answer that cannot be read proves nothing about what was carried out.
    if (status == 200) reply.status = 0;
    return reply;
  }
  reply.revision = count(at(*j, f::revision)).value_or(0);
  reply.lease = count(at(*j, f::lease)).value_or(0);
  reply.more = at(*j, f::more).is_boolean() && at(*j, f::more).get<bool>();
  for (const auto &k : at(*j, f::failed))
    if (k.is_string()) reply.failed.push_back(k.get<std::string>());
  auto entry = [](const Json &json) -> std::optional<KeyValue> {
    auto key = text(at(json, f::key));
    auto mod_revision = count(at(json, f::mod_revision));
    if (!key || !mod_revision) return std::nullopt;
    return KeyValue{*key, at(json, f::value), *mod_revision, count(at(json, f::lease)).value_or(0)};
  };
  if (auto single = entry(*j)) reply.entries.push_back(std::move(*single));
  if (const Json &list = at(*j, f::entries); list.is_array())
    for (const auto &e : list)
      if (auto x = entry(e)) reply.entries.push_back(std::move(*x));
  if (const Json &list = at(*j, f::events); list.is_array())
    for (const auto &e : list) {
      auto put = text(at(e, f::put)), del = text(at(e, f::del));
      auto mod_revision = count(at(e, f::mod_revision)).value_or(0);
      if (put)
        reply.events.push_back({*put, at(e, f::value), mod_revision});
      else if (del)
        reply.events.push_back({*del, std::nullopt, mod_revision});
    }
  return reply;
}

std::string encode_scale_out(std::string_view request, std::string_view type, std::string_view zone, bool spot,
                             int number) {
  return encode({{f::request, request}, {f::type, type}, {f::zone, zone}, {f::spot, spot}, {f::count, number}});
}

std::string encode_scale_in(const std::vector<std::string> &names) {
  return encode({{f::machines, names}});
}

CloudReply decode_cloud(CloudCall call, int status, std::string_view body) {
  CloudReply reply;
  reply.status = status;
  auto j = body.empty() ? std::nullopt : decode(body, {32, 2'000'000});
  if (!j || !j->is_object()) {
    if (status == 200 && call != CloudCall::Return) reply.status = 0;
    return reply;
  }
  if (status == 503) reply.no_capacity = at(*j, "error") == "no capacity";
  if (status != 200) return reply;
  switch (call) {
  case CloudCall::Types: {
    auto types = types_from_json(*j);
    if (types)
      reply.types = std::move(*types);
    else
      reply.status = 0;
    break;
  }
  case CloudCall::Rent:
    for (const auto &n : at(*j, f::machines))
      if (auto name = text(n)) reply.names.push_back(*name);
    break;
  case CloudCall::List:
    for (const auto &e : at(*j, f::machines)) {
      ListedMachine m;
      auto id = text(at(e, f::id)), type = text(at(e, f::type)), zone = text(at(e, f::zone));
      auto state = text(at(e, f::state));
      if (!id || !type || !zone || !state) continue;
      m.name = *id;
      m.type = *type;
      m.zone = *zone;
      m.address = text(at(e, f::address)).value_or("");
      m.spot = at(e, f::spot).is_boolean() && at(e, f::spot).get<bool>();
      m.status = *state == "failed"    ? MachineStatus::Failed
                 : *state == "running" ? MachineStatus::Running
                                       : MachineStatus::Booting;
      m.age_s = amount(at(e, f::age)).value_or(0);
      reply.machines.push_back(std::move(m));
    }
    reply.more = at(*j, f::more).is_boolean() && at(*j, f::more).get<bool>();
    break;
  case CloudCall::Return:
    break;
  }
  return reply;
}

} // namespace loftrouter::wire
