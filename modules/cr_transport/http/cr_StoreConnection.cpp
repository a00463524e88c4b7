#include "cr_transport/http/cr_StoreConnection.h"

#include <future>

namespace cr {

namespace {

struct ResultReader
{
  StoreAnswer operator()(const HttpResponse& aResponse) const
  {
    if (aResponse.m_status != kHttpOk) {
      return StoreFailed{ aResponse.m_body };
    }
    return DecodeStoreAnswer(aResponse.m_body);
  }
  StoreAnswer operator()(const HttpFailure& aFailure) const
  {
    return StoreFailed{ aFailure.m_text };
  }
};

}

HttpRequest
WriteStoreCall(const StoreRequest& aRequest)
{
  return { "POST",
           std::string(kStorePath),
           { { "Content-Type", "application/json" } },
           EncodeStoreRequest(aRequest) };
}

StoreAnswer
ReadStoreAnswer(const HttpResult& aResult)
{
  return std::visit(ResultReader{}, aResult);
}

StoreConnection::StoreConnection(HttpClient& aClient,
                                 Endpoint aPlatform,
                                 Duration aTimeout)
  : m_client(aClient)
  , m_platform(std::move(aPlatform))
  , m_timeout(aTimeout)
{
}

void
StoreConnection::Send(const StoreRequest& aRequest,
                      std::function<void(StoreAnswer)> aCallback)
{
  m_client.Send(m_platform,
                WriteStoreCall(aRequest),
                m_timeout,
                [callback = std::move(aCallback)](const HttpResult& aResult) {
                  callback(ReadStoreAnswer(aResult));
                });
}

StoreAnswer
StoreConnection::SendAndWait(const StoreRequest& aRequest)
{
  return ReadStoreAnswer(
    m_client.SendAndWait(m_platform, WriteStoreCall(aRequest), m_timeout));
}

}
