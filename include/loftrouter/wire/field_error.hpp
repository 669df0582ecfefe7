// The error of a request or stored document with a field that is missing, unknown or invalid.
#pragma once

#include <string>

namespace loftrouter::wire {

// Shown to the user or operator who sent the request.
struct FieldError {
  std::string message; // names the field and, where it helps, what is expected
};

} // namespace loftrouter::wire
