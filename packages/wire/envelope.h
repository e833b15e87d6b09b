// Parses the log service's answers around records that the nodes did not write themselves.
#pragma once

#include <string_view>

#include "wire/codec.h"

namespace jackdawwind::wire {

/// Parses JSON and tolerates duplicate keys and deep nesting, unlike ParseJson. One record with
/// either must not make the whole answer, and with it the stream, unreadable; the record's own
/// decoder judges it.
Decoded<Json::Value> ParseEnvelope(std::string_view aText);

} // namespace jackdawwind::wire
