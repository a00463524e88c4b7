#include "cr_process/server/cr_NodeShell.h"

#include <array>
#include <thread>

#include "cr_process/report/cr_Log.h"
#include "cr_process/wire/cr_CallWire.h"

namespace cr {

namespace {

constexpr Duration kStoreTimeout = Seconds(2);
/* Part of the memory for answers of the platform, apart from all others, so
   that a crowd of customers doesn't delay what the node needs. */
constexpr std::uint64_t kStoreMemoryDivisor = 16;
/* Time for other nodes to learn of the shutdown while this one still accepts
   connections. */
constexpr Duration kDrainDelay = Milliseconds(500);
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

HttpClientSettings
ClientSettings(std::shared_ptr<MemoryAccount> aAccount)
{
  HttpClientSettings settings;
  settings.m_account = std::move(aAccount);
  return settings;
}

}

NodeShell::NodeShell(NodeSettings aSettings, Incarnation aIncarnation)
  : m_settings(std::move(aSettings))
  , m_account(std::make_shared<MemoryAccount>(MemoryAccount::LimitForProcess(
      m_settings.m_memoryBytes - KeyLedgerLimits{}.m_bytes)))
  , m_decisions(MakeIdentity(m_settings, aIncarnation))
  , m_threads(m_settings.m_threads)
  , m_client(m_threads, ClientSettings(m_account))
  , m_storeClient(m_threads,
                  ClientSettings(std::make_shared<MemoryAccount>(
                    m_settings.m_memoryBytes / kStoreMemoryDivisor)))
  , m_store(m_storeClient, m_settings.m_platform, kStoreTimeout)
  , m_random(m_decisions.Identity().m_seed)
{
}

Expected<void>
NodeShell::Start()
{
  m_callerServer = MakeServer(
    &NodeShell::HandleCaller,
    [weak = weak_from_this()](const HttpRequest& aRequest) {
      const auto self = weak.lock();
      const auto operation = ParseCallTarget(aRequest.m_target);
      return self && operation && self->m_decisions.IsIdempotent(*operation);
    });
  m_peerServer = MakeServer(&NodeShell::HandlePeer);
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
  HandleEvent(TimerDue{});
  return {};
}

std::size_t
NodeShell::Shutdown()
{
  HandleEvent(ShutdownRequested{});
  Log("node", "shutting down; calls in progress continue");
  std::this_thread::sleep_for(kDrainDelay);
  const Instant limit = IoThreads::Now() + m_settings.m_shutdownLimit;
  const auto inProgress = [this] {
    return m_callerServer->RequestsInProgress() +
           m_peerServer->RequestsInProgress();
  };
  while (inProgress() > 0 && IoThreads::Now() < limit) {
    std::this_thread::sleep_for(kShutdownPoll);
  }
  const std::size_t abortedCalls = inProgress();
  Close();
  return abortedCalls;
}

void
NodeShell::Close()
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
NodeShell::MakeServer(void (NodeShell::*aHandler)(HttpRequest&&,
                                                  const HttpResponder&),
                      HttpOverlapCheck aMayOverlap)
{
  HttpLimits limits;
  limits.m_heldBodyBytes = m_account->LargestHolder();
  return std::make_unique<HttpServer>(
    m_threads,
    limits,
    [weak = weak_from_this(), aHandler](HttpRequest aRequest,
                                        const HttpResponder& aResponder) {
      if (const auto self = weak.lock()) {
        (self.get()->*aHandler)(std::move(aRequest), aResponder);
      }
    },
    std::move(aMayOverlap),
    HttpServerOptions{ m_account, {}, {} });
}

//==============================================================================
void
NodeShell::RegisterCall(CallId aCall,
                        const HttpResponder& aResponder,
                        bool aFromPeer)
{
  m_calls.Put(aCall, { aResponder, aFromPeer });
  aResponder.NotifyOnDisconnect([weak = weak_from_this(), aCall] {
    if (const auto self = weak.lock()) {
      self->HandleEvent(CallerDisconnected{ aCall });
    }
  });
}

void
NodeShell::HandleEvent(const Event& aEvent)
{
  if (m_closed) {
    return;
  }
  Actions actions;
  const Moment moment = Now();
  m_decisions.Handle(aEvent, moment, actions);
  m_metrics.Observe(aEvent, actions, moment.m_now);
  for (const Action& action : actions) {
    std::visit([this](const auto& aTyped) { Execute(aTyped); }, action);
  }
  ArmTimer();
}

void
NodeShell::ArmTimer()
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
    self->HandleEvent(TimerDue{});
  });
}

RequestId
NodeShell::MakeRequestId()
{
  return m_random.WithLock([](Random& aRandom) {
    const std::uint64_t high = aRandom.Next();
    return RequestId{ high, aRandom.Next() };
  });
}

}
