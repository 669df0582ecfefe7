// Encodes and decodes job specifications, in submissions and stored records, and the responses to users.
//
// All functions are pure. decode_job rejects a body of POST /api/jobs with any invalid field, as a misread field could
// place a job where its user forbids it (docs/safety.md "wrong_place").
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/field_error.hpp"

namespace loftrouter::wire {

// Returns whether the id is "j-" followed by digits, at most 40 bytes in all.
[[nodiscard]] bool valid_job_id(std::string_view id);

// Decodes the CBOR body of a submission.
[[nodiscard]] std::variant<JobSpec, FieldError> decode_job(std::string_view body);

// Converts a job specification from and to its form in messages and records. Unknown fields are ignored.
[[nodiscard]] std::variant<JobSpec, FieldError> job_from_json(const Json &json);
[[nodiscard]] Json to_json(const JobSpec &spec);

// Encode the CBOR responses to a query, to an accepted submission or cancellation, and to a rejected request.
[[nodiscard]] std::string encode_job_view(const JobView &view);
[[nodiscard]] std::string encode_accepted(std::string_view id, JobState state);
[[nodiscard]] std::string encode_error(std::string_view text);

} // namespace loftrouter::wire
