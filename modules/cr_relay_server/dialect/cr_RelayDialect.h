#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "cr_relay/cr_relay.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Names of the headers by which requests and answers tell what the node needs
    to know. */
struct RelayHeaderNames
{
  /** Identifier of a request; its answer repeats it. */
  std::string m_requestId = "Cr-Request";
  /** How many milliseconds the sender waits. */
  std::string m_patience = "Cr-Remaining-Ms";
  /** Name that the backend server must have. */
  std::string m_expectedServer = "Cr-Expect-Server";
  /** Service of the host that a request comes from; set by the node. */
  std::string m_callerService = "Cr-Caller-Service";
  /** In an answer: the backend server did not run the request. */
  std::string m_notRun = "Cr-Not-Run";
  /** In an answer: the name of the backend server. */
  std::string m_serverId = "Cr-Server";
  /** In an answer: running, waiting and slots, separated by commas. */
  std::string m_load = "Cr-Server-Load";
};

/** What a backend server said at the control port. */
using ControlMessage = std::variant<BackendAnnounced, BackendLeft>;

/** How a node speaks with what is outside of the product. All functions are
    thread safe. */
struct RelayDialect
{
  RelayHeaderNames m_headers;
  /** Reads the operator's document. */
  std::function<Expected<RouteConfiguration>(std::string_view)> m_readRoutes;
  /** Reads a request at the control port. */
  std::function<Expected<ControlMessage>(const HttpRequest&)> m_readControl;
  /** Writes a call to the platform as HTTP. */
  std::function<HttpRequest(const StoreRequest&)> m_writeStoreCall;
  /** Reads the platform's answer to a call. */
  std::function<StoreAnswer(const StoreRequest&, const HttpResult&)>
    m_readStoreAnswer;
};

}
