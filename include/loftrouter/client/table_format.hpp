// A table as text for people and as CSV for spreadsheets. Pure: no I/O.
//
// Cells hold names that users chose: neither form lets them act on whoever reads it, as terminal control sequences or
// as a spreadsheet's formulas.
#pragma once

#include <string>
#include <vector>

namespace loftrouter::client {

struct Table {
  std::vector<std::string> head;
  std::vector<std::vector<std::string>> rows;
};

// Columns aligned by characters (UTF-8); control characters are shown as \xNN.
std::string to_text(const Table &table);
// RFC 4180, quoted where needed; what a spreadsheet would take for a formula gets a leading apostrophe.
std::string to_csv(const Table &table);

} // namespace loftrouter::client
