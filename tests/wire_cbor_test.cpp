#include <gtest/gtest.h>

#include <string>

#include "loftrouter/wire/cbor.hpp"
#include "wire_fixtures.hpp"

using namespace loftrouter::wire;

// Guards against crashes and ambiguous values from untrusted input: deep nesting, lengths beyond the input, trailing
// bytes, byte strings, non-finite numbers, duplicate keys and invalid UTF-8.
TEST(WireCbor, RejectsMalformedInput) {
  const std::string infinity("\xa1\x61\x61\xf9\x7c\x00", 6);
  const std::string not_a_number("\xa1\x61\x61\xf9\x7e\x00", 6);
  const std::string bodies[] = {std::string(60000, '\x81'),                          // nested arrays
                                std::string(60000, '\xa1'),                          // nested maps
                                std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"), // huge array
                                std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"), // huge text
                                std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff"), // huge map
                                encode(valid_job()) + "x",                           // trailing byte
                                std::string("\xa1\x61\x61\x41\x00", 5),              // byte string
                                infinity,
                                not_a_number,
                                std::string("\xa2\x61\x61\x01\x61\x61\x02"), // duplicate key
                                std::string("\xa1\x61\x61\x62\xc3\x28"),     // invalid UTF-8
                                std::string()};
  for (const std::string &body : bodies)
    EXPECT_FALSE(decode(body)) << body.substr(0, 12);
}
