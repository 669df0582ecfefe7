#include "loftrouter/core/connectivity/connectivity_record_store.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace loftrouter::core {

namespace {
const std::string kKeyPrefix = "reach/";
constexpr double kRequestTimeoutS = 1.0;

constexpr double kLeaseTtlS = 10.0;
constexpr double kRenewalIntervalS = 3.0;
constexpr double kGrantRetryS = 2.0;

constexpr double kMaxWritesPerMinute = 6;
constexpr double kMaxWriteBurst = 6;
constexpr double kRewriteAfterS = 5.0; // while workers reach this replica

constexpr double kListIntervalS = 2.0;
constexpr double kUrgentListIntervalS = 0.5;
constexpr double kListValidityS = 3.0;
constexpr double kReachableValidityS = 15.0; // age up to which a record shows that workers reach its replica

constexpr std::size_t kMaxSenderDigits = 3;
constexpr int kSenderNumbers = 256;

// Groups worker counts into classes by powers of four, so that only a large change causes a write.
int worker_count_class(std::uint16_t workers) {
  return static_cast<int>(std::log2(workers + 1.0) / 2);
}

// Parses the sender number at the end of a key; nullopt if it is malformed.
std::optional<std::uint8_t> sender_number(const std::string &key) {
  const std::string digits = key.substr(kKeyPrefix.size());
  if (digits.empty() || digits.size() > kMaxSenderDigits) return std::nullopt;
  if (digits.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
  const int number = std::stoi(digits);
  if (number >= kSenderNumbers) return std::nullopt;
  return static_cast<std::uint8_t>(number);
}
} // namespace

ConnectivityRecordStore::ConnectivityRecordStore(Runtime &runtime, const Settings &settings, const Replicas &replicas)
    : runtime_(runtime), settings_(settings), replicas_(replicas), lease_(runtime, kLeaseTtlS),
      write_budget_(kMaxWritesPerMinute / 60, kMaxWriteBurst), records_(settings.replicas.size()) {}

void ConnectivityRecordStore::maintain_lease() {
  if (replicas_.count() == 0 || !lease_.request_due()) return;
  if (lease_.id()) {
    lease_.schedule_request(kRenewalIntervalS);
    lease_.request_renewal([this](StateServiceLease::Renewal outcome) {
      if (outcome == StateServiceLease::Renewal::Expired) lease_.forget();
    });
    return;
  }
  lease_.schedule_request(runtime_.with_jitter(kGrantRetryS));
  lease_.request_grant([this](std::optional<StateServiceLease::Id> granted) {
    if (!granted) return;
    lease_.hold(*granted);
    written_record_.reset();
    lease_.schedule_request(kRenewalIntervalS);
  });
}

// A change of worker reachability to Unknown is not written: the record's age already shows it.
bool ConnectivityRecordStore::needs_rewrite(const ConnectivityRecord &own_record) const {
  const ConnectivityRecord &previous = *written_record_;
  if (own_record.workers != previous.workers && own_record.workers != WorkerReachability::Unknown) return true;
  if (own_record.cloud != previous.cloud) return true;
  if (!reachable_by_workers(own_record, settings_)) return false;
  return !reachable_by_workers(previous, settings_) ||
         worker_count_class(own_record.machines) > worker_count_class(previous.machines) ||
         runtime_.now() - written_at_ > kRewriteAfterS;
}

void ConnectivityRecordStore::publish(const ConnectivityRecord &own_record, bool peer_link_down) {
  maintain_lease();
  if (!lease_.id() || replicas_.state_service_lost()) return;
  // While all peer links are up, pings carry the record, so the stored one may be outdated.
  const bool write_wanted = !written_record_ || (peer_link_down && needs_rewrite(own_record));
  if (write_wanted && write_budget_.take(runtime_.now())) write(own_record);
}

void ConnectivityRecordStore::write(const ConnectivityRecord &own_record) {
  written_record_ = own_record;
  written_at_ = runtime_.now();
  const StoredConnectivityRecord record{own_record, runtime_.wall()};
  const std::string key = kKeyPrefix + std::to_string(replicas_.own_sender_number());
  StoreCommit commit{{}, {{key, wire::to_json(record), *lease_.id()}}};
  runtime_.store(std::move(commit), kRequestTimeoutS, [this, lease = lease_.id()](const wire::StoreReply &reply) {
    if (lease != lease_.id()) return;         // this lease has been replaced or forgotten
    if (reply.status == 400) lease_.forget(); // the lease does not exist any more
    if (reply.status != 200) written_record_.reset();
  });
}

void ConnectivityRecordStore::refresh(bool urgent) {
  if (list_in_flight_ || runtime_.now() < next_list_at_) return;
  next_list_at_ = runtime_.now() + (urgent ? kUrgentListIntervalS : kListIntervalS);
  list_in_flight_ = true;
  runtime_.store(StoreList{kKeyPrefix, ""}, kRequestTimeoutS,
                 [this, requested_at = runtime_.now()](const wire::StoreReply &reply) {
                   list_in_flight_ = false;
                   if (reply.status != 200) return;
                   listed_at_ = requested_at;
                   replace_records(reply.entries);
                 });
}

void ConnectivityRecordStore::replace_records(const std::vector<wire::KeyValue> &entries) {
  std::fill(records_.begin(), records_.end(), std::nullopt);
  for (const wire::KeyValue &entry : entries) {
    const auto record = wire::connectivity_from_json(entry.value);
    const auto sender = sender_number(entry.key);
    if (!record || !sender) continue;
    const ReplicaIndex replica = replicas_.by_sender(*sender);
    if (replica.valid()) records_[replica.position()] = *record;
  }
}

std::optional<ReplicaConnectivity> ConnectivityRecordStore::find(ReplicaIndex replica) const {
  const auto &stored = records_[replica.position()];
  if (!stored || runtime_.now() - listed_at_ > kListValidityS) return std::nullopt;
  ReplicaConnectivity connectivity{stored->connectivity, std::max(0.0, runtime_.wall() - stored->recorded_at_wall),
                                   false};
  if (connectivity.age_s > kReachableValidityS) {
    if (connectivity.record.workers == WorkerReachability::Reachable)
      connectivity.record.workers = WorkerReachability::Unknown;
    connectivity.record.last_forwardable_heartbeat_age_s = ConnectivityRecord::kMaxAgeS;
  }
  if (connectivity.age_s > kUnreachableValidityS) connectivity.record = {};
  return connectivity;
}

} // namespace loftrouter::core
