// The deployments that the cases use: settings, machine types and limits of the users' site files.
#pragma once

#include "harness.hpp"

namespace review {

// sites/hobart-visa-desk.toml
inline Layout hobart() {
  Layout layout;
  layout.zones = {"sandybay", "glenorchy"};
  layout.teams = {"frontcounter", "backoffice", "clientcare"};
  layout.types = {{"wombat", 4, 0, 8, 60, 0.8, 0.26, 0.06, 30, layout.zones},
                  {"quoll", 8, 0, 32, 40, 1.0, 0.59, 0.14, 50, layout.zones},
                  {"thylacine", 32, 0, 256, 25, 0.6, 2.48, 0.58, 25, layout.zones}};
  layout.capacity = {{"wombat/sandybay", 7}, {"wombat/glenorchy", 9},   {"quoll/sandybay", 2},
                     {"quoll/glenorchy", 2}, {"thylacine/sandybay", 1}, {"thylacine/glenorchy", 1}};
  return layout;
}

// next/hobart-visa-desk-grown.toml
inline Layout hobart_grown() {
  Layout layout = hobart();
  for (auto &[kind, count] : layout.capacity)
    count = kind.starts_with("wombat") ? 50 : kind.starts_with("quoll") ? 13 : 6;
  return layout;
}

} // namespace review
