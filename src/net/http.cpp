#include "loftrouter/net/http.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace loftrouter::net {

namespace {

bool is_token_char(char c) {
  if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')) return true;
  return std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool is_token(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), is_token_char);
}

bool iequals(std::string_view a, std::string_view b) {
  auto low = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [&](char x, char y) { return low(x) == low(y); });
}

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t'))
    s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t'))
    s.remove_suffix(1);
  return s;
}

// Digits only, no sign, no overflow: a length that two readers could take differently is refused.
std::optional<std::size_t> parse_number(std::string_view s, int base) {
  if (s.empty() || s.size() > 15) return std::nullopt;
  std::size_t value = 0;
  auto [end, err] = std::from_chars(s.data(), s.data() + s.size(), value, base);
  if (err != std::errc() || end != s.data() + s.size()) return std::nullopt;
  return value;
}

const char *reason(int status) {
  switch (status) {
  case 200:
    return "OK";
  case 201:
    return "Created";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 405:
    return "Method Not Allowed";
  case 408:
    return "Request Timeout";
  case 409:
    return "Conflict";
  case 413:
    return "Content Too Large";
  case 421:
    return "Misdirected Request";
  case 422:
    return "Unprocessable Content";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 501:
    return "Not Implemented";
  case 503:
    return "Service Unavailable";
  default:
    return "Status";
  }
}

} // namespace

HttpParser::State HttpParser::fail(int status, const char *text) {
  error_ = status;
  error_text_ = text;
  phase_ = Phase::Done;
  return State::Failed;
}

bool HttpParser::parse_start_line(std::string_view line) {
  if (kind_ == Kind::Request) {
    auto a = line.find(' ');
    if (a == std::string_view::npos) return false;
    auto b = line.find(' ', a + 1);
    if (b == std::string_view::npos || line.find(' ', b + 1) != std::string_view::npos) return false;
    auto method = line.substr(0, a), target = line.substr(a + 1, b - a - 1);
    auto version = line.substr(b + 1);
    if (!is_token(method) || target.empty() || target[0] != '/') return false;
    if (std::any_of(target.begin(), target.end(), [](char c) { return c <= ' ' || c > '~'; })) return false;
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
    msg_.keep_alive = version == "HTTP/1.1";
    msg_.method = method;
    msg_.target = target;
    return true;
  }
  if (line.size() < 12 || line.substr(0, 7) != "HTTP/1." || line[8] != ' ') return false;
  msg_.keep_alive = line[7] == '1';
  auto code = parse_number(line.substr(9, 3), 10);
  if (!code || *code < 100 || *code > 599) return false;
  msg_.status = static_cast<int>(*code);
  return true;
}

bool HttpParser::parse_header(std::string_view line) {
  auto colon = line.find(':');
  // No folding and no space before the colon: both are known ways to smuggle a header.
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return false;
  auto name = line.substr(0, colon);
  auto value = trim(line.substr(colon + 1));
  if (std::any_of(value.begin(), value.end(),
                  [](char c) { return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == 127; }))
    return false;
  if (iequals(name, "content-length")) {
    auto n = parse_number(value, 10);
    if (!n || length_) return false; // also a repeated length, equal or not
    length_ = *n;
  } else if (iequals(name, "transfer-encoding")) {
    if (chunked_ || !iequals(value, "chunked")) return false;
    chunked_ = true;
  } else if (iequals(name, "connection")) {
    if (iequals(value, "close"))
      msg_.keep_alive = false;
    else if (iequals(value, "keep-alive"))
      msg_.keep_alive = true;
  } else if (iequals(name, "host")) {
    if (host_seen_) return false;
    host_seen_ = true;
  } else if (iequals(name, "retry-after")) {
    if (auto n = parse_number(value, 10)) msg_.retry_after = static_cast<int>(std::min<size_t>(*n, 3600));
  }
  return true;
}

HttpParser::State HttpParser::parse_head() {
  // Blank lines before a request are tolerated, as other servers do.
  std::size_t skip = 0;
  while (buffer_.compare(skip, 2, "\r\n") == 0)
    skip += 2;
  if (skip) buffer_.erase(0, skip);
  auto end = buffer_.find("\r\n\r\n");
  if (end == std::string::npos) {
    if (buffer_.size() > limits_.header_bytes) return fail(431, "headers too large");
    return State::NeedMore;
  }
  if (end > limits_.header_bytes) return fail(431, "headers too large");
  std::string head = buffer_.substr(0, end);
  buffer_.erase(0, end + 4);
  std::string_view rest = head;
  bool first = true;
  std::size_t count = 0;
  while (!rest.empty() || first) {
    auto eol = rest.find("\r\n");
    auto line = rest.substr(0, eol);
    rest = eol == std::string_view::npos ? std::string_view{} : rest.substr(eol + 2);
    if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos)
      return fail(400, "bare line break");
    if (first) {
      if (!parse_start_line(line)) return fail(400, "bad start line");
      first = false;
    } else {
      if (++count > 64) return fail(431, "too many headers");
      if (!parse_header(line)) return fail(400, "bad header");
    }
  }
  if (chunked_ && length_) return fail(400, "two lengths");
  if (length_ && *length_ > limits_.body_bytes) return fail(413, "body too large");
  if (chunked_) {
    phase_ = Phase::ChunkSize;
  } else if (length_) {
    remaining_ = *length_;
    phase_ = Phase::Fixed;
  } else if (kind_ == Kind::Response && msg_.status != 204 && msg_.status != 304) {
    phase_ = Phase::UntilClose;
    msg_.keep_alive = false;
  } else {
    phase_ = Phase::Done;
  }
  return State::Complete;
}

HttpParser::State HttpParser::poll() {
  if (error_) return State::Failed;
  for (;;) {
    switch (phase_) {
    case Phase::Start: {
      auto s = parse_head();
      if (s != State::Complete) return s;
      break;
    }
    case Phase::Fixed:
    case Phase::ChunkData: {
      auto n = std::min(remaining_, buffer_.size());
      msg_.body.append(buffer_, 0, n);
      buffer_.erase(0, n);
      remaining_ -= n;
      if (remaining_) return State::NeedMore;
      phase_ = phase_ == Phase::Fixed ? Phase::Done : Phase::ChunkEnd;
      break;
    }
    case Phase::ChunkSize: {
      auto eol = buffer_.find("\r\n");
      if (eol == std::string::npos) return buffer_.size() > 64 ? fail(400, "bad chunk size") : State::NeedMore;
      auto n = parse_number(std::string_view(buffer_).substr(0, eol), 16);
      if (!n) return fail(400, "bad chunk size");
      if (msg_.body.size() + *n > limits_.body_bytes) return fail(413, "body too large");
      buffer_.erase(0, eol + 2);
      remaining_ = *n;
      phase_ = *n ? Phase::ChunkData : Phase::Trailer;
      break;
    }
    case Phase::ChunkEnd:
      if (buffer_.size() < 2) return State::NeedMore;
      if (buffer_.compare(0, 2, "\r\n") != 0) return fail(400, "bad chunk end");
      buffer_.erase(0, 2);
      phase_ = Phase::ChunkSize;
      break;
    case Phase::Trailer: {
      auto eol = buffer_.find("\r\n");
      if (eol == std::string::npos)
        return buffer_.size() > limits_.header_bytes ? fail(431, "trailer too large") : State::NeedMore;
      trailer_bytes_ += eol + 2;
      if (trailer_bytes_ > limits_.header_bytes) return fail(431, "trailer too large");
      bool last = eol == 0;
      buffer_.erase(0, eol + 2);
      if (last) phase_ = Phase::Done;
      break;
    }
    case Phase::UntilClose:
      msg_.body.append(buffer_);
      buffer_.clear();
      if (msg_.body.size() > limits_.body_bytes) return fail(413, "body too large");
      return State::NeedMore;
    case Phase::Done:
      return State::Complete;
    }
  }
}

bool HttpParser::finish_at_close() {
  if (phase_ != Phase::UntilClose || error_) return false;
  phase_ = Phase::Done;
  return true;
}

HttpMessage HttpParser::take() {
  HttpMessage out = std::move(msg_);
  msg_ = {};
  length_.reset();
  chunked_ = host_seen_ = false;
  trailer_bytes_ = remaining_ = 0;
  phase_ = Phase::Start;
  return out;
}

std::string format_request(std::string_view method, std::string_view target, std::string_view host,
                           std::string_view body) {
  std::string out = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", method, target, host);
  if (!body.empty() || method == "POST")
    out += fmt::format("Content-Type: application/cbor\r\nContent-Length: {}\r\n", body.size());
  out += "\r\n";
  out += body;
  return out;
}

std::string format_response(int status, std::string_view body, std::optional<int> retry_after, bool keep_alive,
                            std::string_view content_type) {
  std::string out = fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n", status, reason(status), body.size());
  if (!body.empty()) out += fmt::format("Content-Type: {}\r\n", content_type);
  if (retry_after) out += fmt::format("Retry-After: {}\r\n", *retry_after);
  if (!keep_alive) out += "Connection: close\r\n";
  out += "\r\n";
  out += body;
  return out;
}

} // namespace loftrouter::net
