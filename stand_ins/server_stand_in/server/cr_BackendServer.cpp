#include "server_stand_in/server/cr_BackendServer.h"

#include <atomic>
#include <deque>

#include <fmt/format.h>

#include "cr_process/cr_process.h"
#include "cr_settings/cr_settings.h"

namespace cr {

namespace {

constexpr Duration kAnnounceInterval = Seconds(1);
constexpr Duration kAnnounceTimeout = Milliseconds(500);
constexpr std::int64_t kDefaultRemainingMs = 10000;

/* A call that the server runs or has queued. */
struct Job
{
  Job(HttpRequest aRequest, HttpResponder aResponder)
    : m_request(std::move(aRequest))
    , m_responder(std::move(aResponder))
  {
  }

  HttpRequest m_request;
  HttpResponder m_responder;
  OperationName m_name;
  const OperationDescription* m_operation = nullptr;
  std::size_t m_nextCall = 0;
  std::string m_callTree;
  Instant m_started;
  Instant m_deadline;
  std::atomic<bool> m_cancelled{ false };
};

using JobPointer = std::shared_ptr<Job>;

struct State
{
  std::uint32_t m_running = 0;
  std::deque<JobPointer> m_queue;
  BackendServerCounters m_counters;
  BackendServerFaults m_faults;
};

std::string
HeaderOf(const Job& aJob, std::string_view aName)
{
  return std::string(FindHeader(aJob.m_request.m_headers, aName));
}

std::int64_t
RemainingMs(const Job& aJob)
{
  const std::string text = HeaderOf(aJob, kRemainingHeader);
  return text.empty() ? kDefaultRemainingMs
                      : std::strtoll(text.c_str(), nullptr, 10);
}

/* Derives a child call's idempotency key from that of its parent, so that the
   key is the same when the parent runs again. */
std::string
ChildKey(const Job& aJob, const OperationName& aChild)
{
  const std::string parent = HeaderOf(aJob, kKeyHeader).empty()
                               ? HeaderOf(aJob, kRequestHeader)
                               : HeaderOf(aJob, kKeyHeader);
  const auto key = ParseIdentifier<IdempotencyTag>(HeaderOf(aJob, kKeyHeader));
  const WallMilliseconds birth =
    key ? KeyTimestamp(*key).value_or(0) : IoThreads::WallNow();
  return ToText(MakeIdempotencyKey(
    birth, Hash(parent + ToText(aChild)), Hash(ToText(aChild) + parent)));
}

}

class BackendServer::Implementation
  : public std::enable_shared_from_this<BackendServer::Implementation>
{
public:
  Implementation(IoThreads& aThreads, BackendServerOptions aOptions)
    : m_threads(aThreads)
    , m_options(std::move(aOptions))
    , m_client(aThreads, {})
  {
    if (!m_options.m_runKeys) {
      m_options.m_runKeys = std::make_shared<RunKeys>();
    }
  }

  Expected<Endpoint> Start();
  void Leave();
  void Crash();
  void SetFaults(const BackendServerFaults& aFaults)
  {
    m_state.WithLock([&](State& aState) { aState.m_faults = aFaults; });
  }
  BackendServerCounters Counters() const
  {
    return m_state.WithLock(
      [](const State& aState) { return aState.m_counters; });
  }
  bool HasCrashed() const { return m_crashed; }

private:
  void AnnouncePeriodically();
  void Announce();
  void Accept(HttpRequest&& aRequest, const HttpResponder& aResponder);
  void ReportLoad(const HttpResponder& aResponder) const;
  void Run(const JobPointer& aJob);
  void SendNextChildCall(const JobPointer& aJob);
  void HandleChildAnswer(const JobPointer& aJob, const HttpResult& aResult);
  void Finish(const JobPointer& aJob, HttpResponse aResponse);

  IoThreads& m_threads;
  BackendServerOptions m_options;
  HttpClient m_client;
  std::unique_ptr<HttpServer> m_server;
  Guarded<State> m_state;
  std::atomic<bool> m_leaving{ false };
  std::atomic<bool> m_crashed{ false };
};

Expected<Endpoint>
BackendServer::Implementation::Start()
{
  m_server = std::make_unique<HttpServer>(
    m_threads,
    HttpLimits{},
    [weak = weak_from_this()](HttpRequest aRequest,
                              const HttpResponder& aResponder) {
      if (const auto self = weak.lock()) {
        self->Accept(std::move(aRequest), aResponder);
      }
    });
  auto endpoint = m_server->Listen(m_options.m_listen);
  if (endpoint) {
    m_options.m_listen = *endpoint;
    AnnouncePeriodically();
  }
  return endpoint;
}

void
BackendServer::Implementation::Leave()
{
  m_leaving = true;
  Announce();
}

void
BackendServer::Implementation::Crash()
{
  if (!m_crashed.exchange(true)) {
    m_server->Close();
  }
}

void
BackendServer::Implementation::AnnouncePeriodically()
{
  if (m_crashed) {
    return;
  }
  Announce();
  m_threads.After(kAnnounceInterval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->AnnouncePeriodically();
    }
  });
}

void
BackendServer::Implementation::Announce()
{
  Json::Value value(Json::objectValue);
  value["service"] = m_options.m_service.m_name;
  value["endpoint"]["address"] = m_options.m_listen.m_address;
  value["endpoint"]["port"] = m_options.m_listen.m_port;
  value["slots"] = m_options.m_slots;
  value["instance"] = Json::UInt64(m_options.m_instance);
  value["leaving"] = m_leaving.load();
  m_client.Send(m_options.m_node,
                { "POST",
                  std::string(kAnnouncePath),
                  { { "Content-Type", "application/json" } },
                  WriteJson(value) },
                kAnnounceTimeout,
                [](const HttpResult& /*aResult*/) {});
}

void
BackendServer::Implementation::Accept(HttpRequest&& aRequest,
                                      const HttpResponder& aResponder)
{
  if (aRequest.m_target == "/load") {
    ReportLoad(aResponder);
    return;
  }
  if (aRequest.m_target == "/health") {
    aResponder.Send(MakeTextResponse(kHttpOk, "well\n"));
    return;
  }
  const auto name = ParseCallTarget(aRequest.m_target);
  const auto job = std::make_shared<Job>(std::move(aRequest), aResponder);
  if (name) {
    job->m_name = *name;
    const auto operation =
      m_options.m_service.m_operations.find(name->m_operation);
    if (operation != m_options.m_service.m_operations.end()) {
      job->m_operation = &operation->second;
    }
  }
  if (job->m_operation == nullptr) {
    aResponder.Send(MakeTextResponse(kHttpNotFound, "no such operation\n"));
    return;
  }
  job->m_deadline = IoThreads::Now() + Milliseconds(RemainingMs(*job));
  aResponder.NotifyOnDisconnect([job] { job->m_cancelled = true; });
  const bool startsNow = m_state.WithLock([&](State& aState) {
    if (aState.m_running >= m_options.m_slots) {
      aState.m_queue.push_back(job);
      return false;
    }
    ++aState.m_running;
    return true;
  });
  if (startsNow) {
    Run(job);
  }
}

void
BackendServer::Implementation::ReportLoad(const HttpResponder& aResponder) const
{
  Json::Value value(Json::objectValue);
  m_state.WithLock([&](const State& aState) {
    value["running"] = aState.m_faults.m_reportsIdle ? 0 : aState.m_running;
  });
  value["slots"] = m_options.m_slots;
  aResponder.Send(
    MakeTextResponse(kHttpOk, WriteJson(value), "application/json"));
}

void
BackendServer::Implementation::Run(const JobPointer& aJob)
{
  aJob->m_started = IoThreads::Now();
  const std::string key = HeaderOf(*aJob, kKeyHeader);
  const bool isDuplicate =
    !key.empty() && !aJob->m_operation->m_idempotent &&
    m_options.m_runKeys->WithLock([&](auto& aKeys) {
      return !aKeys.insert(key + ToText(aJob->m_name)).second;
    });
  const auto [time, crashes] = m_state.WithLock([&](State& aState) {
    ++aState.m_counters.m_runs;
    if (isDuplicate) {
      ++aState.m_counters.m_duplicateRuns;
    }
    return std::pair(m_options.m_serviceTime + aState.m_faults.m_extraTime,
                     aState.m_faults.m_crashes);
  });
  if (crashes && aJob->m_request.m_body.find("crash") != std::string::npos) {
    Crash();
    return;
  }
  aJob->m_callTree = ToText(aJob->m_name);
  if (!aJob->m_operation->m_calls.empty()) {
    aJob->m_callTree += '(';
  }
  m_threads.After(time, [weak = weak_from_this(), aJob] {
    if (const auto self = weak.lock()) {
      self->SendNextChildCall(aJob);
    }
  });
}

void
BackendServer::Implementation::SendNextChildCall(const JobPointer& aJob)
{
  const auto& calls = aJob->m_operation->m_calls;
  const Duration remaining = aJob->m_deadline - IoThreads::Now();
  if (aJob->m_cancelled || remaining <= Duration::zero()) {
    m_state.WithLock([](State& aState) { ++aState.m_counters.m_cancelled; });
    Finish(aJob, MakeTextResponse(kHttpGatewayTimeout, "cancelled\n"));
    return;
  }
  if (aJob->m_nextCall == calls.size()) {
    const std::string tree = aJob->m_callTree + (calls.empty() ? "" : ")");
    Finish(
      aJob,
      MakeTextResponse(kHttpOk, HeaderOf(*aJob, kRequestHeader) + ' ' + tree));
    return;
  }
  const OperationName& child = calls.at(aJob->m_nextCall).m_name;
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = std::string(kCallPrefix) + ToText(child);
  request.m_headers = { { std::string(kTokenHeader),
                          HeaderOf(*aJob, kTokenHeader) },
                        { std::string(kKeyHeader), ChildKey(*aJob, child) } };
  m_client.Send(m_options.m_node,
                std::move(request),
                remaining,
                [weak = weak_from_this(), aJob](const HttpResult& aResult) {
                  if (const auto self = weak.lock()) {
                    self->HandleChildAnswer(aJob, aResult);
                  }
                });
}

void
BackendServer::Implementation::HandleChildAnswer(const JobPointer& aJob,
                                                 const HttpResult& aResult)
{
  const auto* response = std::get_if<HttpResponse>(&aResult);
  if (response == nullptr || response->m_status != kHttpOk) {
    const std::string reason =
      response != nullptr
        ? std::string(FindHeader(response->m_headers, kReasonHeader))
        : "no answer";
    Finish(aJob,
           MakeTextResponse(kHttpUnavailable,
                            fmt::format("a call failed: {}\n", reason)));
    return;
  }
  const auto space = response->m_body.find(' ');
  if (response->m_body.substr(0, space) != HeaderOf(*aJob, kRequestHeader)) {
    Finish(aJob,
           MakeTextResponse(kHttpBadGateway, "answer of another request\n"));
    return;
  }
  aJob->m_callTree += response->m_body.substr(space + 1) + ';';
  ++aJob->m_nextCall;
  SendNextChildCall(aJob);
}

void
BackendServer::Implementation::Finish(const JobPointer& aJob,
                                      HttpResponse aResponse)
{
  if (!m_crashed) {
    aResponse.m_headers.push_back(
      { std::string(kRequestHeader), HeaderOf(*aJob, kRequestHeader) });
    aJob->m_responder.Send(std::move(aResponse));
  }
  const JobPointer next = m_state.WithLock([&](State& aState) -> JobPointer {
    aState.m_counters.m_busy += IoThreads::Now() - aJob->m_started;
    if (aState.m_queue.empty()) {
      --aState.m_running;
      return nullptr;
    }
    JobPointer queued = aState.m_queue.front();
    aState.m_queue.pop_front();
    return queued;
  });
  if (next) {
    Run(next);
  }
}

//==============================================================================
BackendServer::BackendServer(IoThreads& aThreads, BackendServerOptions aOptions)
  : m_implementation(
      std::make_shared<Implementation>(aThreads, std::move(aOptions)))
{
}

BackendServer::~BackendServer()
{
  m_implementation->Crash();
}

Expected<Endpoint>
BackendServer::Start()
{
  return m_implementation->Start();
}

void
BackendServer::Leave()
{
  m_implementation->Leave();
}

void
BackendServer::Crash()
{
  m_implementation->Crash();
}

void
BackendServer::SetFaults(const BackendServerFaults& aFaults)
{
  m_implementation->SetFaults(aFaults);
}

BackendServerCounters
BackendServer::Counters() const
{
  return m_implementation->Counters();
}

bool
BackendServer::HasCrashed() const
{
  return m_implementation->HasCrashed();
}

}
