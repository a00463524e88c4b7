#pragma once

#include <functional>

#include "cr_store/cr_store.h"
#include "cr_transport/http/cr_HttpClient.h"

namespace cr {

/** Path at which the platform answers store requests. */
inline constexpr std::string_view kStorePath = "/store";

/** Writes a store request as the product's own platform takes it. Thread
    safe. */
HttpRequest
WriteStoreCall(const StoreRequest& aRequest);

/** Reads the platform's answer; any failure is StoreFailed. Thread safe. */
StoreAnswer
ReadStoreAnswer(const HttpResult& aResult);

/** Carries store requests to the platform over HTTP. Thread safe. */
class StoreConnection
{
public:
  /** The client must outlive the connection. */
  StoreConnection(HttpClient& aClient, Endpoint aPlatform, Duration aTimeout);

  /** Sends the request; the function is called once, within the timeout, on an
      I/O thread. Any failure arrives as StoreFailed. */
  void Send(const StoreRequest& aRequest,
            std::function<void(StoreAnswer)> aCallback);

  /** Sends the request and waits. Not from an I/O thread. */
  StoreAnswer SendAndWait(const StoreRequest& aRequest);

private:
  HttpClient& m_client;
  Endpoint m_platform;
  Duration m_timeout;
};

}
