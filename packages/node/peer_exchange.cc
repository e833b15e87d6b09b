#include "node/peer_exchange.h"

#include <cstdint>
#include <limits>
#include <variant>

#include "values/text.h"
#include "wire/codec.h"
#include "wire/crypto.h"
#include "wire/generated/calls_codec.h"

namespace jackdawwind::node {

namespace {

std::string
SealedText(std::string_view aContext,
           std::string_view aMethod,
           std::string_view aTarget,
           std::string_view aBody)
{
  std::string text("call\n");
  text.append(aContext).append("\n").append(aMethod).append("\n").append(aTarget).append("\n");
  return text + wire::HashHex(aBody);
}

std::optional<std::uint32_t>
NumberField(const HttpResponse& aResponse, const char* aName)
{
  if (FieldCount(aResponse, aName) != 1) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> number =
    ParseNumber(View(aResponse[aName]), std::numeric_limits<std::uint32_t>::max());
  if (!number) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(*number);
}

} // namespace

void
SealCall(http::request_header<>& aHeader,
         const CallContext& aContext,
         std::string_view aBody,
         std::string_view aFleetSecret)
{
  const std::string context = wire::EncodeText(aContext);
  const std::string text =
    SealedText(context, View(aHeader.method_string()), View(aHeader.target()), aBody);
  aHeader.set(kContextHeader, context);
  aHeader.set(kSealHeader, wire::Seal(aFleetSecret, text));
}

std::optional<CallContext>
ReadSealedCall(const HttpRequest& aRequest, std::string_view aFleetSecret)
{
  if (FieldCount(aRequest, kContextHeader) != 1 || FieldCount(aRequest, kSealHeader) != 1) {
    return std::nullopt;
  }
  const std::string_view context = View(aRequest[kContextHeader]);
  const std::string text =
    SealedText(context, View(aRequest.method_string()), View(aRequest.target()), aRequest.body());
  if (!wire::SealMatches(aFleetSecret, text, View(aRequest[kSealHeader]))) {
    return std::nullopt;
  }
  wire::Decoded<CallContext> decoded = wire::DecodeText<CallContext>(context);
  if (std::holds_alternative<wire::DecodeError>(decoded)) {
    return std::nullopt;
  }
  return std::get<CallContext>(std::move(decoded));
}

void
WritePeerResult(HttpResponse& aResponse, const PeerResult& aResult)
{
  StripReservedFields(aResponse);
  aResponse.set(kResultHeader, std::to_string(static_cast<unsigned>(aResult.code)));
  const std::string run(ToText(aResult.run));
  aResponse.set(kRunHeader, run);
  aResponse.set(kUnusedAllowanceHeader, std::to_string(aResult.unusedAllowance));
  aResponse.set(kLevelHeader, std::to_string(aResult.level));
  aResponse.set(kLoadHeader, std::to_string(aResult.load));
  if (aResult.slots > 0) {
    aResponse.set(kSlotsHeader, std::to_string(aResult.slots));
  }
  if (aResult.expectedTime > Duration::zero()) {
    aResponse.set(kExpectedTimeHeader, std::to_string(aResult.expectedTime.count()));
  }
}

std::optional<PeerResult>
ReadPeerResult(const HttpResponse& aResponse)
{
  const std::optional<std::uint32_t> number = NumberField(aResponse, kResultHeader);
  const std::optional<std::uint32_t> unused = NumberField(aResponse, kUnusedAllowanceHeader);
  const std::optional<std::uint32_t> level = NumberField(aResponse, kLevelHeader);
  const std::optional<std::uint32_t> load = NumberField(aResponse, kLoadHeader);
  if (!number || !unused || !level || !load || FieldCount(aResponse, kRunHeader) != 1) {
    return std::nullopt;
  }
  const std::optional<ResultCode> code = ParseResultCode(*number);
  const std::optional<RunState> run = ParseRunState(View(aResponse[kRunHeader]));
  if (!code || !run) {
    return std::nullopt;
  }
  // Absent in answers of earlier versions.
  const std::uint32_t slots = NumberField(aResponse, kSlotsHeader).value_or(0);
  const Duration expectedTime(NumberField(aResponse, kExpectedTimeHeader).value_or(0));
  return PeerResult{ *code, *run, *unused, *level, *load, slots, expectedTime };
}

void
PrepareRelayedAnswer(HttpResponse& aResponse)
{
  const std::string result(View(aResponse[kResultHeader]));
  const std::string run(View(aResponse[kRunHeader]));
  StripHopByHop(aResponse);
  StripReservedFields(aResponse);
  aResponse.set(kResultHeader, result);
  aResponse.set(kRunHeader, run);
}

} // namespace jackdawwind::node
