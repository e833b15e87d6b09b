// Parses JSON-RPC notifications of other nodes and passes their messages to a handler.
//
//   RpcConnector connector;
//   RpcServer server(connector, [](PeerMessage aMessage) { ... }, [] { ... });
//   connector.Receive(body);       // false when the library rejects the body
//
// Handles only the text of requests; peer_control.h has the listener and checks the seals.
#pragma once

#include <functional>
#include <string>

#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include "values/generated/peer.h"

namespace jackdawwind::node {

/// Server connector for libjsonrpccpp; the transport is the node's own listener.
class RpcConnector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  /// Called by the library with an error, or with an empty text for a notification.
  bool SendResponse(const std::string& aResponse, void* aInfo) override;

  /// Passes the body of a request to the library; false when the library reports an error.
  bool Receive(const std::string& aBody);

private:
  bool failed = false;
};

class RpcServer : public jsonrpc::AbstractServer<RpcServer>
{
public:
  using MessageHandler = std::function<void(PeerMessage)>;
  /// Called for a notification whose parameters do not match the schema.
  using InvalidHandler = std::function<void()>;

  RpcServer(RpcConnector& aConnector,
            MessageHandler aMessageHandler,
            InvalidHandler aInvalidHandler);

private:
  /// Binds every message type of the union, so that a type added to it is bound as well.
  template<typename... Messages>
  void BindAll(const std::variant<Messages...>* aUnion);
  template<typename Message>
  void Bind();
  template<typename Message>
  void OnMessage(const Json::Value& aParameters);

  MessageHandler messageHandler;
  InvalidHandler invalidHandler;
};

} // namespace jackdawwind::node
