// How a team's limit is divided among cells while it changes: lower before raise. Pure functions on a quota's record;
// the argument is in docs/safety.md, "Quotas that change", and tests compare them with a plain model.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::cells {

// The cell that decides a team's quota: all cells find the same one. `names`: of all cells.
const std::string &owner_cell(const std::string &team, const std::vector<std::string> &names);

// Each cell's part when nothing was ever changed.
wire::Amounts even_share(const wire::Amounts &limit, std::size_t cells);

// What each cell is to have in the end: shares that were set, and even parts of what they leave.
wire::AmountsByCell target_shares(const wire::Amounts &limit, const wire::AmountsByCell &shares,
                                  const std::vector<std::string> &names);

// Why shares cannot be; nothing if they can: a cell that does not exist, or more than the limit together.
std::optional<std::string> validate_shares(const wire::Amounts &limit, const wire::AmountsByCell &shares,
                                           const std::vector<std::string> &names);

// After a change of limits or shares: each cap falls to what is wanted, none rises beyond what is held.
// `before`: what each cell goes by if the record had no caps yet.
void lower_caps(wire::QuotaRecord &record, const std::vector<std::string> &names, const wire::Amounts &before);

// A cell has acknowledged the record's present version and that its team can use no more than its cap there. True: the
// record has changed, and is to be committed.
bool acknowledge(wire::QuotaRecord &record, const std::string &cell);

// Caps and held amounts rise towards what is wanted, together never beyond the limit. True: the record has changed; it
// is to be committed before any cell is told.
bool raise_caps(wire::QuotaRecord &record, const std::vector<std::string> &names);

} // namespace loftrouter::cells
