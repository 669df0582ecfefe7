// Tests heartbeat reconciliation, stops and starts of the worker registry in isolation.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "leadership_fixture.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"
#include "loftrouter/wire/job_records.hpp"
#include "state_fixture.hpp"

using namespace loftrouter;
using namespace loftrouter::core;

namespace {

TaskStatus running_task(const std::string &job, std::uint32_t index) {
  TaskStatus task;
  task.job = job;
  task.index = index;
  task.attempt = 1;
  task.phase = TaskPhase::Running;
  return task;
}

class WorkerRegistryTest : public test::StateFixture {
protected:
  WorkerRegistryTest() {
    MachineType type;
    type.name = "large";
    type.size = {32, 0, 128};
    catalog.update({type});
    test::win_election(runtime, leadership);
    leadership.begin_term();
  }

  JobIndex open_job(const std::string &id, Shape shape, std::uint32_t tasks) {
    OpenRecord record;
    record.spec.id = id;
    record.spec.job_class = "class";
    record.spec.team = "red";
    record.spec.image = "image";
    record.spec.shape = shape;
    record.spec.tasks = tasks;
    record.spec.need = {1, 0, 1};
    state_writer_.load_open_record("open/" + id, wire::to_json(record), 1);
    return jobs.index(id);
  }
  MachineIndex add_machine(const std::string &name) { return workers_.find_or_add(name, "large", "a", false); }
  void place_task(JobIndex job_index, std::uint32_t task_index, MachineIndex machine_index) {
    state_writer_.mark_started(job_index, task_index);
    jobs.place(job_index, task_index, machine_index, workers_[machine_index].zone);
    workers_.allocate(machine_index, job_index, task_index, 1);
  }
  WorkerRegistry::HeartbeatResult accept_heartbeat(MachineIndex machine_index, std::uint64_t sequence,
                                                   std::vector<TaskStatus> tasks) {
    Heartbeat heartbeat;
    heartbeat.machine = workers_[machine_index].name;
    heartbeat.incarnation = 1;
    heartbeat.sequence = sequence;
    heartbeat.fencing_token = leadership.term();
    heartbeat.tasks = std::move(tasks);
    commands_.clear();
    return workers_.accept_heartbeat(machine_index, heartbeat, core::ReplicaIndex(), commands_);
  }
  TaskState task_state(JobIndex job_index, std::uint32_t task_index) const {
    return jobs[job_index].tasks[task_index].state;
  }

  StateWriter state_writer_{context};
  WorkerRegistry workers_{runtime, events, settings, catalog, operators, leadership, jobs, state_writer_};
  std::vector<TaskCommand> commands_; // in response to the last heartbeat
};

} // namespace

TEST_F(WorkerRegistryTest, AdoptsATaskStartedByAnEarlierLeader) {
  const JobIndex job = open_job("j-000001", Shape::Array, 2);
  const MachineIndex machine = add_machine("m-1");
  EXPECT_EQ(accept_heartbeat(machine, 1, {running_task("j-000001", 0)}), WorkerRegistry::HeartbeatResult::Accepted);
  EXPECT_EQ(task_state(job, 0), TaskState::Placed);
  EXPECT_TRUE(commands_.empty());
  EXPECT_EQ(workers_.running_tasks(job), 1U);
  EXPECT_TRUE(workers_.consistent(machine));
}

TEST_F(WorkerRegistryTest, ReleasesATaskThatIsNoLongerListed) {
  const JobIndex job = open_job("j-000001", Shape::Array, 2);
  const MachineIndex machine = add_machine("m-1");
  EXPECT_EQ(accept_heartbeat(machine, 1, {running_task("j-000001", 0)}), WorkerRegistry::HeartbeatResult::Accepted);
  EXPECT_EQ(accept_heartbeat(machine, 2, {}), WorkerRegistry::HeartbeatResult::Accepted);
  EXPECT_EQ(task_state(job, 0), TaskState::Pending);
  EXPECT_TRUE(workers_[machine].allocations.empty());
  EXPECT_TRUE(workers_.consistent(machine));
}

TEST_F(WorkerRegistryTest, RejectsStaleHeartbeats) {
  const JobIndex job = open_job("j-000001", Shape::Array, 2);
  const MachineIndex machine = add_machine("m-1");
  EXPECT_EQ(accept_heartbeat(machine, 2, {running_task("j-000001", 0)}), WorkerRegistry::HeartbeatResult::Accepted);
  EXPECT_EQ(accept_heartbeat(machine, 2, {}), WorkerRegistry::HeartbeatResult::Stale);
  EXPECT_EQ(accept_heartbeat(machine, 1, {}), WorkerRegistry::HeartbeatResult::Stale);
  EXPECT_EQ(task_state(job, 0), TaskState::Placed);
}

TEST_F(WorkerRegistryTest, StopsATaskOfAnUnknownJob) {
  const MachineIndex machine = add_machine("m-1");
  EXPECT_EQ(accept_heartbeat(machine, 1, {running_task("j-000009", 0)}), WorkerRegistry::HeartbeatResult::Accepted);
  ASSERT_EQ(commands_.size(), 1U);
  EXPECT_EQ(commands_[0].verb, TaskCommand::Verb::Stop);
  ASSERT_EQ(workers_[machine].allocations.size(), 1U) << "the task uses capacity until it is no longer listed";
  EXPECT_FALSE(workers_[machine].allocations[0].job.valid());
}

TEST_F(WorkerRegistryTest, RejectsHeartbeatsOfAMachineListedAsFailed) {
  const JobIndex job = open_job("j-000001", Shape::Array, 2);
  const MachineIndex machine = add_machine("m-1");
  EXPECT_EQ(accept_heartbeat(machine, 1, {running_task("j-000001", 0)}), WorkerRegistry::HeartbeatResult::Accepted);
  workers_.mark_listed_failed(machine);
  EXPECT_EQ(task_state(job, 0), TaskState::Pending);
  EXPECT_TRUE(workers_[machine].lost());
  EXPECT_TRUE(workers_[machine].returning());
  EXPECT_EQ(accept_heartbeat(machine, 2, {running_task("j-000001", 0)}),
            WorkerRegistry::HeartbeatResult::MachineFailed);
  EXPECT_EQ(task_state(job, 0), TaskState::Pending);
}

TEST_F(WorkerRegistryTest, ReleasesAStoppedUnsentTaskImmediately) {
  const JobIndex job = open_job("j-000001", Shape::Array, 2);
  const MachineIndex machine = add_machine("m-1");
  place_task(job, 0, machine);
  workers_.stop(machine, 0, 0);
  EXPECT_EQ(task_state(job, 0), TaskState::Pending);
  EXPECT_TRUE(workers_[machine].allocations.empty());
}

TEST_F(WorkerRegistryTest, StopsARunningTaskWithTheShortestGracePeriod) {
  const JobIndex job = open_job("j-000001", Shape::Array, 2);
  const MachineIndex machine = add_machine("m-1");
  EXPECT_EQ(accept_heartbeat(machine, 1, {running_task("j-000001", 0)}), WorkerRegistry::HeartbeatResult::Accepted);
  workers_.stop(machine, 0, 10);
  workers_.stop(machine, 0, 3);
  workers_.stop(machine, 0, 5);
  EXPECT_EQ(task_state(job, 0), TaskState::Placed);
  EXPECT_EQ(workers_[machine].allocations[0].stop_grace_s, 3) << "the shortest grace period applies";
  std::vector<TaskCommand> response;
  workers_.build_response(machine, true, response);
  ASSERT_EQ(response.size(), 1U);
  EXPECT_EQ(response[0].verb, TaskCommand::Verb::Stop);
  EXPECT_EQ(response[0].grace_s, 3);
}

TEST_F(WorkerRegistryTest, SendsNoStartBeforeItIsRecorded) {
  const JobIndex job = open_job("j-000001", Shape::Array, 2);
  const MachineIndex machine = add_machine("m-1");
  EXPECT_EQ(accept_heartbeat(machine, 1, {}), WorkerRegistry::HeartbeatResult::Accepted);
  place_task(job, 0, machine);
  std::vector<TaskCommand> response;
  workers_.build_response(machine, true, response);
  EXPECT_TRUE(response.empty());
  EXPECT_EQ(workers_[machine].allocations[0].state, AllocationState::Unsent);
}

// Guards against releasing a running task by a stale position: when a gang loses a task, its unsent tasks are released
// during reconciliation, which shifts the positions of other allocations.
TEST_F(WorkerRegistryTest, KeepsListedTasksWhenAGangIsStopped) {
  const JobIndex gang = open_job("j-000001", Shape::Gang, 3);
  const JobIndex other_job = open_job("j-000002", Shape::Array, 1);
  const MachineIndex machine = add_machine("m-1");
  const MachineIndex second_machine = add_machine("m-2");
  place_task(gang, 0, machine);
  EXPECT_EQ(accept_heartbeat(machine, 1, {running_task("j-000002", 0), running_task("j-000001", 1)}),
            WorkerRegistry::HeartbeatResult::Accepted);
  EXPECT_EQ(accept_heartbeat(second_machine, 1, {running_task("j-000001", 2)}),
            WorkerRegistry::HeartbeatResult::Accepted);
  ASSERT_EQ(jobs[gang].placed, 3U);
  EXPECT_EQ(accept_heartbeat(machine, 2, {running_task("j-000002", 0)}), WorkerRegistry::HeartbeatResult::Accepted);
  EXPECT_EQ(task_state(other_job, 0), TaskState::Placed) << "its task is still listed";
  EXPECT_EQ(task_state(gang, 0), TaskState::Pending);
  EXPECT_EQ(task_state(gang, 1), TaskState::Pending);
  EXPECT_TRUE(workers_[second_machine].allocations[0].stop_requested());
  EXPECT_TRUE(workers_.consistent(machine));
}
