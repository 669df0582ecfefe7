// What fuzzing drives. Each target takes any bytes and aborts when something that must hold does not. libFuzzer calls
// them from tests/fuzz/main.cpp; the tests replay the inputs kept under tests/fuzz/kept.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace loftrouter::fuzz {

using Target = void (*)(std::string_view input);
Target target(std::string_view name);                  // nothing for an unknown one
void decode_everywhere(std::string_view body);         // passes a body to all that decode CBOR or frames
std::vector<std::string> seeds(std::string_view name); // inputs to begin with

} // namespace loftrouter::fuzz
