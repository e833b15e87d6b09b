// Headers of calls between nodes: the sealed context of a request and the result of an answer.
//
// The seal covers context, method, target and a hash of the body, so that none of them can be
// changed on the way or combined with another call's.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "node/http_headers.h"
#include "node/net.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

/// Adds context and seal to the header of a forwarded call.
void SealCall(http::request_header<>& aHeader,
              const CallContext& aContext,
              std::string_view aBody,
              std::string_view aFleetSecret);

/// Context of a forwarded call; nothing when it is missing, repeated, invalid or badly sealed.
std::optional<CallContext> ReadSealedCall(const HttpRequest& aRequest,
                                          std::string_view aFleetSecret);

/// Result of an admitting node's answer.
struct PeerResult
{
  ResultCode code = ResultCode::kOk;
  RunState run = RunState::kUnknown;
  std::uint32_t unusedAllowance = 0;
  std::uint32_t level = 0;
  std::uint32_t load = 0;

  friend bool operator==(const PeerResult&, const PeerResult&) = default;
};

/// Replaces the reserved fields of an answer with the result.
void WritePeerResult(HttpResponse& aResponse, const PeerResult& aResult);

/// Result of an answer; nothing when a field is missing or invalid.
std::optional<PeerResult> ReadPeerResult(const HttpResponse& aResponse);

/// Makes an admitting node's answer fit for a caller: its result stays, the fields between nodes
/// go.
void PrepareRelayedAnswer(HttpResponse& aResponse);

} // namespace jackdawwind::node
