// Builds the text of JSON-RPC notifications with libjsonrpccpp.
//
// The library's client headers use dynamic exception specifications, which C++17 removed;
// rpc_request.cc is therefore compiled as C++14 and this header stays within C++14.
#pragma once

#include <string>

#include <json/value.h>

namespace jackdawwind {
namespace node {

/// Returns a JSON-RPC 2.0 notification; an empty text when the library cannot build it.
std::string BuildNotification(const std::string& aMethod, const Json::Value& aParameters);

} // namespace node
} // namespace jackdawwind
