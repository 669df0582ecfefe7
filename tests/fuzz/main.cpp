// libFuzzer's entry; FUZZ_TARGET names the target (see CMakeLists.txt).
#include <cstdint>

#include "targets.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  static const auto run = loftrouter::fuzz::target(FUZZ_TARGET);
  run({reinterpret_cast<const char *>(data), size});
  return 0;
}
