// Replays what fuzzing began with and what was kept of its finds. New inputs are looked for by hand: README, "Fuzzing".
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "fuzz/targets.hpp"

TEST(Fuzz, KeptInputsAreTakenWell) {
  for (const char *name : {"http", "wire", "peer", "cell", "reports"}) {
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
