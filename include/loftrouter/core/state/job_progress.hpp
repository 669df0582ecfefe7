// What the leader has recorded, and still has to record, of the progress of one open job.
#pragma once

#include <cstdint>
#include <vector>

#include "loftrouter/core/state/shard_index.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::core {

// How far the records of the state service have followed one task. A write covers what was so when it was built; what
// comes up later waits for the next write.
struct TaskRecordState {
  bool started : 1 = false;             // may be, or may have been, on a machine; never taken back
  bool start_in_write : 1 = false;      // the latest write of its progress says so
  bool start_recorded : 1 = false;      // a confirmed write says so: the start may be sent
  bool completion_in_write : 1 = false; // the same two for its completion
  bool completion_recorded : 1 = false; // the worker may forget the task
};
static_assert(sizeof(TaskRecordState) == 1, "there is one of each task of each open job");

struct JobProgress {
  static constexpr std::uint32_t kDefaultPrerecordedTasks = 4;

  std::vector<TaskRecordState> tasks; // by index of the task

  // Where its entry is. A job moves when the record that holds it is larger than may be written by now; it stands in
  // both until the old record has been written without it.
  ShardIndex shard;
  ShardIndex moving_from;     // valid while it moves
  bool copy_recorded = false; // while it moves: a confirmed write of `shard` holds its entry

  wire::Json entry;        // as last written
  bool dirty = false;      // differs from `entry`
  int size_reductions = 0; // each halves the room of its task ranges; the state service has refused the record
  std::uint32_t prerecorded_tasks = kDefaultPrerecordedTasks; // see ProgressWriter::set_prerecorded_tasks

  // Generations of its delegations, in the latest write and in the latest confirmed one.
  std::vector<std::uint64_t> delegations_in_write;
  std::vector<std::uint64_t> delegations_recorded;
};

} // namespace loftrouter::core
