#include "cr_process/server/cr_NodeServer.h"

#include <array>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <unordered_map>

#include <fmt/format.h>

#include "cr_process/report/cr_Log.h"
#include "cr_process/report/cr_OperatorReport.h"
#include "cr_process/wire/cr_CallWire.h"
#include "cr_process/wire/cr_RumourWire.h"
#include "cr_rpc/cr_rpc.h"
#include "cr_transport/cr_transport.h"

namespace cr {

namespace {

constexpr Duration kStoreTimeout = Seconds(2);
constexpr Duration kWithdrawTimeout = Milliseconds(500);
constexpr Duration kRumourTimeout = Milliseconds(500);
constexpr Duration kLeavingNotice = Milliseconds(500);
constexpr Duration kShutdownPoll = Milliseconds(10);

NodeIdentity
MakeIdentity(const NodeSettings& aSettings, Incarnation aIncarnation)
{
  return { aSettings.m_host,
           aIncarnation,
           aSettings.m_region,
           aSettings.m_dataCentre,
           { aSettings.m_address, aSettings.m_peerPort },
           Hash(aSettings.m_host, static_cast<std::uint64_t>(aIncarnation)),
           aSettings.m_contacts };
}

/* Calls and attempts that the shell has open, in shards. */
template<typename Key, typename Value>
class OpenMap
{
public:
  void Put(const Key& aKey, Value aValue)
  {
    Shard(aKey).With(
      [&](auto& aMap) { aMap.insert_or_assign(aKey, std::move(aValue)); });
  }

  /* Replaces the value of a key that is there. */
  bool Replace(const Key& aKey, Value aValue)
  {
    return Shard(aKey).With([&](auto& aMap) {
      const auto found = aMap.find(aKey);
      if (found == aMap.end()) {
        return false;
      }
      found->second = std::move(aValue);
      return true;
    });
  }

  std::optional<Value> Take(const Key& aKey)
  {
    return Shard(aKey).With([&](auto& aMap) -> std::optional<Value> {
      const auto found = aMap.find(aKey);
      if (found == aMap.end()) {
        return std::nullopt;
      }
      Value value = std::move(found->second);
      aMap.erase(found);
      return value;
    });
  }

private:
  using Map = std::unordered_map<Key, Value>;

  Guarded<Map>& Shard(const Key& aKey)
  {
    return m_shards.at(std::hash<Key>{}(aKey) % kShardCount);
  }

  std::array<Guarded<Map>, kShardCount> m_shards;
};

/* Starts an exchange that its own callback, or a cancellation, may take out of
   the map before Send() returns. */
template<typename Key, typename Send>
void
Track(OpenMap<Key, HttpExchange>& aMap, const Key& aKey, const Send& aSend)
{
  aMap.Put(aKey, {});
  const HttpExchange exchange = aSend();
  if (!aMap.Replace(aKey, exchange)) {
    exchange.Cancel();
  }
}

/* The open answer of a call, and who waits for it. */
struct OpenCall
{
  HttpResponder m_responder;
  bool m_fromPeer = false;
};

}

class NodeServer::Implementation
  : public std::enable_shared_from_this<NodeServer::Implementation>
{
public:
  Implementation(NodeSettings aSettings, Incarnation aIncarnation)
    : m_settings(std::move(aSettings))
    , m_decisions(MakeIdentity(m_settings, aIncarnation))
    , m_threads(m_settings.m_threads)
    , m_client(m_threads, {})
    , m_store(m_client, m_settings.m_platform, kStoreTimeout)
    , m_random(m_decisions.Identity().m_seed)
  {
  }

  Expected<void> Start();
  std::size_t Shutdown();
  void Close();
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
  void Do(const AskWithdraw& aAction);
  void Do(const HandOver& aAction);
  void Do(const CancelHandOver& aAction);
  void Do(const AnswerCall& aAction);
  void Do(const AnswerWithdraw& aAction);
  void Do(const SendRumour& aAction);
  void Do(const AnswerRumour& aAction);
  void Do(const AskObject& aAction);
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
    void (Implementation::*aHandler)(HttpRequest&&, const HttpResponder&));

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

Expected<void>
NodeServer::Implementation::Start()
{
  m_callerServer = MakeServer(&Implementation::HandleCaller);
  m_peerServer = MakeServer(&Implementation::HandlePeer);
  m_operatorServer = std::make_unique<HttpServer>(
    m_threads,
    HttpLimits{},
    [weak = weak_from_this()](const HttpRequest& aRequest,
                              const HttpResponder& aResponder) {
      if (const auto self = weak.lock()) {
        self->HandleOperator(aRequest, aResponder);
      }
    });
  const std::array<std::pair<HttpServer*, std::uint16_t>, 3> ports = { {
    { m_callerServer.get(), m_settings.m_callerPort },
    { m_peerServer.get(), m_settings.m_peerPort },
    { m_operatorServer.get(), m_settings.m_operatorPort },
  } };
  for (const auto& [server, port] : ports) {
    const auto listening = server->Listen({ m_settings.m_address, port });
    if (!listening) {
      return tl::unexpected(listening.error());
    }
  }
  Feed(TimerDue{});
  return {};
}

std::size_t
NodeServer::Implementation::Shutdown()
{
  Feed(ShutdownAsked{});
  Log("node", "leaving; calls in progress go on");
  std::this_thread::sleep_for(kLeavingNotice);
  const Instant limit = IoThreads::Now() + m_settings.m_shutdownLimit;
  const auto inProgress = [this] {
    return m_callerServer->RequestsInProgress() +
           m_peerServer->RequestsInProgress();
  };
  while (inProgress() > 0 && IoThreads::Now() < limit) {
    std::this_thread::sleep_for(kShutdownPoll);
  }
  const std::size_t cutOff = inProgress();
  Close();
  return cutOff;
}

void
NodeServer::Implementation::Close()
{
  m_closed = true;
  for (const auto* server :
       { &m_callerServer, &m_peerServer, &m_operatorServer }) {
    if (*server) {
      (*server)->Close();
    }
  }
  m_threads.Stop();
}

std::unique_ptr<HttpServer>
NodeServer::Implementation::MakeServer(
  void (Implementation::*aHandler)(HttpRequest&&, const HttpResponder&))
{
  return std::make_unique<HttpServer>(
    m_threads,
    HttpLimits{},
    [weak = weak_from_this(), aHandler](HttpRequest aRequest,
                                        const HttpResponder& aResponder) {
      if (const auto self = weak.lock()) {
        (self.get()->*aHandler)(std::move(aRequest), aResponder);
      }
    });
}

//==============================================================================
void
NodeServer::Implementation::HandleCaller(HttpRequest&& aRequest,
                                         const HttpResponder& aResponder)
{
  if (aRequest.m_target == kAnnouncePath) {
    Announce(aRequest, aResponder);
    return;
  }
  if (!FindHeader(aRequest.m_headers, kTokenHeader).empty()) {
    auto call = ParseChildCall(aRequest);
    if (!call) {
      aResponder.Send(
        MakeTextResponse(kHttpBadRequest, call.error().m_text + "\n"));
      return;
    }
    call->m_call = NextCallId(ShardOf(call->m_parent.m_low));
    Open(call->m_call, aResponder, false);
    Feed(*call);
    return;
  }
  auto call = ParseCustomerCall(aRequest, MakeRequestId());
  if (!call) {
    const unsigned status = call.error().m_code == ErrorCode::NotFound
                              ? kHttpNotFound
                              : kHttpBadRequest;
    aResponder.Send(MakeTextResponse(status, call.error().m_text + "\n"));
    return;
  }
  call->m_call = NextCallId(ShardOf(call->m_request));
  Open(call->m_call, aResponder, false);
  Feed(*call);
}

void
NodeServer::Implementation::HandlePeer(HttpRequest&& aRequest,
                                       const HttpResponder& aResponder)
{
  if (aRequest.m_target == kRpcPath) {
    HandleRpc(aRequest, aResponder);
    return;
  }
  auto call = ParsePeerCall(aRequest);
  if (!call) {
    aResponder.Send(
      MakeTextResponse(kHttpBadRequest, call.error().m_text + "\n"));
    return;
  }
  call->m_call = NextCallId(0);
  Open(call->m_call, aResponder, true);
  Feed(*call);
}

void
NodeServer::Implementation::HandleOperator(const HttpRequest& aRequest,
                                           const HttpResponder& aResponder)
{
  aResponder.Send(
    AnswerOperator(aRequest.m_target, m_decisions.Status(), m_metrics));
}

void
NodeServer::Implementation::Announce(const HttpRequest& aRequest,
                                     const HttpResponder& aResponder)
{
  const auto announced = ParseAnnouncement(aRequest);
  if (!announced) {
    aResponder.Send(
      MakeTextResponse(kHttpBadRequest, announced.error().m_text + "\n"));
    return;
  }
  Feed(*announced);
  aResponder.Send(MakeTextResponse(kHttpOk, "{}", "application/json"));
}

/* Feeds an event that is answered at once, and returns its answer. */
template<typename Answer>
Json::Value
NodeServer::Implementation::AnswerRpc(const Event& aEvent)
{
  Actions actions;
  const Moment moment = Now();
  m_decisions.Handle(aEvent, moment, actions);
  m_metrics.Observe(aEvent, actions, moment.m_now);
  Json::Value result(Json::objectValue);
  for (const Action& action : actions) {
    if (const auto* answer = std::get_if<Answer>(&action)) {
      result = EncodeAnswer(*answer);
    } else {
      std::visit([this](const auto& aTyped) { this->Do(aTyped); }, action);
    }
  }
  ArmTimer();
  return result;
}

void
NodeServer::Implementation::HandleRpc(const HttpRequest& aRequest,
                                      const HttpResponder& aResponder)
{
  RpcServer server;
  server.Bind("withdraw", [this](const Json::Value& aParameters) {
    return AnswerRpc<AnswerWithdraw>(ParseWithdraw(aParameters, NextCallId(0)));
  });
  server.Bind("rumour", [this](const Json::Value& aParameters) {
    auto rumour = DecodeRumour(aParameters);
    if (!rumour) {
      throw Json::RuntimeError(rumour.error().m_text);
    }
    return AnswerRpc<AnswerRumour>(
      RumourArrived{ NextCallId(0), std::move(*rumour) });
  });
  server.Bind("object", [this](const Json::Value& aParameters) {
    return AnswerRpc<AnswerObject>(
      ParseObjectAsked(aParameters, NextCallId(0)));
  });
  aResponder.Send(MakeTextResponse(
    kHttpOk, server.Answer(aRequest.m_body), "application/json"));
}

//==============================================================================
void
NodeServer::Implementation::Open(CallId aCall,
                                 const HttpResponder& aResponder,
                                 bool aFromPeer)
{
  m_calls.Put(aCall, { aResponder, aFromPeer });
  aResponder.WatchCaller([weak = weak_from_this(), aCall] {
    if (const auto self = weak.lock()) {
      self->Feed(CallerGone{ aCall });
    }
  });
}

void
NodeServer::Implementation::Feed(const Event& aEvent)
{
  if (m_closed) {
    return;
  }
  Actions actions;
  const Moment moment = Now();
  m_decisions.Handle(aEvent, moment, actions);
  m_metrics.Observe(aEvent, actions, moment.m_now);
  for (const Action& action : actions) {
    std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
  }
  ArmTimer();
}

void
NodeServer::Implementation::ArmTimer()
{
  const Instant due = m_decisions.NextWakeup();
  const std::lock_guard lock(m_timerMutex);
  if (due >= m_armedFor) {
    return;
  }
  m_timer.Cancel();
  m_armedFor = due;
  const Duration delay =
    std::max<Duration>(due - IoThreads::Now(), Milliseconds(1));
  m_timer = m_threads.After(delay, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    {
      const std::lock_guard armedLock(self->m_timerMutex);
      self->m_armedFor = Instant::max();
    }
    self->Feed(TimerDue{});
  });
}

//==============================================================================
void
NodeServer::Implementation::Do(const ForwardCall& aAction)
{
  const AttemptId attempt = aAction.m_attempt;
  const RequestId request = aAction.m_header.m_request;
  Track(m_attempts, attempt, [&] {
    return m_client.Send(
      aAction.m_peer,
      WriteForwardCall(aAction),
      aAction.m_header.m_remaining,
      [weak = weak_from_this(), attempt, request](HttpResult aResult) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        self->m_attempts.Take(attempt);
        if (auto* response = std::get_if<HttpResponse>(&aResult)) {
          auto answer = ParsePeerAnswer(attempt, request, std::move(*response));
          answer ? self->Feed(*answer)
                 : self->Feed(AttemptFailed{ attempt, true, false });
          return;
        }
        const auto& failure = std::get<HttpFailure>(aResult);
        self->Feed(
          AttemptFailed{ attempt, failure.m_sent, failure.m_timedOut });
      });
  });
}

void
NodeServer::Implementation::Do(const CancelAttempt& aAction)
{
  if (const auto exchange = m_attempts.Take(aAction.m_attempt)) {
    exchange->Cancel();
  }
}

void
NodeServer::Implementation::Do(const AskWithdraw& aAction)
{
  Json::Value parameters(Json::objectValue);
  parameters["attempt"] = ToText(aAction.m_attempt);
  parameters["incarnation"] =
    Json::UInt64(static_cast<std::uint64_t>(aAction.m_incarnation));
  m_client.SendOnNewConnection(
    aAction.m_peer,
    { "POST",
      std::string(kRpcPath),
      { { "Content-Type", "application/json" } },
      EncodeRpcCall("withdraw", parameters) },
    kWithdrawTimeout,
    [weak = weak_from_this(),
     attempt = aAction.m_attempt](const HttpResult& aResult) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      WithdrawAnswered answered{ attempt, WithdrawResult::Unknown };
      if (const auto* response = std::get_if<HttpResponse>(&aResult)) {
        const RpcReply reply = DecodeRpcReply(response->m_body);
        if (reply.m_ok && reply.m_result["result"].isInt()) {
          answered.m_result =
            static_cast<WithdrawResult>(reply.m_result["result"].asInt());
        }
      }
      self->Feed(answered);
    });
}

void
NodeServer::Implementation::Do(const HandOver& aAction)
{
  const CallId call = aAction.m_call;
  Track(m_handOvers, call, [&] {
    return m_client.Send(
      aAction.m_server,
      WriteHandOver(aAction),
      aAction.m_header.m_remaining,
      [weak = weak_from_this(), call](HttpResult aResult) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        self->m_handOvers.Take(call);
        if (auto* response = std::get_if<HttpResponse>(&aResult)) {
          auto payload = std::make_shared<Payload>(Payload{
            std::string(FindHeader(response->m_headers, "Content-Type")),
            std::move(response->m_body) });
          self->Feed(
            ServerAnswered{ call, response->m_status, std::move(payload) });
          return;
        }
        const auto& failure = std::get<HttpFailure>(aResult);
        self->Feed(ServerFailed{ call,
                                 failure.m_sent,
                                 !failure.m_sent && !failure.m_timedOut,
                                 failure.m_timedOut });
      });
  });
}

void
NodeServer::Implementation::Do(const CancelHandOver& aAction)
{
  if (const auto exchange = m_handOvers.Take(aAction.m_call)) {
    exchange->Cancel();
  }
}

void
NodeServer::Implementation::Do(const AnswerCall& aAction)
{
  const auto call = m_calls.Take(aAction.m_call);
  if (!call) {
    return;
  }
  call->m_responder.Send(call->m_fromPeer ? WritePeerAnswer(aAction)
                                          : WriteAnswer(aAction));
}

void
NodeServer::Implementation::Do(const AnswerWithdraw& /*aAction*/)
{
  /* Answered where the withdrawal was asked. @see HandleRpc */
}

void
NodeServer::Implementation::Do(const SendRumour& aAction)
{
  m_client.Send(
    aAction.m_peer,
    { "POST",
      std::string(kRpcPath),
      { { "Content-Type", "application/json" } },
      EncodeRpcCall("rumour", EncodeRumour(aAction.m_rumour)) },
    kRumourTimeout,
    [weak = weak_from_this(), id = aAction.m_id](const HttpResult& aResult) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      RumourAnswered answered{ id, std::nullopt };
      if (const auto* response = std::get_if<HttpResponse>(&aResult)) {
        const RpcReply reply = DecodeRpcReply(response->m_body);
        auto rumour = DecodeRumour(reply.m_result);
        if (reply.m_ok && rumour) {
          answered.m_rumour = std::move(*rumour);
        }
      }
      self->Feed(answered);
    });
}

void
NodeServer::Implementation::Do(const AnswerRumour& /*aAction*/)
{
  /* Answered where the rumour arrived. @see HandleRpc */
}

void
NodeServer::Implementation::Do(const AskObject& aAction)
{
  m_client.Send(
    aAction.m_peer,
    { "POST",
      std::string(kRpcPath),
      { { "Content-Type", "application/json" } },
      EncodeRpcCall("object", EncodeObjectAsked(aAction.m_name)) },
    kRumourTimeout,
    [weak = weak_from_this(), id = aAction.m_id](const HttpResult& aResult) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      ObjectAnswered answered{ id, std::nullopt };
      if (const auto* response = std::get_if<HttpResponse>(&aResult)) {
        const RpcReply reply = DecodeRpcReply(response->m_body);
        if (reply.m_ok) {
          answered.m_content = ParseObjectAnswer(reply.m_result);
        }
      }
      self->Feed(answered);
    });
}

void
NodeServer::Implementation::Do(const AnswerObject& /*aAction*/)
{
  /* Answered where the object was asked for. @see HandleRpc */
}

void
NodeServer::Implementation::Do(const CallStore& aAction)
{
  m_store.Send(
    aAction.m_request,
    [weak = weak_from_this(), call = aAction.m_call](StoreAnswer aAnswer) {
      if (const auto self = weak.lock()) {
        self->Feed(StoreAnswered{ call, std::move(aAnswer) });
      }
    });
}

void
NodeServer::Implementation::Do(const WriteLog& aAction)
{
  Log(aAction.m_part, aAction.m_text);
}

RequestId
NodeServer::Implementation::MakeRequestId()
{
  return m_random.With([](Random& aRandom) {
    const std::uint64_t high = aRandom.Next();
    return RequestId{ high, aRandom.Next() };
  });
}

//==============================================================================
NodeServer::NodeServer(NodeSettings aSettings, Incarnation aIncarnation)
  : m_implementation(
      std::make_shared<Implementation>(std::move(aSettings), aIncarnation))
{
}

NodeServer::~NodeServer()
{
  m_implementation->Close();
}

Expected<void>
NodeServer::Start()
{
  return m_implementation->Start();
}

std::size_t
NodeServer::Shutdown()
{
  return m_implementation->Shutdown();
}

NodeStatus
NodeServer::Status() const
{
  return m_implementation->Status();
}

}
