#include "wire/envelope.h"

#include "wire/codec_detail.h"

namespace jackdawwind::wire {

Decoded<Json::Value>
ParseEnvelope(std::string_view aText)
{
  // The parser recurses; this depth takes a fraction of a thread's stack.
  return ParseJsonWithin({ .maxDepth = 1000, .rejectDuplicateKeys = false }, aText);
}

} // namespace jackdawwind::wire
