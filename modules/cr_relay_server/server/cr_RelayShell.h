#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "cr_relay_server/report/cr_RelayLog.h"
#include "cr_relay_server/server/cr_RelayMetrics.h"
#include "cr_relay_server/server/cr_RelayServer.h"

namespace cr {

/** Turns sockets into events and actions into sockets. Everything runs on one
    thread: a host gives the node less than one core. */
class RelayServer::Implementation
  : public std::enable_shared_from_this<RelayServer::Implementation>
{
public:
  Implementation(RelayServerSettings aSettings, RelayDialect aDialect);

  Expected<void> Start();
  void NoteSettings(std::string_view aText);
  std::size_t Shutdown();
  void Close();

private:
  /* A request from its arrival to its answer. */
  struct Open
  {
    std::shared_ptr<const HttpRequest> m_request;
    HttpResponder m_responder;
    /* Identifier that the sender gave. */
    std::string m_id;
    std::string_view m_at;
    Instant m_arrived;
    Instant m_handedOver;
    /* The backend server's latest answer. */
    std::optional<HttpResponse> m_answer;
    HttpExchange m_forward;
    HttpExchange m_handOver;
    Endpoint m_peer;
  };

  using Handler = void (Implementation::*)(HttpRequest&&, const HttpResponder&);

  std::unique_ptr<HttpServer> MakeServer(const HttpLimits& aLimits,
                                         Handler aHandler);
  void HandleCustomer(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void HandlePeer(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void HandleControl(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void HandleOperator(HttpRequest&& aRequest, const HttpResponder& aResponder);
  CallId OpenCall(HttpRequest&& aRequest,
                  const HttpResponder& aResponder,
                  std::string_view aAt);

  void Feed(RelayEvent aEvent);
  void Carry(RelayActions& aActions);
  void NoteGeneration(Generation aGeneration, const Endpoint& aPeer);
  void ArmTimer();

  void Do(const ForwardRequest& aAction);
  void Do(const CancelForward& aAction);
  void Do(const DispatchRequest& aAction);
  void Do(const CancelRelayDispatch& aAction);
  void Do(const RelayAnswer& aAction);
  void Do(const RefuseRequest& aAction);
  void Do(const AnswerPeer& aAction);
  void Do(const CheckHealth& aAction);
  void Do(const RelayCallStore& aAction);
  void Do(const ReadRoutes& aAction);
  void Do(const FetchPeerRoutes& aAction);
  void Do(const LogDecision& aAction);

  void TakeForward(CallId aCall, HttpResult&& aResult);
  void TakeHandOver(CallId aCall, HttpResult&& aResult);
  void TakeHealth(const HttpResult& aResult);
  void OfferRoutes(std::string_view aDocument, std::string_view aSource);
  DispatchResult Judge(Open* aOpen, HttpResult&& aResult) const;
  HttpRequest CopyRequest(const Open& aOpen, Duration aRemaining) const;
  HttpSendOptions OptionsFor(Duration aTimeout, bool aIsIdempotent) const;
  void Finish(CallId aCall,
              HttpResponse&& aResponse,
              const RelayReport& aReport);
  Open* Find(CallId aCall);

  const RelayServerSettings m_settings;
  const RelayDialect m_dialect;
  RelayDecisions m_decisions;
  RelayMetrics m_metrics;
  RelayLog m_log;
  std::uint64_t m_sequence = 0;
  std::unordered_map<CallId, Open> m_open;
  std::deque<RelayEvent> m_events;
  bool m_isFeeding = false;
  bool m_isClosed = false;
  /* New requests are refused: the process is about to end. */
  bool m_refusesAll = false;
  Generation m_documentGeneration = 0;
  std::string m_document;
  Instant m_armedFor = Instant::max();
  TimerHandle m_timer;
  IoThreads m_threads;
  HttpClient m_peerClient;
  HttpClient m_serverClient;
  HttpClient m_storeClient;
  std::unique_ptr<HttpServer> m_customerServer;
  std::unique_ptr<HttpServer> m_peerServer;
  std::unique_ptr<HttpServer> m_controlServer;
  std::unique_ptr<HttpServer> m_operatorServer;
};

}
