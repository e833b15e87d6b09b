#include "operator/node_admin.h"

#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "logservice/http_exchange.h"
#include "wire/codec.h"
#include "wire/generated/calls_codec.h"

namespace jackdawwind::control {

namespace {

namespace http = boost::beast::http;

// A member entry takes about 400 bytes, so this allows several thousand nodes.
constexpr std::uint64_t kMaxStatusBytes = 4ULL * 1024 * 1024;
constexpr std::uint32_t kFirstSuccess = 200;
constexpr std::uint32_t kFirstRedirect = 300;

/// Maps a failed exchange or a status other than 2xx to an outcome; passes 2xx answers to a
/// decoder.
template<typename Outcome, typename Decoder>
struct AnswerVisitor
{
  Outcome operator()(const HttpNotSent& aOutcome) const
  {
    return NodeUnreachable({ .reason = aOutcome.Reason() });
  }
  Outcome operator()(const HttpNoAnswer& aOutcome) const
  {
    return NodeUnreachable({ .reason = aOutcome.Reason() });
  }
  Outcome operator()(const HttpTooLarge& aOutcome) const
  {
    return NodeUnreachable(
      { .reason = "the answer exceeds " + std::to_string(aOutcome.Limit()) + " bytes" });
  }
  Outcome operator()(const HttpAnswer& aAnswer) const
  {
    if (aAnswer.Status() < kFirstSuccess || aAnswer.Status() >= kFirstRedirect) {
      return NodeRefused({ .status = aAnswer.Status() });
    }
    return this->decoder(aAnswer);
  }

  Decoder decoder;
};

StatusOutcome
DecodeStatus(const HttpAnswer& aAnswer)
{
  const wire::Decoded<NodeStatus> status = wire::DecodeText<NodeStatus>(aAnswer.Body());
  if (const wire::DecodeError* error = std::get_if<wire::DecodeError>(&status)) {
    return NodeUnreachable(
      { .reason = "the answer is not a status: " + error->path + ": expected " + error->expected });
  }
  return std::get<NodeStatus>(status);
}

DrainOutcome
DecodeDrain(const HttpAnswer& /*aAnswer*/)
{
  return DrainAccepted();
}

} // namespace

NodeAdmin::NodeAdmin(Options aOptions)
  : options(std::move(aOptions))
{
}

StatusOutcome
NodeAdmin::Status() const
{
  using Visitor = AnswerVisitor<StatusOutcome, StatusOutcome (*)(const HttpAnswer&)>;
  return std::visit(Visitor{ DecodeStatus }, this->Call(http::verb::get, "/status"));
}

DrainOutcome
NodeAdmin::Drain() const
{
  using Visitor = AnswerVisitor<DrainOutcome, DrainOutcome (*)(const HttpAnswer&)>;
  return std::visit(Visitor{ DecodeDrain }, this->Call(http::verb::post, "/drain"));
}

HttpOutcome
NodeAdmin::Call(http::verb aMethod, const std::string& aTarget) const
{
  boost::asio::io_context context;
  HttpOutcome outcome;
  logservice::StartHttpExchange(
    context,
    { .host = this->options.host,
      .port = this->options.port,
      .method = aMethod,
      .target = aTarget,
      .token = this->options.token,
      .timeout = this->options.timeout,
      .maxBodyBytes = kMaxStatusBytes },
    [&outcome](HttpOutcome aOutcome) { outcome = std::move(aOutcome); });
  context.run();
  return outcome;
}

} // namespace jackdawwind::control
