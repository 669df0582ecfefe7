// Defines the error for a missing, unknown or invalid field of a request or stored document.
#pragma once

#include <string>

namespace loftrouter::wire {

struct FieldError {
  std::string message; // shown to the user or operator; names the field
};

} // namespace loftrouter::wire
