// Front end of a platform: translates between the platform's HTTP messages and the node's types.
//
// The node handles requests, answers and target reports as types of the schema; a front end parses
// and writes them in the format of one platform. All header names, paths and fields that are
// specific to a platform are behind this interface.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "node/http_headers.h"
#include "node/net.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

/// Parts of a caller's request that the decisions need.
struct RequestHead
{
  std::string requestId;
  std::string host;
  /// Path without the query.
  std::string path;
  /// Hash of the caller's API key; nothing without a key.
  std::optional<std::string> keyHash;
  /// Time that the caller allows for the request; nothing when it sets no limit.
  std::optional<Duration> timeout;
};

/// Functions of one front end; all are required.
struct MeshFrontEnd
{
  /// Parses a caller's request; a rejection when a part is missing or malformed.
  std::function<std::variant<RequestHead, Rejection>(const HttpRequest&)> readRequest;
  /// Id of a request that another node forwarded, used in log lines and to match answers.
  std::function<std::string(const http::request_header<>&)> readRequestId;
  /// Removes header fields that must not reach a target or that only a node may set.
  std::function<void(http::request_header<>&)> stripRequest;
  /// Adds the header fields that a target expects.
  std::function<void(http::request_header<>&, const CallTarget&)> writeTargetRequest;
  /// Whether a target's answer belongs to the request with this id. The last argument is true if
  /// no other request was sent on the connection before.
  std::function<bool(const HttpResponse&, const std::string&, bool)> answersRequest;
  /// Classifies a target's answer.
  std::function<TargetReplied(const HttpResponse&)> readReply;
  /// Answer that rejects a caller's request; the text is the request id.
  std::function<HttpResponse(const RejectRequest&, const std::string&)> writeRejection;
  /// Parses a report of the target beside this node: TargetHeartbeat or TargetDeregistered.
  std::function<std::variant<Event, Rejection>(const HttpRequest&)> readReport;
  /// Answer to an accepted report.
  std::function<HttpResponse()> writeReportAccepted;
  /// Path of the readiness check.
  std::string readinessPath;
};

} // namespace jackdawwind::node
