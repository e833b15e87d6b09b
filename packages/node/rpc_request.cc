#include "node/rpc_request.h"

#include <jsonrpccpp/client.h>

namespace jackdawwind {
namespace node {

namespace {

/// Connector that stores the message instead of sending it.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
  void SendRPCMessage(const std::string& aMessage,
                      std::string&) throw(jsonrpc::JsonRpcException) override
  {
    this->captured = aMessage;
  }

  const std::string& Captured() const { return this->captured; }

private:
  std::string captured;
};

} // namespace

std::string
BuildNotification(const std::string& aMethod, const Json::Value& aParameters)
{
  try {
    CapturingConnector connector;
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallNotification(aMethod, aParameters);
    return connector.Captured();
  } catch (const jsonrpc::JsonRpcException&) {
    return std::string();
  }
}

} // namespace node
} // namespace jackdawwind
