// What users ask for. Any node answers: submissions and cancellations go straight to the state service, and an answer
// about a job comes from a read made after the question arrived. What the state service does not answer here is passed
// on, once, to a sibling that it answers; see docs/links.md.
//
// Owns the questions under way and what is known of open records. Promises that nothing is told that the state
// service has not said since it was asked, and that an answer never goes back behind one given before (forgotten,
// not_done, went_back). What cannot be answered in time is refused at once.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "loftrouter/core/api/status_reporter.hpp"
#include "loftrouter/core/jobs/ended_jobs.hpp"
#include "loftrouter/core/runtime/forwarded_requests.hpp"

namespace loftrouter::core {

class JobApiHandler {
public:
  JobApiHandler(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                StateServiceLimits &state_limits, const Leadership &leadership, JobTable &jobs, EndedJobs &ended,
                Replicas &replicas, Cancellations &cancellations, const Quotas &quotas,
                const StatusReporter &status_reporter)
      : runtime_(runtime), settings_(settings), catalog_(catalog), state_limits_(state_limits), leadership_(leadership),
        jobs_(jobs), ended_(ended), replicas_(replicas), cancellations_(cancellations), quotas_(quotas),
        status_reporter_(status_reporter), passed_(kMaxPassed, runtime.nonce()) {}

  void take(SubmitCommand &&cmd);
  void take(LookupCommand &&cmd);
  void take(CancelCommand &&cmd);
  void check_open_records();                                    // at the end of each batch
  void tick();                                                  // gives up what a sibling has not answered
  void handle_forwarded_request(const PeerMessageCommand &cmd); // by a sibling, for a user of its own
  void relay_forwarded_reply(const wire::PeerMessage &message); // by a sibling, about what was passed on to it
  bool can_answer() const;                                      // here, or by way of a sibling
  void on(const JobEndLearned &event) { known_open_.erase(event.id); }

private:
  static constexpr std::size_t kMaxPassed = 512;
  static constexpr double kQuestionPatience = 0.25; // s, that a question waits for a comparison
  static constexpr double kNamesPatience = 1.0;     // the same where others have to be read first
  using Verb = wire::PeerMessage::Verb;
  // Those about jobs known to be open wait for the next comparison of their records' revisions.
  struct Question {
    RequestId req;
    std::string id;
    bool as_submit;
    double asked;
    double patience = kQuestionPatience;
    std::vector<std::string> unchanged = {}; // records that a comparison since has found so
  };
  struct Compared {
    Question question;
    std::vector<std::string> keys;
    bool whole = true; // all that it has to find unchanged is in the comparison
  };
  struct Passed {
    Verb verb;
    std::string id, body; // the latter only if it is short
    double asked;
    std::uint64_t tried; // siblings, by bit
    bool waits;          // a submission that names others
  };
  struct KnownOpen {
    std::uint64_t mod_revision;
    bool cancelled, service;
    std::vector<std::string> dependencies; // without those known to be done
  };
  // What is known of a job that another names; Never: nobody has accepted it.
  enum class Named : std::uint8_t { Open, Service, Done, Cancelled, Never, Unknown };
  struct Submission; // one that names others, while they are looked up
  enum class Verdict : std::uint8_t { Ok, Never, Unknown };
  Verdict judge(const JobSpec &spec, std::string &why) const;
  void answer_state(const Question &question);
  void answer_end(RequestId req, const std::string &id, const EndRecord &end, bool brief);
  void tell_open(const Question &question, bool cancelled);
  void note_open(const OpenRecord &record, std::uint64_t mod_revision, bool cancelled);
  const KnownOpen *known_open(const std::string &id);
  Named known(const std::string &id);
  void learn(const std::string &id, std::function<void(Named)> then);
  void check_names(std::shared_ptr<Submission> s);
  void names_checked(const std::shared_ptr<Submission> &s);
  void accept(const Question &question, OpenRecord record);
  void refuse_for_ever(const Question &question, const JobSpec &spec, const std::string &why);
  void abort(const Question &question);
  std::size_t max_guards() const { return static_cast<std::size_t>(4 * settings_.state_txn_ops); } // of a comparison
  std::optional<Compared> compare(Question question, StoreCommit &commit);
  std::string cancelled_name(const std::string &id);
  void read_open(const Question &question);
  void want_id(const Question &question, std::uint64_t mod_revision, OpenRecord record);
  void read_end(const Question &question, bool as_abort);
  int helper(std::uint64_t tried = 0, bool knows_dependencies = false) const; // the sibling to pass on to, or -1
  bool pass_on(RequestId req, Verb verb, const std::string &id, double asked, std::string body = {},
               std::uint64_t tried = 0, bool waits = false);
  // The state service has not answered: somebody else may.
  void no_answer(const Question &question, Verb verb, std::string_view why, std::string body = {}, bool waits = false);
  void no_answer(const Question &question, const JobSpec &spec, std::string_view why); // to its submission

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  StateServiceLimits &state_limits_;
  const Leadership &leadership_;
  JobTable &jobs_;
  EndedJobs &ended_;
  Replicas &replicas_;
  Cancellations &cancellations_;
  const Quotas &quotas_;
  const StatusReporter &status_reporter_;
  int under_way_ = 0; // operations for users
  std::deque<Question> questions_;
  bool confirming_ = false;
  double next_confirm_ = 0, next_sweep_ = 0;
  std::unordered_map<std::string, KnownOpen> known_open_;
  std::deque<std::string> known_order_;
  ForwardedRequests<Passed> passed_;
};

} // namespace loftrouter::core
