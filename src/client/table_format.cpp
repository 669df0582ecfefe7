#include "loftrouter/client/table_format.hpp"

#include <algorithm>
#include <string_view>

#include <fmt/format.h>

namespace loftrouter::client {

namespace {

using Row = std::vector<std::string>;

constexpr std::size_t kSpacesBetweenColumns = 2;

bool is_utf8_continuation(unsigned char byte) {
  return (byte & 0xc0) == 0x80;
}

std::size_t count_characters(const std::string &text) {
  const auto count =
      std::count_if(text.begin(), text.end(), [](unsigned char byte) { return !is_utf8_continuation(byte); });
  return static_cast<std::size_t>(count);
}

std::string without_control_characters(const std::string &text) {
  std::string out;
  for (const unsigned char byte : text) {
    if (byte < ' ' || byte == 0x7f)
      out += fmt::format("\\x{:02x}", byte);
    else
      out += static_cast<char>(byte);
  }
  return out;
}

void widen_columns(std::vector<std::size_t> &widths, const Row &row) {
  for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i)
    widths[i] = std::max(widths[i], count_characters(without_control_characters(row[i])));
}

std::string text_line(const Row &row, const std::vector<std::size_t> &widths) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i) {
    const auto cell = without_control_characters(row[i]);
    const bool last = i + 1 == row.size();
    line += cell;
    if (!last) line += std::string(widths[i] - count_characters(cell) + kSpacesBetweenColumns, ' ');
  }
  return line.substr(0, line.find_last_not_of(' ') + 1) + '\n';
}

// Names come from whoever submits jobs; a spreadsheet must not run them. Numbers stay numbers.
bool looks_like_formula(const std::string &cell) {
  if (cell.empty() || std::string_view("=+-@\t\r").find(cell[0]) == std::string_view::npos) return false;
  return cell.find_first_not_of("-.0123456789") != std::string::npos;
}

std::string csv_quoted(const std::string &cell) {
  std::string out = "\"";
  for (const char byte : cell) {
    if (byte == '"') out += '"';
    out += byte;
  }
  return out + '"';
}

std::string csv_cell(const std::string &cell) {
  const std::string safe = looks_like_formula(cell) ? "'" + cell : cell;
  return safe.find_first_of("\",\r\n") == std::string::npos ? safe : csv_quoted(safe);
}

std::string csv_line(const Row &row) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i) {
    if (i > 0) line += ',';
    line += csv_cell(row[i]);
  }
  return line + "\r\n";
}

} // namespace

std::string to_text(const Table &table) {
  std::vector<std::size_t> widths(table.head.size());
  widen_columns(widths, table.head);
  for (const auto &row : table.rows)
    widen_columns(widths, row);
  std::string out = text_line(table.head, widths);
  for (const auto &row : table.rows)
    out += text_line(row, widths);
  return out;
}

std::string to_csv(const Table &table) {
  std::string out = csv_line(table.head);
  for (const auto &row : table.rows)
    out += csv_line(row);
  return out;
}

} // namespace loftrouter::client
