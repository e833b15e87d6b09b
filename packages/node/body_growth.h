// Reserves the memory of a body while it is read.
//
//   if (!ReserveBodyMemory(body, parser.content_length(), buffer.max_size(), reservation)) { ... }
//
// A string that grows by itself doubles its memory and copies, so that a body of unknown length
// takes up to three times its size, which no budget has counted. A body that is read under this
// function grows by a quarter at a time, and both its memory and that of the copy are reserved
// before they are allocated. A body whose length is announced has its memory from the start.
//
// The copies cost up to five bytes moved for each byte of a body of unknown length.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "node/body_budget.h"

namespace jackdawwind::node {

/// Reserves the memory of a body that has been read in part, and makes room in it for aMoreBytes,
/// as many as the next read may add. Returns false, with the body unchanged, if the budget has too
/// little.
bool ReserveBodyMemory(std::string& aBody,
                       std::optional<std::uint64_t> aAnnouncedLength,
                       std::size_t aMoreBytes,
                       BodyReservation& aReservation);

} // namespace jackdawwind::node
