// Bodies that bytes drawn at random never become: CBOR of any structure up to the largest size of a body.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace loftrouter::fuzz {

inline constexpr std::size_t kLargestBodyBytes = std::size_t{64} * 1024;

// Returns `unit` repeated up to the size of the largest body.
std::string repeated(std::string_view unit);

// Builds a body from a program, of which each byte is an instruction or its operand: heads of every kind, definite and
// indefinite, nested, repeated to the largest size, closed, cut off. Any program is valid; equal ones build equal
// bodies.
std::string build_structure(std::string_view program);

// Returns a drawn program for `build_structure`.
std::string draw_program(unsigned seed);

// Returns well-formed CBOR of the protocol's types, with distinct keys, at most `depth` containers deep.
std::string draw_well_formed(unsigned seed, std::size_t depth);

} // namespace loftrouter::fuzz
