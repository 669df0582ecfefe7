// The simulated worlds and federations whose messages make the fingerprint. Together they exercise all that the
// controllers do; options, load and faults vary with the seed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "effects_hash.hpp"

namespace loftrouter::fingerprint {

struct Scenario {
  std::string_view name, description;
  // Plays one seed to its end; returns the protocol's rules that were broken, in words.
  std::vector<std::string> (*play)(std::uint64_t seed, EffectsHash &hash);
};

const std::vector<Scenario> &scenarios();
const Scenario *find_scenario(std::string_view name); // null: none of that name

struct SeedResult {
  std::uint64_t hash = 0, messages = 0;
  std::vector<std::string> broken_rules;
};
SeedResult play_seed(const Scenario &scenario, std::uint64_t seed, TextContents texts = TextContents::Hashed);

} // namespace loftrouter::fingerprint
