// Replays what fuzzing began with and what was kept of its finds. New inputs are looked for by hand: README, "Fuzzing".
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

#include "fuzz/structures.hpp"
#include "fuzz/targets.hpp"

TEST(Fuzz, KeptInputsAreTakenWell) {
  for (const char *name : {"http", "wire", "peer", "cell", "structure", "reports"}) {
    const auto run = loftrouter::fuzz::target(name);
    ASSERT_TRUE(run);
    for (const auto &input : loftrouter::fuzz::seeds(name)) {
      run(input);
      for (std::size_t cut = 0; cut < input.size() && input.size() < 600; cut += 7)
        run(std::string_view(input).substr(0, cut));
    }
    std::size_t kept = 0;
    for (const auto &file : std::filesystem::directory_iterator(std::string(FUZZ_KEPT) + "/" + name)) {
      std::ifstream in(file.path(), std::ios::binary);
      run(std::string(std::istreambuf_iterator<char>(in), {}));
      ++kept;
    }
    EXPECT_GT(kept, 0u) << name;
  }
  EXPECT_FALSE(loftrouter::fuzz::target("other"));
}

TEST(Fuzz, EveryByteRepeatedToTheLargestBodyPassesThroughEveryDecoder) {
  for (int byte = 0; byte < 256; ++byte)
    loftrouter::fuzz::decode_everywhere(loftrouter::fuzz::repeated(std::string(1, static_cast<char>(byte))));
}

TEST(Fuzz, DrawnUnitsRepeatedToTheLargestBodyPassThroughEveryDecoder) {
  constexpr int kUnits = 3000;
  std::mt19937 rng(11);
  for (int i = 0; i < kUnits; ++i) {
    std::string unit(2 + rng() % 2, '\0');
    for (char &byte : unit)
      byte = static_cast<char>(rng());
    loftrouter::fuzz::decode_everywhere(loftrouter::fuzz::repeated(unit));
  }
}

TEST(Fuzz, DrawnStructuresPassThroughEveryDecoder) {
  constexpr unsigned kStructures = 3000;
  const auto run = loftrouter::fuzz::target("structure");
  for (unsigned seed = 1; seed <= kStructures; ++seed)
    run(loftrouter::fuzz::draw_program(seed));
}
