// Incremental HTTP/1.1 parser for requests and responses. It keeps its own buffer, takes bytes in
// any split, and refuses whatever could be read in two ways (request smuggling).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace loftrouter::net {

struct HttpMessage {
  std::string method; // requests
  std::string target; // requests
  int status = 0;     // responses
  bool keep_alive = true;
  std::optional<int> retry_after;
  std::string body;
};

struct HttpLimits {
  std::size_t header_bytes = 8 * 1024;
  std::size_t body_bytes = 64 * 1024;
};

class HttpParser {
public:
  enum class Kind { Request, Response };
  enum class State { NeedMore, Complete, Failed };

  explicit HttpParser(Kind kind, HttpLimits limits = {}) : kind_(kind), limits_(limits) {}

  // Adds bytes; parsing happens in `poll`, so a caller may leave a message waiting.
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  State poll();

  HttpMessage take(); // after Complete; the parser is ready for the next message
  int error_status() const { return error_; }
  const char *error_text() const { return error_text_; }
  std::size_t buffered() const { return buffer_.size(); }
  bool idle() const { return buffer_.empty() && phase_ == Phase::Start; }
  // A response without a declared length ends where the connection ends.
  bool finish_at_close();

private:
  enum class Phase { Start, Fixed, ChunkSize, ChunkData, ChunkEnd, Trailer, UntilClose, Done };
  State fail(int status, const char *text);
  State parse_head();
  bool parse_start_line(std::string_view line);
  bool parse_header(std::string_view line);

  Kind kind_;
  HttpLimits limits_;
  Phase phase_ = Phase::Start;
  std::string buffer_;
  HttpMessage msg_;
  std::optional<std::size_t> length_;
  bool chunked_ = false;
  bool host_seen_ = false;
  std::size_t remaining_ = 0;
  std::size_t trailer_bytes_ = 0;
  int error_ = 0;
  const char *error_text_ = "";
};

std::string format_request(std::string_view method, std::string_view target, std::string_view host,
                           std::string_view body);
std::string format_response(int status, std::string_view body, std::optional<int> retry_after, bool keep_alive,
                            std::string_view content_type = "application/cbor");

} // namespace loftrouter::net
