#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "cr_relay_server/report/cr_RelayLog.h"
#include "cr_relay_server/server/cr_RelayMetrics.h"
#include "cr_relay_server/server/cr_RelayServer.h"

namespace cr {

/** Converts HTTP messages and timers into events for RelayDecisions, and
    executes the resulting actions. Everything runs on one I/O thread, because a
    host gives the node less than one core. */
class RelayServer::Implementation
  : public std::enable_shared_from_this<RelayServer::Implementation>
{
public:
  Implementation(RelayServerSettings aSettings, RelayProtocolAdapter aAdapter);

  Expected<void> Start();
  void LogSettingsReload(std::string_view aText);
  std::size_t Shutdown();
  void Close();

private:
  /* Where requests come from: a customer or the own backend server, or another
     node. */
  static constexpr std::string_view kEntryIngress = "entry";
  static constexpr std::string_view kPeerIngress = "peer";

  /* A request that was received and not yet answered. */
  struct PendingCall
  {
    std::shared_ptr<const HttpRequest> m_request;
    HttpResponder m_responder;
    /* Request identifier set by the caller. */
    std::string m_id;
    std::string_view m_ingress;
    Instant m_arrivedAt;
    Instant m_dispatchedAt;
    /* Latest answer of the backend server or of the peer. */
    std::optional<HttpResponse> m_answer;
    HttpExchange m_forward;
    HttpExchange m_dispatch;
    Endpoint m_peer;
  };

  using Handler = void (Implementation::*)(HttpRequest&&, const HttpResponder&);

  std::unique_ptr<HttpServer> MakeServer(const HttpLimits& aLimits,
                                         Handler aHandler,
                                         HttpOverlapCheck aMayOverlap = {},
                                         HttpServerOptions aOptions = {});
  bool IsIdempotent(const HttpRequest& aRequest) const;
  void HandleCustomer(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void HandlePeer(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void HandleControl(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void HandleOperator(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void SendRoutes(const HttpRequest& aRequest, const HttpResponder& aResponder);
  bool DropIfCallerLeft(const HttpRequest& aRequest,
                        const HttpResponder& aResponder,
                        std::string_view aIngress);
  CallId AddPendingCall(HttpRequest&& aRequest,
                        const HttpResponder& aResponder,
                        std::string_view aIngress);

  void ProcessEvent(RelayEvent aEvent);
  void ExecuteActions(RelayActions& aActions);
  void OnPeerGeneration(Generation aGeneration, const Endpoint& aPeer);
  void ScheduleTimer();
  void OnReadDelayMeasured(Duration aDelay);
  void ReportProcessor(Instant aNow);

  void Execute(const ForwardRequest& aAction);
  void Execute(const CancelForward& aAction);
  void Execute(const DispatchRequest& aAction);
  void Execute(const CancelRelayDispatch& aAction);
  void Execute(const RelayAnswer& aAction);
  void Execute(const RefuseRequest& aAction);
  void Execute(const AnswerPeer& aAction);
  void Execute(const AnswerServer& aAction);
  void Execute(const CheckHealth& aAction);
  void Execute(const RelayCallStore& aAction);
  void Execute(const ReadRoutes& aAction);
  void Execute(const FetchPeerRoutes& aAction);
  void Execute(const ReportSuspects& aAction);
  void Execute(const LogDecision& aAction);

  std::vector<Suspect> ReadSuspects(std::string_view aText);
  void OnForwardCompleted(CallId aCall, HttpResult&& aResult);
  void LogBrokenAnswer(const HttpResult& aResult,
                       std::string_view aFrom,
                       std::string_view aRequest = {});
  void OnDispatchCompleted(CallId aCall, HttpResult&& aResult);
  std::optional<ServerCondition> ReadCondition(const HttpResult& aResult);
  std::optional<StoreEra> ReadStoreEra(const HttpResult& aResult);
  void OnHealthChecked(const HttpResult& aResult);
  void LoadRoutes(std::string_view aDocument, std::string_view aSource);
  DispatchResult ClassifyResult(PendingCall* aPendingCall,
                                HttpResult&& aResult) const;
  HttpRequest MakeUpstreamRequest(const PendingCall& aPendingCall,
                                  Duration aRemaining) const;
  HttpSendOptions MakeSendOptions(Duration aTimeout, bool aIsIdempotent) const;
  void CompleteCall(CallId aCall,
                    HttpResponse&& aResponse,
                    const RelayReport& aReport);
  PendingCall* FindPendingCall(CallId aCall);
  bool DropIfCallerLeft(CallId aCall, const PendingCall& aPendingCall);

  const RelayServerSettings m_settings;
  const RelayProtocolAdapter m_adapter;
  /* For customers, other nodes and the backend server. */
  const std::shared_ptr<MemoryAccount> m_account;
  RelayDecisions m_decisions;
  RelayMetrics m_metrics;
  RelayLog m_log;
  std::uint64_t m_lastCallId = 0;
  std::unordered_map<CallId, PendingCall> m_pendingCalls;
  /* Messages of the backend server that wait for their answer. */
  std::unordered_map<CallId, HttpResponder> m_pendingMessages;
  std::deque<RelayEvent> m_events;
  bool m_isProcessing = false;
  bool m_isClosed = false;
  /* Refuses new requests in the last phase of the shutdown. */
  bool m_refusesNewRequests = false;
  Generation m_documentGeneration = 0;
  std::string m_document;
  Instant m_timerDue = Instant::max();
  TimerHandle m_timer;
  IoThreads m_threads;
  EventLoopProbe m_readDelayProbe;
  /* Since the last log line on the processor. */
  Instant m_processorReported;
  Duration m_processorUsed = Duration::zero();
  Duration m_maxReadDelay = Duration::zero();
  HttpClient m_peerClient;
  HttpClient m_serverClient;
  HttpClient m_storeClient;
  std::unique_ptr<HttpServer> m_customerServer;
  std::unique_ptr<HttpServer> m_peerServer;
  std::unique_ptr<HttpServer> m_controlServer;
  std::unique_ptr<HttpServer> m_operatorServer;
};

}
