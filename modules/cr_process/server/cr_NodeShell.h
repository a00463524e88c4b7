#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "cr_node/cr_node.h"
#include "cr_process/report/cr_OperatorReport.h"
#include "cr_process/server/cr_ShardedMap.h"
#include "cr_settings/cr_settings.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** The responder of an unanswered call, and whether a peer node sent the
    call. */
struct PendingResponse
{
  HttpResponder m_responder;
  bool m_fromPeer = false;
};

/** Implementation of NodeServer: ports, clients, timer and the node's
   decisions. HandleEvent() passes an event to the decisions and runs each
   resulting action with Execute(). Thread safe. @see NodeServer */
class NodeShell : public std::enable_shared_from_this<NodeShell>
{
public:
  /** Creates a node that does not listen yet. */
  NodeShell(NodeSettings aSettings, Incarnation aIncarnation);

  //==========================================================================
  /** Starts listening and serving. */
  Expected<void> Start();

  /** Shuts down gracefully; returns the number of unanswered calls.
      @see NodeServer::Shutdown */
  std::size_t Shutdown();

  /** Closes all connections immediately. Must not be called from an I/O
      thread. */
  void Close();

  //==========================================================================
  /** Returns the status for operators. */
  NodeStatus Status() const { return m_decisions.Status(); }

private:
  void HandleCaller(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void HandlePeer(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void HandleOperator(const HttpRequest& aRequest,
                      const HttpResponder& aResponder);
  void HandleAnnouncement(const HttpRequest& aRequest,
                          const HttpResponder& aResponder);
  void HandleRpc(const HttpRequest& aRequest, const HttpResponder& aResponder);
  template<typename Answer>
  Json::Value AnswerRpc(const Event& aEvent);

  void RegisterCall(CallId aCall,
                    const HttpResponder& aResponder,
                    bool aFromPeer);
  void HandleEvent(const Event& aEvent);
  void ArmTimer();

  void Execute(const ForwardCall& aAction);
  void Execute(const CancelAttempt& aAction);
  void Execute(const RequestWithdrawal& aAction);
  void Execute(const DispatchCall& aAction);
  void Execute(const CancelDispatch& aAction);
  void Execute(const AnswerCall& aAction);
  void Execute(const AnswerWithdrawal& aAction);
  void Execute(const SendGossip& aAction);
  void Execute(const AnswerGossip& aAction);
  void Execute(const FetchObject& aAction);
  void Execute(const AnswerObject& aAction);
  void Execute(const CallStore& aAction);
  void Execute(const WriteLog& aAction);

  static Moment Now() { return { IoThreads::Now(), IoThreads::WallNow() }; }
  RequestId MakeRequestId();
  CallId NextCallId(std::size_t aShard)
  {
    return MakeCallId(++m_sequence, aShard);
  }
  std::unique_ptr<HttpServer> MakeServer(
    void (NodeShell::*aHandler)(HttpRequest&&, const HttpResponder&),
    HttpOverlapCheck aMayOverlap = {});

  const NodeSettings m_settings;
  /* For customers, other nodes and the backend server. */
  const std::shared_ptr<MemoryAccount> m_account;
  NodeDecisions m_decisions;
  NodeMetrics m_metrics;
  std::atomic<std::uint64_t> m_sequence{ 0 };
  ShardedMap<CallId, PendingResponse> m_calls;
  ShardedMap<AttemptId, HttpExchange> m_attempts;
  ShardedMap<CallId, HttpExchange> m_dispatches;
  std::mutex m_timerMutex;
  Instant m_armedFor = Instant::max();
  TimerHandle m_timer;
  std::atomic<bool> m_closed{ false };
  IoThreads m_threads;
  HttpClient m_client;
  HttpClient m_storeClient;
  StoreConnection m_store;
  Guarded<Random> m_random;
  std::unique_ptr<HttpServer> m_callerServer;
  std::unique_ptr<HttpServer> m_peerServer;
  std::unique_ptr<HttpServer> m_operatorServer;
};

}
