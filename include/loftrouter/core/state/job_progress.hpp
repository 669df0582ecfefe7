// Tracks which progress of a job the state service has recorded, and what is still to be written.
#pragma once

#include <cstdint>
#include <vector>

#include "loftrouter/core/state/shard_index.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::core {

// Tracks how much of one task's progress is stored in the state service.
struct TaskRecordState {
  bool started : 1 = false;             // may be or have been on a machine; never reset
  bool start_in_write : 1 = false;      // included in the latest write
  bool start_recorded : 1 = false;      // confirmed by the state service: the worker may be told to start it
  bool completion_in_write : 1 = false; // included in the latest write
  bool completion_recorded : 1 = false; // confirmed by the state service: the worker may forget the task
};
static_assert(sizeof(TaskRecordState) == 1, "held for every task of every open job");

struct JobProgress {
  static constexpr std::uint32_t kDefaultPrerecordedTasks = 4;

  std::vector<TaskRecordState> tasks; // by task index

  ShardIndex shard;
  // The shard that held the job before, until it has been written without it; otherwise invalid.
  ShardIndex moving_from;
  bool copy_recorded = false; // during a move: a confirmed write of `shard` holds the entry

  wire::Json entry;        // the job's part of the progress record, as last written
  bool dirty = false;      // `entry` is out of date
  int size_reductions = 0; // rejections as too large; each halves the space for task ranges
  std::uint32_t prerecorded_tasks = kDefaultPrerecordedTasks; // see ProgressWriter::set_prerecorded_tasks

  // Generations of the job's delegations in the latest write and in the latest confirmed write.
  std::vector<std::uint64_t> delegations_in_write;
  std::vector<std::uint64_t> delegations_recorded;
};

} // namespace loftrouter::core
