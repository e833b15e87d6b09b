#include "node/rpc_server.h"

#include <exception>
#include <utility>
#include <variant>

#include "wire/codec.h"
#include "wire/generated/peer_codec.h"

namespace jackdawwind::node {

bool
RpcConnector::SendResponse(const std::string& aResponse, void* /*aInfo*/)
{
  this->failed = !aResponse.empty();
  return true;
}

bool
RpcConnector::Receive(const std::string& aBody)
{
  this->failed = false;
  try {
    return this->OnRequest(aBody) && !this->failed;
  } catch (const std::exception&) {
    // jsoncpp throws an exception for documents that are nested too deeply.
    return false;
  }
}

RpcServer::RpcServer(RpcConnector& aConnector,
                     MessageHandler aMessageHandler,
                     InvalidHandler aInvalidHandler)
  : jsonrpc::AbstractServer<RpcServer>(aConnector)
  , messageHandler(std::move(aMessageHandler))
  , invalidHandler(std::move(aInvalidHandler))
{
  this->BindAll(static_cast<const PeerMessage*>(nullptr));
}

template<typename... Messages>
void
RpcServer::BindAll(const std::variant<Messages...>* /*aUnion*/)
{
  (this->Bind<Messages>(), ...);
}

template<typename Message>
void
RpcServer::Bind()
{
  jsonrpc::Procedure procedure;
  procedure.SetProcedureName(wire::MemberName<Message>::kText);
  procedure.SetProcedureType(jsonrpc::RPC_NOTIFICATION);
  procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
  this->bindAndAddNotification(procedure, &RpcServer::OnMessage<Message>);
}

template<typename Message>
void
RpcServer::OnMessage(const Json::Value& aParameters)
{
  wire::Decoded<Message> decoded = wire::Decode<Message>(aParameters);
  if (Message* message = std::get_if<Message>(&decoded)) {
    this->messageHandler(std::move(*message));
  } else {
    this->invalidHandler();
  }
}

} // namespace jackdawwind::node
