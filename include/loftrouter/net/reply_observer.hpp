// Tells the owner of a client which replies it decodes, so that a rejected one can be counted and logged.
#pragma once

#include <string_view>

namespace loftrouter::net {

class ReplyObserver {
public:
  virtual ~ReplyObserver() = default;

  // The body of the reply to this request is about to be decoded.
  virtual void decoding(std::string_view method, std::string_view target, std::string_view body) = 0;
  // The body that was last announced cannot be decoded.
  virtual void rejected(std::string_view method, std::string_view target, std::string_view body) = 0;
};

} // namespace loftrouter::net
