// Headers of calls between nodes: the sealed context of a request and the result of an answer.
//
// A seal is a message authentication code under the fleet secret. It covers the context, the
// method, the request target and a hash of the body, so that none of them can be changed in transit
// or combined with those of another call. Sealing and checking take time linear in the body size.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "node/http_headers.h"
#include "node/net.h"
#include "util/clock.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

/// Sets the context and seal fields of a forwarded call. aHeader must have its final method and
/// request target.
void SealCall(http::request_header<>& aHeader,
              const CallContext& aContext,
              std::string_view aBody,
              std::string_view aFleetSecret);

/// Context of a forwarded call; nullopt when the context or seal is missing, repeated or invalid.
std::optional<CallContext> ReadSealedCall(const HttpRequest& aRequest,
                                          std::string_view aFleetSecret);

/// Result fields of an admitting node's answer.
struct PeerResult
{
  ResultCode code = ResultCode::kOk;
  RunState run = RunState::kUnknown;
  std::uint32_t unusedAllowance = 0;
  std::uint32_t level = 0;
  std::uint32_t load = 0;
  /// Slots of the target; 0 if the answering node does not state them.
  std::uint32_t slots = 0;
  /// Mean time that the route takes at the target; 0 if the answering node does not state it.
  Duration expectedTime{};

  friend bool operator==(const PeerResult&, const PeerResult&) = default;
};

/// Replaces the reserved fields of an answer with the result fields.
void WritePeerResult(HttpResponse& aResponse, const PeerResult& aResult);

/// Result fields of an answer; nullopt when one is missing, repeated or invalid.
std::optional<PeerResult> ReadPeerResult(const HttpResponse& aResponse);

/// Prepares an admitting node's answer for the caller: removes hop-by-hop and reserved fields
/// except the result code and run state.
void PrepareRelayedAnswer(HttpResponse& aResponse);

} // namespace jackdawwind::node
