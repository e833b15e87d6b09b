// Parses responses of the log service, whose envelope may contain records that no node has written.
#pragma once

#include <string_view>

#include "wire/codec.h"

namespace jackdawwind::wire {

/// Parses JSON like ParseJson, but accepts duplicate keys and deeper nesting. A record with either
/// must not make the whole response, and with it the stream, unreadable; the record itself is
/// validated when it is decoded.
Decoded<Json::Value> ParseEnvelope(std::string_view aText);

} // namespace jackdawwind::wire
