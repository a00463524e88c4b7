#include "cr_rpc/rpc/cr_RpcClient.h"

#include <jsonrpccpp/client.h>

namespace cr {

namespace {

/* The library's interfaces declare the exception specifications below. */
// NOLINTBEGIN(modernize-use-noexcept)

/* Stores the request instead of sending it. */
class RecordingConnector : public jsonrpc::IClientConnector
{
public:
  void SendRPCMessage(
    const std::string& aMessage,
    std::string& /*aResult*/) throw(jsonrpc::JsonRpcException) override
  {
    m_message = aMessage;
    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                    "recorded");
  }

  std::string m_message;
};

/* Returns a response that was received earlier. */
class ReplayingConnector : public jsonrpc::IClientConnector
{
public:
  explicit ReplayingConnector(const std::string& aResponse)
    : m_response(aResponse)
  {
  }

  void SendRPCMessage(
    const std::string& /*aMessage*/,
    std::string& aResult) throw(jsonrpc::JsonRpcException) override
  {
    aResult = m_response;
  }

private:
  const std::string& m_response;
};

// NOLINTEND(modernize-use-noexcept)

}

std::string
EncodeRpcCall(const std::string& aMethod, const Json::Value& aParameters)
{
  RecordingConnector connector;
  jsonrpc::Client client(connector);
  try {
    client.CallMethod(aMethod, aParameters);
  } catch (const jsonrpc::JsonRpcException&) {
    return connector.m_message;
  }
  return connector.m_message;
}

RpcReply
DecodeRpcReply(const std::string& aText)
{
  ReplayingConnector connector(aText);
  jsonrpc::Client client(connector);
  RpcReply reply;
  try {
    reply.m_result = client.CallMethod("reply", Json::Value(Json::objectValue));
    reply.m_ok = true;
  } catch (const std::exception& exception) {
    reply.m_error = exception.what();
  }
  return reply;
}

}
