// Guards against ambiguous requests that the node and the target parse differently, keys that are
// forwarded beyond the entry node, and forged headers that only a node may set.
#include "node/caller_request.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "node/peer_exchange.h"
#include "wire/crypto.h"

namespace jackdawwind::node {
namespace {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

constexpr std::uint64_t kExchange = 7;

HttpRequest
MakeRequest(const std::string& aTarget, const HeaderList& aHeaders)
{
  HttpRequest request;
  request.method(http::verb::post);
  request.target(aTarget);
  request.version(11);
  for (const std::pair<std::string, std::string>& header : aHeaders) {
    request.insert(header.first, header.second);
  }
  request.body() = "body";
  return request;
}

TEST(CallerRequest, RejectsMalformedAndAmbiguousRequests)
{
  struct Case
  {
    const char* name;
    std::string target;
    HeaderList headers;
  };
  const std::vector<Case> cases{
    { "no service", "/", {} },
    { "absolute form", "http://fleet/x", {} },
    { "dot segment", "/fleet/../hires", {} },
    { "encoded dot segment", "/fleet/%2e%2e/hires", {} },
    { "encoded slash", "/fleet/a%2Fb", {} },
    { "needlessly encoded letter", "/fleet/%61", {} },
    { "broken encoding", "/fleet/%4", {} },
    { "empty segment", "/fleet//x", {} },
    { "backslash", "/fleet/a\\b", {} },
    { "fragment", "/fleet/x#y", {} },
    { "two keys", "/fleet/x", { { "X-Tenant-Key", "a" }, { "x-tenant-key", "b" } } },
    { "empty key", "/fleet/x", { { "X-Tenant-Key", "" } } },
    { "two call ids", "/fleet/x", { { "X-Call-Id", "a" }, { "X-Call-Id", "b" } } },
    { "timeout is no number", "/fleet/x", { { "X-Timeout-Ms", "1s" } } },
    { "timeout zero", "/fleet/x", { { "X-Timeout-Ms", "0" } } },
    { "negative timeout", "/fleet/x", { { "X-Timeout-Ms", "-1" } } },
    { "two timeouts", "/fleet/x", { { "X-Timeout-Ms", "1" }, { "X-Timeout-Ms", "2" } } },
    { "two idempotency keys",
      "/fleet/x",
      { { "Idempotency-Key", "a" }, { "Idempotency-Key", "b" } } },
  };
  for (const Case& one : cases) {
    SCOPED_TRACE(one.name);
    const std::variant<ParsedCall, Rejection> read =
      ParseCallerRequest(MakeRequest(one.target, one.headers), ListenerKind::kTarget, kExchange);
    const Rejection* rejection = std::get_if<Rejection>(&read);
    ASSERT_NE(rejection, nullptr);
    EXPECT_EQ(rejection->code, ResultCode::kMalformedRequest);
  }
}

TEST(CallerRequest, ReadsOnlyCredentialsAllowedOnTheListener)
{
  struct Case
  {
    const char* name;
    ListenerKind listener;
    HeaderList headers;
    Credential expected;
  };
  const Credential key = KeyHash({ .hash = wire::HashHex("k") });
  const Credential parent = ParentCall({ .callId = "c" });
  const std::vector<Case> cases{
    { "nothing", ListenerKind::kCallers, {}, NoCredential() },
    { "key", ListenerKind::kCallers, { { "X-Tenant-Key", "k" } }, key },
    { "a caller's call id has no effect",
      ListenerKind::kCallers,
      { { "X-Call-Id", "c" } },
      NoCredential() },
    { "child call", ListenerKind::kTarget, { { "X-Call-Id", "c" } }, parent },
    { "child call with a key",
      ListenerKind::kTarget,
      { { "X-Tenant-Key", "k" }, { "X-Call-Id", "c" } },
      parent },
    { "root call of a target", ListenerKind::kTarget, { { "X-Tenant-Key", "k" } }, key },
  };
  for (const Case& one : cases) {
    SCOPED_TRACE(one.name);
    const std::variant<ParsedCall, Rejection> read =
      ParseCallerRequest(MakeRequest("/fleet/x?q=1", one.headers), one.listener, kExchange);
    const ParsedCall* call = std::get_if<ParsedCall>(&read);
    ASSERT_NE(call, nullptr);
    EXPECT_EQ(call->event.GetCredential(), one.expected);
    EXPECT_EQ(call->event.GetService(), "fleet");
    EXPECT_EQ(call->event.Path(), "/x");
    EXPECT_EQ(call->requestTarget, "/x?q=1");
  }
}

TEST(CallerRequest, ForwardsNeitherKeysNorReservedNorHopByHopFields)
{
  const HttpRequest request = MakeRequest("/fleet/x",
                                          { { "X-Tenant-Key", "secret" },
                                            { "X-Call-Id", "secret" },
                                            { "X-Jackdaw-Context", "forged" },
                                            { "x-jackdaw-other", "forged" },
                                            { "X-Deadline-Ms", "5" },
                                            { "Connection", "X-Named, close" },
                                            { "X-Named", "hop" },
                                            { "Transfer-Encoding", "chunked" },
                                            { "Keep-Alive", "1" },
                                            { "X-Request-Tag", "stays" } });
  const http::request_header<> header = ForwardedHeader(request, "/x");
  std::string names;
  for (const http::fields::value_type& field : header) {
    names += std::string(field.name_string()) + " ";
  }
  EXPECT_EQ(names, "X-Request-Tag ");
}

TEST(PeerExchange, AcceptsOnlyUnmodifiedSealedCalls)
{
  const CallContext context(
    { .rootId = "r", .organisation = "o", .service = "s", .depth = 1, .attempt = 1 });
  HttpRequest sealed = MakeRequest("/x", {});
  SealCall(sealed.base(), context, sealed.body(), "secret");
  EXPECT_EQ(ReadSealedCall(sealed, "secret"), context);
  EXPECT_EQ(ReadSealedCall(sealed, "other secret"), std::nullopt);
  struct Case
  {
    const char* name;
    void (*change)(HttpRequest&);
  };
  const std::vector<Case> cases{
    { "method", [](HttpRequest& aRequest) { aRequest.method(http::verb::get); } },
    { "target", [](HttpRequest& aRequest) { aRequest.target("/y"); } },
    { "body", [](HttpRequest& aRequest) { aRequest.body() = "other"; } },
    { "second context", [](HttpRequest& aRequest) { aRequest.insert(kContextHeader, "{}"); } },
    { "no seal", [](HttpRequest& aRequest) { aRequest.erase(kSealHeader); } },
  };
  for (const Case& one : cases) {
    SCOPED_TRACE(one.name);
    HttpRequest changed = sealed;
    one.change(changed);
    EXPECT_EQ(ReadSealedCall(changed, "secret"), std::nullopt);
  }
}

} // namespace
} // namespace jackdawwind::node
