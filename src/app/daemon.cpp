#include "loftrouter/app/daemon.hpp"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <random>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "loftrouter/app/current_work.hpp"
#include "loftrouter/app/fault_report.hpp"
#include "loftrouter/app/latency.hpp"
#include "loftrouter/app/rejected_bodies.hpp"
#include "loftrouter/app/request_reader.hpp"
#include "loftrouter/app/run_record.hpp"
#include "loftrouter/cloud/cloud_client.hpp"
#include "loftrouter/core/core.hpp"
#include "loftrouter/net/loop.hpp"
#include "loftrouter/net/outbound_request_pool.hpp"
#include "loftrouter/net/peers.hpp"
#include "loftrouter/net/server.hpp"
#include "loftrouter/store/store_client.hpp"

namespace loftrouter::app {

namespace {

constexpr double kTick = 0.1;

bool log_as_json = false;

void write_line(const core::LogLine &line) {
  const auto level = line.level == core::LogLevel::Error  ? spdlog::level::err
                     : line.level == core::LogLevel::Info ? spdlog::level::info
                                                          : spdlog::level::debug;
  spdlog::log(level, "{}", log_as_json ? core::log_json(line) : core::log_text(line));
}

// Reports passed on to the leader leave together, so often: a packet costs a node more than reading a report does.
// Small beside the time between two reports, which is what a worker waits for its next task.
double pass_on_every(const Settings &settings) {
  return std::min(0.05, settings.heartbeat_interval_s / 100);
}

class Daemon {
public:
  Daemon(const Settings &settings, net::Fd api, net::Fd peers)
      : run_record_(settings), core_(settings, std::random_device{}()),
        server_(
            loop_, std::move(api), server_options(settings),
            [this](net::ConnId id, net::HttpMessage &&m) { on_request(id, std::move(m)); },
            [this](net::ConnId id, const char *text) { on_rejected_request(id, text); }),
        state_service_replies_(*this, BodyInterface::StateService, settings.state_address),
        cloud_replies_(*this, BodyInterface::Cloud, settings.cloud_address),
        store_(loop_, *net::parse_address(settings.state_address), state_service_replies_,
               [this](core::OpId op, wire::StoreReply &&reply) {
                 push(core::StoreReplyCommand{op, std::move(reply)});
               }),
        cloud_(loop_, *net::parse_address(settings.cloud_address), cloud_replies_,
               [this](core::OpId op, wire::CloudReply &&reply) {
                 push(core::CloudReplyCommand{op, std::move(reply)});
               }),
        peers_(loop_, std::move(peers), replica_addresses(settings),
               [this](net::LinkId link, int replica, std::string &buffer) { return on_peer(link, replica, buffer); }),
        tick_(loop_,
              [this] {
                tick_.once(kTick);
                push(core::TickCommand{});
              }),
        work_(loop_,
              [this] {
                if (!queue_.empty()) drain();
              }),
        replicas_(settings.replicas.size()), cells_(settings.cells.others), pass_on_every_(pass_on_every(settings)),
        pass_on_(loop_, [this] {
          passing_on_ = false;
          peers_.send_all();
        }) {
    core_.set_work_observer([this](std::string_view name) { work_now_.apply_command(name); });
    install_fault_report(work_now_, {.json = log_as_json, .run_record_fd = run_record_.fd()});
  }

  void run() {
    core_.set_log_level(spdlog::should_log(spdlog::level::debug)  ? core::LogLevel::Debug
                        : spdlog::should_log(spdlog::level::info) ? core::LogLevel::Info
                                                                  : core::LogLevel::Error);
    const auto &previous = run_record_.previous();
    write_log({core::LogLevel::Info,
               "process_started",
               {{"previous_run", previous_run_name(previous.end)}, {"its_last_line", previous.detail}}});
    tick_.once(0);
    loop_.run();
  }

private:
  static net::HttpServer::Options server_options(const Settings &settings) {
    net::HttpServer::Options o;
    // The rest is for this node's own connections: state service, cloud, siblings, workers told at once, log.
    o.max_connections = static_cast<std::size_t>(
        std::max(8, settings.fd_limit - 60 - static_cast<int>(net::OutboundRequestPool::kMax)));
    return o;
  }

  static std::vector<net::Address> replica_addresses(const Settings &settings) {
    std::vector<net::Address> out;
    for (const auto &x : settings.replicas)
      out.push_back(*net::parse_address(x.address));
    for (const auto &c : settings.cells.others)
      for (const auto &node : c.nodes)
        out.push_back(*net::parse_address(node));
    return out;
  }

  // Frames of another cell are taken from its configured addresses alone.
  bool on_cell(net::LinkId link, int node, std::string_view &rest) {
    wire::CellMessage message;
    const auto got = wire::read_cell(rest, message);
    if (got == wire::FrameRead::Garbage) reject_frame(link, BodyInterface::Cells, rest);
    if (got != wire::FrameRead::Frame) return got == wire::FrameRead::NeedMore;
    const auto ip = peers_.remote_ip(link);
    const bool known = std::any_of(cells_.begin(), cells_.end(), [&](const auto &c) {
      return c.name == message.from && std::any_of(c.nodes.begin(), c.nodes.end(), [ip](const std::string &address) {
               return net::parse_address(address)->ip == ip;
             });
    });
    if (!known) {
      if (!std::exchange(told_stranger_, true))
        write_log({core::LogLevel::Error,
                   "cell_refused",
                   {{"from", message.from.substr(0, 60)}, {"why", "not from an address of the features file"}}});
      return false;
    }
    push(core::CellMessageCommand{node, link, std::move(message)});
    return true;
  }

  void reject_frame(net::LinkId link, BodyInterface interface, std::string_view rest) {
    reject(
        {interface, RejectionReason::Undecodable, net::format_address(peers_.remote_ip(link), 0), {}, "frame", rest});
  }

  bool on_peer(net::LinkId link, int replica, std::string &buffer) {
    work_now_.decode_body(interface_name(BodyInterface::Replicas), {}, "frame", buffer.size());
    const bool keep = read_frames(link, replica, buffer);
    work_now_.finish();
    return keep;
  }

  bool read_frames(net::LinkId link, int replica, std::string &buffer) {
    std::string_view rest = buffer;
    const int node = replica - static_cast<int>(replicas_);
    for (;;) {
      if (!cells_.empty() && wire::looks_like_cell(rest)) {
        const auto before = rest.size();
        if (!on_cell(link, std::max(-1, node), rest)) return false;
        if (rest.size() < before) continue;
        buffer.erase(0, buffer.size() - rest.size());
        return true;
      }
      if (node >= 0 && rest.size() >= 4) return false; // from another cell, and no frame of one
      wire::PeerMessage message;
      const auto got = wire::read_peer(rest, message);
      if (got == wire::FrameRead::Garbage) reject_frame(link, BodyInterface::Replicas, rest);
      if (got == wire::FrameRead::Frame) {
        const auto dialled =
            replica >= 0 ? core::ReplicaIndex(static_cast<std::size_t>(replica)) : core::ReplicaIndex();
        push(core::PeerMessageCommand{dialled, link, std::move(message)});
        continue;
      }
      buffer.erase(0, buffer.size() - rest.size());
      return got == wire::FrameRead::NeedMore;
    }
  }

  void push(core::Command c) {
    work_now_.finish();
    if (queue_.empty()) queued_at_ = loop_.now();
    queue_.push_back(std::move(c));
  }

  void drain() {
    auto batch = std::move(queue_);
    queue_.clear();
    const double began = net::mono_now();
    wait_ms_.add((began - queued_at_) * 1000);
    auto effects = core_.apply(std::move(batch), {began, net::wall_now()});
    work_now_.finish();
    work_now_.set_leader_term(core_.term());
    batch_ms_.add((net::mono_now() - began) * 1000);
    for (const auto &l : effects.logs)
      write_log(l);
    for (const auto &r : effects.replies)
      server_.respond(r.req, r.status, r.body, r.retry_after, r.json ? "application/json" : "application/cbor");
    for (const auto &op : effects.store)
      store_.send(op);
    for (const auto &op : effects.cloud)
      cloud_.send(op);
    for (const auto &w : effects.workers)
      if (auto to = net::parse_address(w.address))
        outbound_requests_.post(*to, "/orders",
                                wire::encode_direct_commands(w.fencing_token, w.incarnation, w.commands));
    bool prompt = false;
    for (const auto &p : effects.peers) {
      auto frame = wire::encode_peer(p.message);
      if (p.replica.valid())
        peers_.send_to_replica(static_cast<int>(p.replica.position()), frame);
      else
        peers_.send_on(p.link, frame);
      prompt |= p.message.kind != wire::PeerMessage::Kind::Heartbeat;
    }
    for (const auto &c : effects.cells) {
      const auto frame = wire::encode_cell(c.message);
      if (c.node >= 0)
        peers_.send_to_replica(static_cast<int>(replicas_) + c.node, frame);
      else
        peers_.send_on(c.link, frame);
      prompt = true;
    }
    if (prompt) return peers_.send_all();
    if (effects.peers.empty() || passing_on_) return;
    passing_on_ = true;
    pass_on_.once(pass_on_every_);
  }

  void write_log(const core::LogLine &line) {
    double t = net::mono_now();
    log_level_ = std::min(kLogBurst, log_level_ + (t - log_at_) * kLogRate);
    log_at_ = t;
    if (log_level_ < 1 && line.level != core::LogLevel::Error) {
      ++log_dropped_;
      return;
    }
    log_level_ -= 1;
    if (log_dropped_) write_line({core::LogLevel::Info, "lines_left_out", {{"lines", std::exchange(log_dropped_, 0)}}});
    write_line(line);
  }

  void on_request(net::ConnId id, net::HttpMessage &&message) {
    const auto interface = interface_of(message.target);
    work_now_.decode_body(interface_name(interface), message.method, message.target, message.body.size());
    auto read = read_request(id, message);
    work_now_.finish();
    if (const auto *rejected = std::get_if<RejectedRequest>(&read)) {
      if (rejected->reason)
        reject(
            {interface, *rejected->reason, server_.remote_address(id), message.method, message.target, message.body});
      return server_.respond(id, rejected->status, rejected->body, {}, rejected->content_type);
    }
    auto &command = std::get<core::Command>(read);
    if (auto *admin = std::get_if<core::AdminCommand>(&command)) admin->request.process = process_load();
    push(std::move(command));
  }

  // The HTTP parser has no whole request to show.
  void on_rejected_request(net::ConnId id, const char *text) {
    reject({BodyInterface::Users, RejectionReason::InvalidRequest, server_.remote_address(id), {}, text, {}});
  }

  void reject(const RejectedBody &rejected) {
    if (const auto line = rejected_bodies_.add(rejected, net::mono_now())) write_log(*line);
  }

  wire::ProcessLoad process_load() const {
    return {.batch_ms = {batch_ms_.quantile(0.5), batch_ms_.quantile(0.99)},
            .queue_wait_ms = {wait_ms_.quantile(0.5), wait_ms_.quantile(0.99)},
            .cpu_s = static_cast<double>(std::clock()) / CLOCKS_PER_SEC,
            .rejected_bodies = rejected_bodies_.counts()};
  }

  // Counts and logs the replies of one service that cannot be decoded.
  class ServiceReplies final : public net::ReplyObserver {
  public:
    ServiceReplies(Daemon &daemon, BodyInterface interface, std::string address)
        : daemon_(daemon), interface_(interface), address_(std::move(address)) {}
    void decoding(std::string_view method, std::string_view target, std::string_view body) override {
      daemon_.work_now_.decode_body(interface_name(interface_), method, target, body.size());
    }
    void rejected(std::string_view method, std::string_view target, std::string_view body) override {
      daemon_.reject({interface_, RejectionReason::Undecodable, address_, method, target, body});
    }

  private:
    Daemon &daemon_;
    BodyInterface interface_;
    std::string address_;
  };

  static constexpr double kLogRate = 50, kLogBurst = 200;

  CurrentWork work_now_;
  RunRecord run_record_;
  RejectedBodies rejected_bodies_;
  net::Loop loop_;
  core::Core core_;
  std::vector<core::Command> queue_;
  net::HttpServer server_;
  ServiceReplies state_service_replies_;
  ServiceReplies cloud_replies_;
  store::StoreClient store_;
  cloud::CloudClient cloud_;
  net::PeerLinks peers_;
  net::OutboundRequestPool outbound_requests_{loop_};
  net::Timer tick_;
  net::BeforeWait work_;
  const std::size_t replicas_;
  const std::vector<OtherCell> cells_;
  bool told_stranger_ = false;
  double queued_at_ = 0;
  double pass_on_every_;
  net::Timer pass_on_;
  bool passing_on_ = false;
  LatencyHistogram batch_ms_, wait_ms_; // a batch's work, and how long its first command waited
  double log_level_ = kLogBurst, log_at_ = 0;
  std::size_t log_dropped_ = 0;
};

} // namespace

void setup_logging() {
  auto setting = [](const char *name) {
    const char *value = std::getenv(name);
    return std::string(value ? value : "");
  };
  auto logger = spdlog::stderr_logger_st("loftrouter");
  log_as_json = setting("LOG_FORMAT") == "json";
  logger->set_pattern(log_as_json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                                  : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
  const std::string level = setting("LOG_LEVEL");
  logger->set_level(level == "error"   ? spdlog::level::err
                    : level == "debug" ? spdlog::level::debug
                                       : spdlog::level::info);
  spdlog::set_default_logger(logger);
}

std::string run_daemon(const Settings &settings) {
  std::string error;
  auto api = net::listen_on(*net::parse_address(settings.listen), error);
  if (!api) return "api_addr: cannot listen: " + error;
  auto peers = net::listen_on(*net::parse_address(settings.peer_listen), error);
  if (!peers) return "peer_listen: cannot listen: " + error;
  Daemon(settings, std::move(api), std::move(peers)).run();
  return {};
}

} // namespace loftrouter::app
