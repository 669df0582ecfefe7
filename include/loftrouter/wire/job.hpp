// Jobs as users and stored records spell them: the description that is submitted, and the answers to users.
//
// All functions are pure. What decode_job accepts is the protocol's POST /api/jobs and nothing else: a job that is
// accepted with a field misread could be placed where its user forbids it (rule `wrong_place`).
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/field_error.hpp"

namespace loftrouter::wire {

// Whether an id has the form of the protocol, "j-" and digits, at most 40 bytes.
[[nodiscard]] bool valid_job_id(std::string_view id);

// The body of a submission, CBOR.
[[nodiscard]] std::variant<JobSpec, FieldError> decode_job(std::string_view body);

// A job's description in a message or record. Fields that are not known are ignored.
[[nodiscard]] std::variant<JobSpec, FieldError> job_from_json(const Json &json);
[[nodiscard]] Json to_json(const JobSpec &spec);

// Answers to users, CBOR: to a query, to a submission or cancellation, and a refusal.
[[nodiscard]] std::string encode_job_view(const JobView &view);
[[nodiscard]] std::string encode_accepted(std::string_view id, JobState state);
[[nodiscard]] std::string encode_error(std::string_view text);

} // namespace loftrouter::wire
