// Divides a team's limit among cells, with pure functions on a quota record. `caps` are the amounts that cells may use,
// `held` those that they may still be using until they acknowledge a lower cap. When shares change, caps are lowered
// and acknowledged before others are raised, so that the cells together never exceed the limit (docs/safety.md, "Quotas
// that change").
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::cells {

// Returns the cell that owns a team's quota. All cells compute the same owner. `names`: all cells.
const std::string &owner_cell(const std::string &team, const std::vector<std::string> &names);

// Returns a cell's share of the limit when no quota record exists.
wire::Amounts even_share(const wire::Amounts &limit, std::size_t cells);

// Returns the share that each cell should get: the configured shares, and even shares of the rest.
wire::AmountsByCell target_shares(const wire::Amounts &limit, const wire::AmountsByCell &shares,
                                  const std::vector<std::string> &names);

// Returns an error if shares name an unknown cell or exceed the limit together; nothing if they are valid.
std::optional<std::string> validate_shares(const wire::Amounts &limit, const wire::AmountsByCell &shares,
                                           const std::vector<std::string> &names);

// Lowers caps after a change of limits or shares: each becomes the smaller of the target and the held amount.
// `previous`: the share of a cell that has no held amount yet.
void lower_caps(wire::QuotaRecord &record, const std::vector<std::string> &names, const wire::Amounts &previous);

// Records that a cell applies the record's present version and that the team uses no more than its cap there. Returns
// whether the record has changed and has to be committed.
bool acknowledge(wire::QuotaRecord &record, const std::string &cell);

// Raises caps and held amounts towards the targets, in total never beyond the limit. Returns whether the record has
// changed; it has to be committed before it is sent to any cell.
bool raise_caps(wire::QuotaRecord &record, const std::vector<std::string> &names);

} // namespace loftrouter::cells
