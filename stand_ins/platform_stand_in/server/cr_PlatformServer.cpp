#include "platform_stand_in/server/cr_PlatformServer.h"

#include <atomic>

#include "cr_settings/cr_settings.h"

namespace cr {

struct PlatformServer::State
{
  explicit State(IoThreads& aThreads)
    : m_threads(aThreads)
  {
  }

  IoThreads& m_threads;
  InProcessPlatform m_platform;
  Guarded<PlatformFaults> m_faults;
  std::atomic<std::uint64_t> m_writes{ 0 };
  std::atomic<std::uint64_t> m_reads{ 0 };
};

namespace {

template<typename State>
void
CountRequest(State& aState, const StoreRequest& aRequest)
{
  const bool write = std::holds_alternative<TransactRequest>(aRequest) ||
                     std::holds_alternative<PutObjectRequest>(aRequest);
  ++(write ? aState.m_writes : aState.m_reads);
}

Expected<PlatformFaults>
ParseFaults(const std::string& aText)
{
  constexpr IntegerRange delayRange = { 0, 60000 };
  constexpr IntegerRange loseRange = { 0, 1000 };
  Findings findings;
  const JsonDocument document("faults", aText, findings);
  ObjectReader reader(document, document.Root(), findings);
  PlatformFaults faults;
  faults.m_down = reader.ReadBoolean("down", false);
  faults.m_refuses = reader.ReadBoolean("refuses", false);
  faults.m_delay = Milliseconds(reader.ReadInteger("delay_ms", delayRange, 0));
  faults.m_loseEvery =
    static_cast<std::uint32_t>(reader.ReadInteger("lose_every", loseRange, 0));
  reader.Finish();
  if (!findings.empty()) {
    return Failure(ErrorCode::Malformed, ToText(findings));
  }
  return faults;
}

/* Interval at which a pending watch checks for changes. */
constexpr Duration kWatchPollInterval = Milliseconds(5);

bool
HasNoChanges(const StoreAnswer& aAnswer)
{
  const auto* changes = std::get_if<RowChanges>(&aAnswer);
  return changes != nullptr && changes->m_changes.empty();
}

template<typename StatePointer>
void
Serve(const StatePointer& aState,
      const std::string& aBody,
      const HttpResponder& aResponder,
      Duration aWaited = Duration::zero())
{
  const PlatformFaults faults = aState->m_faults.WithLock(
    [](const PlatformFaults& aFaults) { return aFaults; });
  if (faults.m_down) {
    return;
  }
  const auto request = DecodeStoreRequest(aBody);
  if (!request) {
    aResponder.Send(MakeTextResponse(kHttpBadRequest, request.error().m_text));
    return;
  }
  if (aWaited == Duration::zero()) {
    CountRequest(*aState, *request);
  }
  const StoreAnswer answer = faults.m_refuses
                               ? StoreAnswer(StoreRefused{ "busy" })
                               : aState->m_platform.Execute(*request);
  const auto* watch = std::get_if<WatchRequest>(&*request);
  if (watch != nullptr && HasNoChanges(answer) && aWaited < watch->m_wait) {
    aState->m_threads.After(
      kWatchPollInterval, [aState, aBody, aResponder, aWaited] {
        Serve(aState, aBody, aResponder, aWaited + kWatchPollInterval);
      });
    return;
  }
  const std::uint64_t total = aState->m_writes + aState->m_reads;
  if (faults.m_loseEvery != 0 && total % faults.m_loseEvery == 0) {
    return;
  }
  HttpResponse response =
    MakeTextResponse(kHttpOk, EncodeStoreAnswer(answer), "application/json");
  response.m_headers.push_back(
    { "Cr-Store-Era", std::to_string(aState->m_platform.Era()) });
  aResponder.Send(std::move(response));
}

template<typename StatePointer>
void
Handle(const StatePointer& aState,
       const HttpRequest& aRequest,
       const HttpResponder& aResponder)
{
  if (aRequest.m_target == "/faults") {
    const auto faults = ParseFaults(aRequest.m_body);
    if (!faults) {
      aResponder.Send(MakeTextResponse(kHttpBadRequest, faults.error().m_text));
      return;
    }
    aState->m_faults.WithLock(
      [&](PlatformFaults& aFaults) { aFaults = *faults; });
    aResponder.Send(MakeTextResponse(kHttpOk, "{}", "application/json"));
    return;
  }
  if (aRequest.m_target != kStorePath) {
    aResponder.Send(MakeTextResponse(kHttpNotFound, "no such path\n"));
    return;
  }
  const Duration delay = aState->m_faults.WithLock(
    [](const PlatformFaults& aFaults) { return aFaults.m_delay; });
  if (delay == Duration::zero()) {
    Serve(aState, aRequest.m_body, aResponder);
    return;
  }
  aState->m_threads.After(delay, [aState, body = aRequest.m_body, aResponder] {
    Serve(aState, body, aResponder);
  });
}

}

PlatformServer::PlatformServer(IoThreads& aThreads)
  : m_state(std::make_shared<State>(aThreads))
  , m_server(aThreads,
             HttpLimits{},
             [state = m_state](const HttpRequest& aRequest,
                               const HttpResponder& aResponder) {
               Handle(state, aRequest, aResponder);
             })
{
}

PlatformServer::~PlatformServer() = default;

Expected<Endpoint>
PlatformServer::Listen(const Endpoint& aEndpoint)
{
  return m_server.Listen(aEndpoint);
}

void
PlatformServer::SetFaults(const PlatformFaults& aFaults)
{
  m_state->m_faults.WithLock(
    [&](PlatformFaults& aCurrent) { aCurrent = aFaults; });
}

StoreAnswer
PlatformServer::Execute(const StoreRequest& aRequest)
{
  return m_state->m_platform.Execute(aRequest);
}

void
PlatformServer::Compact()
{
  m_state->m_platform.Compact();
}

void
PlatformServer::Save()
{
  m_state->m_platform.Save();
}

void
PlatformServer::Restore()
{
  m_state->m_platform.Restore();
}

PlatformLoad
PlatformServer::Load() const
{
  return { m_state->m_writes, m_state->m_reads };
}

}
