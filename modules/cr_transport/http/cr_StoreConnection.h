#pragma once

#include <functional>

#include "cr_store/cr_store.h"
#include "cr_transport/http/cr_HttpClient.h"

namespace cr {

/** Path of store requests on the platform. */
inline constexpr std::string_view kStorePath = "/store";

/** Writes a store request in the format of the platform server. Thread
    safe. */
HttpRequest
WriteStoreCall(const StoreRequest& aRequest);

/** Parses the platform's response; any failure becomes StoreFailed. Thread
    safe. */
StoreAnswer
ReadStoreAnswer(const HttpResult& aResult);

/** Sends store requests to the platform over HTTP. Thread safe. */
class StoreConnection
{
public:
  /** The client must outlive the connection. */
  StoreConnection(HttpClient& aClient, Endpoint aPlatform, Duration aTimeout);

  /** Sends the request and calls back once, within the timeout, on an I/O
      thread. Any failure is reported as StoreFailed. */
  void Send(const StoreRequest& aRequest,
            std::function<void(StoreAnswer)> aCallback);

  /** Sends the request and blocks until the answer. Must not be called from an
      I/O thread. */
  StoreAnswer SendAndWait(const StoreRequest& aRequest);

private:
  HttpClient& m_client;
  Endpoint m_platform;
  Duration m_timeout;
};

}
