#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "cr_node/cr_node.h"
#include "cr_process/report/cr_OperatorReport.h"
#include "cr_process/server/cr_OpenMap.h"
#include "cr_settings/cr_settings.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** The open answer of a call, and who waits for it. */
struct OpenCall
{
  HttpResponder m_responder;
  bool m_fromPeer = false;
};

/** What a NodeServer consists of: ports, clients, timer and the node's
    decisions. Events go in through Feed(); the actions that come back are
   carried out by Do(). Thread safe. @see NodeServer */
class NodeShell : public std::enable_shared_from_this<NodeShell>
{
public:
  /** Prepares a node that listens nowhere yet. */
  NodeShell(NodeSettings aSettings, Incarnation aIncarnation);

  //==========================================================================
  /** Starts to listen and to serve. */
  Expected<void> Start();

  /** Ends gracefully; returns the calls cut off. @see NodeServer::Shutdown */
  std::size_t Shutdown();

  /** Closes everything at once. Not from an I/O thread. */
  void Close();

  //==========================================================================
  /** Returns a report for operators. */
  NodeStatus Status() const { return m_decisions.Status(); }

private:
  void HandleCaller(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void HandlePeer(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void HandleOperator(const HttpRequest& aRequest,
                      const HttpResponder& aResponder);
  void Announce(const HttpRequest& aRequest, const HttpResponder& aResponder);
  void HandleRpc(const HttpRequest& aRequest, const HttpResponder& aResponder);
  template<typename Answer>
  Json::Value AnswerRpc(const Event& aEvent);

  void Open(CallId aCall, const HttpResponder& aResponder, bool aFromPeer);
  void Feed(const Event& aEvent);
  void ArmTimer();

  void Do(const ForwardCall& aAction);
  void Do(const CancelAttempt& aAction);
  void Do(const RequestWithdrawal& aAction);
  void Do(const DispatchCall& aAction);
  void Do(const CancelDispatch& aAction);
  void Do(const AnswerCall& aAction);
  void Do(const AnswerWithdrawal& aAction);
  void Do(const SendGossip& aAction);
  void Do(const AnswerGossip& aAction);
  void Do(const FetchObject& aAction);
  void Do(const AnswerObject& aAction);
  void Do(const CallStore& aAction);
  void Do(const WriteLog& aAction);

  static Moment Now() { return { IoThreads::Now(), IoThreads::WallNow() }; }
  RequestId MakeRequestId();
  CallId NextCallId(std::size_t aShard)
  {
    return MakeCallId(++m_sequence, aShard);
  }
  std::unique_ptr<HttpServer> MakeServer(
    void (NodeShell::*aHandler)(HttpRequest&&, const HttpResponder&));

  const NodeSettings m_settings;
  NodeDecisions m_decisions;
  NodeMetrics m_metrics;
  std::atomic<std::uint64_t> m_sequence{ 0 };
  OpenMap<CallId, OpenCall> m_calls;
  OpenMap<AttemptId, HttpExchange> m_attempts;
  OpenMap<CallId, HttpExchange> m_handOvers;
  std::mutex m_timerMutex;
  Instant m_armedFor = Instant::max();
  TimerHandle m_timer;
  std::atomic<bool> m_closed{ false };
  IoThreads m_threads;
  HttpClient m_client;
  StoreConnection m_store;
  Guarded<Random> m_random;
  std::unique_ptr<HttpServer> m_callerServer;
  std::unique_ptr<HttpServer> m_peerServer;
  std::unique_ptr<HttpServer> m_operatorServer;
};

}
