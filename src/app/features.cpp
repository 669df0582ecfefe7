#include "loftrouter/app/features.hpp"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <toml++/toml.h>

#include "loftrouter/net/loop.hpp"

namespace loftrouter::app {

namespace {
std::string at(const toml::source_region &where, std::string_view what) {
  return fmt::format("line {}, column {}: {}", where.begin.line, where.begin.column, what);
}

// Thrown with where and what.
struct Bad {
  std::string what;
};

const toml::table &table(const toml::node &node, std::string_view name) {
  if (const auto *t = node.as_table()) return *t;
  throw Bad{at(node.source(), fmt::format("{}: must be a table", name))};
}

void read_switch(const toml::table &part, std::string_view name, bool &out) {
  for (const auto &[key, value] : part) {
    if (key.str() != "enabled") throw Bad{at(key.source(), fmt::format("{}.{}: no such key", name, key.str()))};
    if (!value.is_boolean()) throw Bad{at(value.source(), fmt::format("{}.enabled: true or false is wanted", name))};
    out = value.as_boolean()->get();
  }
}

std::string read_cell_name(const toml::node &node, std::string_view path) {
  const auto name = node.value<std::string>().value_or("");
  const bool good = !name.empty() && name.size() <= 40 && std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.';
  });
  if (!good) throw Bad{at(node.source(), fmt::format("{}: a name of letters, digits, - _ and . is wanted", path))};
  return name;
}

OtherCell read_other(const toml::table &part, const CellSettings &so_far) {
  OtherCell cell;
  for (const auto &[key, value] : part) {
    if (key.str() == "name") {
      cell.name = read_cell_name(value, "cells.other.name");
      if (cell.name == so_far.name) throw Bad{at(value.source(), "cells.other.name: is this cell itself")};
      for (const auto &o : so_far.others)
        if (o.name == cell.name) throw Bad{at(value.source(), "cells.other.name: is there twice")};
    } else if (key.str() == "nodes") {
      const auto *list = value.as_array();
      if (!list || list->empty() || list->size() > 16)
        throw Bad{at(value.source(), "cells.other.nodes: 1 to 16 addresses are wanted")};
      for (const auto &x : *list) {
        const auto address = x.value<std::string>().value_or("");
        if (!net::parse_address(address))
          throw Bad{at(x.source(), "cells.other.nodes: an IPv4 address and port is wanted")};
        for (const auto &o : so_far.others)
          if (std::find(o.nodes.begin(), o.nodes.end(), address) != o.nodes.end())
            throw Bad{at(x.source(), "cells.other.nodes: an address is in two cells")};
        cell.nodes.push_back(address);
      }
    } else {
      throw Bad{at(key.source(), fmt::format("cells.other.{}: no such key", key.str()))};
    }
  }
  if (cell.name.empty() || cell.nodes.empty()) throw Bad{at(part.source(), "cells.other: name and nodes are wanted")};
  return cell;
}

void read_cells(const toml::table &part, Features &out) {
  if (const auto *name = part.get("name")) out.cells.name = read_cell_name(*name, "cells.name");
  if (out.cells.name.empty()) throw Bad{at(part.source(), "cells.name: the name of this cell is wanted")};
  for (const auto &[key, value] : part) {
    if (key.str() == "name") continue;
    if (key.str() != "other") throw Bad{at(key.source(), fmt::format("cells.{}: no such key", key.str()))};
    const auto *list = value.as_array();
    if (!list || list->size() > 16)
      throw Bad{at(value.source(), "cells.other: at most 16 tables [[cells.other]] are wanted")};
    for (const auto &x : *list)
      out.cells.others.push_back(read_other(table(x, "cells.other"), out.cells));
  }
}
} // namespace

std::variant<Features, std::string> parse_features(const std::string &text) {
  Features out;
  try {
    const toml::table file = toml::parse(text);
    for (const auto &[name, node] : file) {
      if (name.str() == "accounts")
        read_switch(table(node, name.str()), name.str(), out.accounts);
      else if (name.str() == "configuration")
        read_switch(table(node, name.str()), name.str(), out.configuration);
      else if (name.str() == "cells")
        read_cells(table(node, name.str()), out);
      else
        return at(name.source(), fmt::format("{}: no such part", name.str()));
    }
  } catch (const toml::parse_error &e) {
    return at(e.source(), e.description());
  } catch (const Bad &e) {
    return e.what;
  }
  return out;
}

std::string apply_features(const Features &features, Settings &settings) {
  for (const auto &c : features.cells.others)
    for (const auto &node : c.nodes) {
      bool own = node == settings.peer_listen;
      for (const auto &s : settings.replicas)
        own |= node == s.address;
      if (own) return fmt::format("cells.other: {} is an address of this cell", node);
    }
  settings.accounts = features.accounts;
  settings.configuration = features.configuration;
  settings.cells = features.cells;
  return {};
}

std::variant<Features, std::string> load_features(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) return path + ": cannot be read";
  auto out = parse_features(text.str());
  if (auto *problem = std::get_if<std::string>(&out)) *problem = path + ", " + *problem;
  return out;
}

} // namespace loftrouter::app
