// What a platform's callers and targets say on the wire, as the node needs it.
//
// The node knows requests, answers and reports of targets by the types of the schema; a front reads
// and writes them in the words of one platform. Everything that names a header, a path or a field
// of a platform stands behind this interface.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "node/http_headers.h"
#include "node/net.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

/// What the head of a request says.
struct RequestHead
{
  std::string requestId;
  std::string host;
  /// Without the query.
  std::string path;
  std::optional<std::string> keyHash;
  std::optional<Duration> timeout;
};

struct MeshFront
{
  /// Reads a request of a caller; a rejection when it lacks a required part.
  std::function<std::variant<RequestHead, Rejection>(const HttpRequest&)> readRequest;
  /// Id that a request of another node carries, for log lines and for matching answers.
  std::function<std::string(const http::request_header<>&)> readRequestId;
  /// Removes what must not reach a target and what only this node may set.
  std::function<void(http::request_header<>&)> stripRequest;
  /// Adds what a target expects of a request that is sent to it.
  std::function<void(http::request_header<>&, const CallTarget&)> writeTargetRequest;
  /// Whether an answer of the target belongs to the request with this id.
  std::function<bool(const HttpResponse&, const std::string&)> answersRequest;
  std::function<TargetReplied(const HttpResponse&)> readReply;
  /// Final answer of this node to a caller.
  std::function<HttpResponse(const RejectRequest&, const std::string&)> writeRejection;
  /// Reads a report of the target beside this node: TargetHeartbeat or TargetDeregistered.
  std::function<std::variant<Event, Rejection>(const HttpRequest&)> readReport;
  /// Answer to a report that was taken.
  std::function<HttpResponse()> writeReportTaken;
  /// Path on which readiness is asked for.
  std::string readinessPath;
};

} // namespace jackdawwind::node
