#include "wire/envelope.h"

#include "wire/codec_detail.h"

namespace jackdawwind::wire {

Decoded<Json::Value>
ParseEnvelope(std::string_view aText)
{
  // The parser recurses; this depth takes a fraction of a thread's stack.
  return ParseWith({ .depth = 1000, .uniqueKeys = false }, aText);
}

} // namespace jackdawwind::wire
