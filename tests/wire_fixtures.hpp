// Valid messages for the tests of src/wire.
#pragma once

#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

// Returns a submission with all required and some optional fields.
inline Json valid_job() {
  return {{"id", "j-000412"}, {"jobclass", "train"}, {"crew", "vision"},   {"shape", "gang"},  {"urgency", "urgent"},
          {"pieces", 16},     {"cores", 8.0},        {"cards", 1.0},       {"ram_gb", 64.0},   {"bundle", "img-07"},
          {"image_gb", 6.2},  {"hulls", {"g8"}},     {"yard", nullptr},    {"one_zone", true}, {"apart", false},
          {"standby", true},  {"guess_s", 240.0},    {"bookmark_s", 30.0}, {"stash_s", 4.0},   {"due_s", 900.0}};
}

// Returns a heartbeat with one running task.
inline Json valid_heartbeat() {
  return {{"box", "n-1"},
          {"address", "1.2.3.4:5"},
          {"hull", "g8"},
          {"yard", "a"},
          {"standby", true},
          {"shift", 1},
          {"tick", 88},
          {"baton", 41},
          {"pieces", {{{"piece", "j-000412/3"}, {"try", 2}, {"status", "running"}}}}};
}

} // namespace loftrouter::wire
