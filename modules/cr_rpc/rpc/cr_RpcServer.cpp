#include "cr_rpc/rpc/cr_RpcServer.h"

#include <map>
#include <utility>

#include <jsonrpccpp/server.h>

namespace cr {

namespace {

/* Writes the response to the string that is passed along with the request. */
class TextConnector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aTarget) override
  {
    *static_cast<std::string*>(aTarget) = aResponse;
    return true;
  }
};

}

class RpcServer::Implementation
  : private TextConnector
  , public jsonrpc::AbstractServer<RpcServer::Implementation>
{
public:
  Implementation()
    : jsonrpc::AbstractServer<Implementation>(
        static_cast<TextConnector&>(*this))
  {
  }

  void Bind(const std::string& aName, RpcMethod aMethod)
  {
    bindAndAddMethod(
      jsonrpc::Procedure(
        aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
      &Implementation::UnusedHandler);
    m_methods[aName] = std::move(aMethod);
  }

  std::string Answer(const std::string& aRequest)
  {
    std::string response;
    OnRequest(aRequest, &response);
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    try {
      aOutput = m_methods.at(aProcedure.GetProcedureName())(aInput);
    } catch (const Json::Exception& exception) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      exception.what());
    }
  }

private:
  /* The library requires a member function per method; HandleMethodCall()
     dispatches instead. */
  void UnusedHandler(const Json::Value& /*aInput*/, Json::Value& /*aOutput*/) {}

  std::map<std::string, RpcMethod> m_methods;
};

RpcServer::RpcServer()
  : m_implementation(new Implementation)
{
}

RpcServer::~RpcServer() = default;

void
RpcServer::Bind(const std::string& aName, RpcMethod aMethod)
{
  m_implementation->Bind(aName, std::move(aMethod));
}

std::string
RpcServer::Answer(const std::string& aRequest) const
{
  return m_implementation->Answer(aRequest);
}

}
