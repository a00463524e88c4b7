#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "cr_relay/cr_relay.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Names of the HTTP headers that the node reads from and sets on requests and
    answers. */
struct RelayHeaderNames
{
  /** Identifier of a request; the answer echoes it. */
  std::string m_requestId = "Cr-Request";
  /** Remaining caller timeout in milliseconds. */
  std::string m_callerTimeout = "Cr-Remaining-Ms";
  /** Name of the backend server that the request must reach. */
  std::string m_expectedServer = "Cr-Expect-Server";
  /** Service of the host that sent the request; set by the node. */
  std::string m_callerService = "Cr-Caller-Service";
  /** In an answer: the backend server did not run the request. */
  std::string m_notRun = "Cr-Not-Run";
  /** In an answer: name of the backend server. */
  std::string m_serverId = "Cr-Server";
  /** In an answer: the numbers of running requests, waiting requests and slots,
      separated by commas. */
  std::string m_load = "Cr-Server-Load";
  /** In an answer: max number of requests per second, a decimal number, that
      the backend server accepts from all hosts together. */
  std::string m_rateLimit = "Cr-Server-Limit";
  /** In an answer: "1" if the backend server is leaving. */
  std::string m_isLeaving = "Cr-Server-Leaving";
  /** In an answer of the platform: the era of its tables, a whole number. */
  std::string m_storeEra = "Cr-Store-Era";
};

/** Message from a backend server at the control port. */
using ControlMessage = std::variant<BackendAnnounced, BackendLeft>;

/** Translates between the node and the protocols of customers, the backend
    server and the platform. All functions are thread safe. */
struct RelayProtocolAdapter
{
  RelayHeaderNames m_headers;
  /** Parses the operator's routing document. */
  std::function<Expected<RouteConfiguration>(std::string_view)> m_readRoutes;
  /** Parses a request at the control port. */
  std::function<Expected<ControlMessage>(const HttpRequest&)> m_readControl;
  /** Encodes a store call to the platform as an HTTP request. */
  std::function<HttpRequest(const StoreRequest&)> m_writeStoreCall;
  /** Decodes the platform's answer to a store call. */
  std::function<StoreAnswer(const StoreRequest&, const HttpResult&)>
    m_readStoreAnswer;
};

}
