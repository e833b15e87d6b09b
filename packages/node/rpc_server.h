// Takes JSON-RPC notifications of other nodes apart and hands on their messages.
//
//   RpcConnector connector;
//   RpcServer server(connector, [](PeerMessage aMessage) { ... }, [] { ... });
//   connector.Receive(body);       // false when no valid message came out
//
// Only the text of requests passes here; the listener and the seals are in peer_control.h.
#pragma once

#include <functional>
#include <string>

#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include "values/generated/peer.h"

namespace jackdawwind::node {

/// Connector of libjsonrpccpp whose transport is the node's own listener.
class RpcConnector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  /// Notifications have no response; the library calls this with an error or nothing.
  bool SendResponse(const std::string& aResponse, void* aInfo) override;

  /// Passes the body of a request to the library; false when the library found an error.
  bool Receive(const std::string& aBody);

private:
  bool failed = false;
};

class RpcServer : public jsonrpc::AbstractServer<RpcServer>
{
public:
  using Received = std::function<void(PeerMessage)>;
  /// Called for a notification whose parameters do not match the schema.
  using Invalid = std::function<void()>;

  RpcServer(RpcConnector& aConnector, Received aReceived, Invalid aInvalid);

private:
  /// Binds every message of the union, so that a new one cannot be forgotten here.
  template<typename... Messages>
  void BindAll(const std::variant<Messages...>* aUnion);
  template<typename Message>
  void Bind();
  template<typename Message>
  void OnMessage(const Json::Value& aParameters);

  Received received;
  Invalid invalid;
};

} // namespace jackdawwind::node
