#include "cr_Customers.h"

#include <algorithm>
#include <atomic>

#include "cr_process/cr_process.h"
#include "server_stand_in/server_stand_in.h"

namespace cr {

namespace {

constexpr std::size_t kIdleConnections = 512;

HttpClientSettings
ClientSettings()
{
  HttpClientSettings settings;
  settings.m_maxIdlePerEndpoint = kIdleConnections;
  return settings;
}

/* State of one customer request. */
struct Request
{
  explicit Request(Arrival aArrival)
    : m_arrival(std::move(aArrival))
    , m_random(m_arrival.m_seed)
  {
  }

  Arrival m_arrival;
  Random m_random;
  std::string m_key;
  std::string m_expected;
  Instant m_deadline;
  std::uint32_t m_attempts = 0;
};

using RequestPointer = std::shared_ptr<Request>;

RequestEnd
ClassifyResult(const HttpResult& aResult, const std::string& aExpected)
{
  const auto* response = std::get_if<HttpResponse>(&aResult);
  if (response == nullptr) {
    return RequestEnd::NoAnswer;
  }
  const auto outcome =
    ParseOutcome(FindHeader(response->m_headers, kOutcomeHeader));
  if (!outcome) {
    return RequestEnd::Wrong;
  }
  if (*outcome == Outcome::NotRun) {
    return RequestEnd::NotRun;
  }
  if (*outcome == Outcome::Unknown) {
    return RequestEnd::Unknown;
  }
  if (response->m_status != kHttpOk) {
    return RequestEnd::Failed;
  }
  return response->m_body == aExpected ? RequestEnd::Completed
                                       : RequestEnd::Wrong;
}

}

class Customers::Implementation
  : public std::enable_shared_from_this<Customers::Implementation>
{
public:
  Implementation(IoThreads& aThreads,
                 Scenario aScenario,
                 Configuration aConfiguration)
    : m_threads(aThreads)
    , m_scenario(std::move(aScenario))
    , m_configuration(std::move(aConfiguration))
    , m_client(aThreads, ClientSettings())
    , m_recorder(m_scenario.m_length)
  {
  }

  void Begin(Instant aStart) { m_start = aStart; }
  void SetRetryStorm(std::optional<std::uint32_t> aAttempts)
  {
    m_stormAttempts = aAttempts.value_or(0);
  }
  void Start(const Arrival& aArrival);
  std::size_t Open() const { return m_open; }
  StreamResults Results() const { return m_recorder.Results(); }

private:
  void SendAttempt(const RequestPointer& aRequest);
  void HandleAnswer(const RequestPointer& aRequest, const HttpResult& aResult);
  void Finish(const Request& aRequest, RequestEnd aEnd);
  Endpoint ChooseNode(Request& aRequest) const;

  IoThreads& m_threads;
  const Scenario m_scenario;
  const Configuration m_configuration;
  HttpClient m_client;
  LoadRecorder m_recorder;
  Instant m_start;
  std::atomic<std::size_t> m_open{ 0 };
  std::atomic<std::uint32_t> m_stormAttempts{ 0 };
};

void
Customers::Implementation::Start(const Arrival& aArrival)
{
  const auto request = std::make_shared<Request>(aArrival);
  if (m_open >= kOpenRequestLimit) {
    ++m_open;
    Finish(*request, RequestEnd::NoAnswer);
    return;
  }
  ++m_open;
  request->m_key = ToText(MakeIdempotencyKey(
    IoThreads::WallNow(), aArrival.m_keyHigh, aArrival.m_keyLow));
  request->m_expected = ExpectedAnswer(
    m_configuration, aArrival.m_operation, ToText(aArrival.m_request));
  request->m_deadline =
    m_start + aArrival.m_at + m_scenario.m_customers.m_callerTimeout;
  SendAttempt(request);
}

void
Customers::Implementation::SendAttempt(const RequestPointer& aRequest)
{
  const Duration left = aRequest->m_deadline - IoThreads::Now();
  const Duration timeout =
    std::min(left, m_scenario.m_customers.m_attemptTimeout);
  HttpRequest message;
  message.m_method = "POST";
  message.m_target =
    std::string(kCallPrefix) + ToText(aRequest->m_arrival.m_operation);
  message.m_headers = {
    { std::string(kRequestHeader), ToText(aRequest->m_arrival.m_request) },
    { std::string(kKeyHeader), aRequest->m_key },
    { std::string(kRemainingHeader),
      std::to_string(std::max<std::int64_t>(ToMilliseconds(timeout), 1)) }
  };
  message.m_body = aRequest->m_arrival.m_body;
  ++aRequest->m_attempts;
  m_client.Send(ChooseNode(*aRequest),
                std::move(message),
                timeout,
                [weak = weak_from_this(), aRequest](const HttpResult& aResult) {
                  if (const auto self = weak.lock()) {
                    self->HandleAnswer(aRequest, aResult);
                  }
                });
}

void
Customers::Implementation::HandleAnswer(const RequestPointer& aRequest,
                                        const HttpResult& aResult)
{
  const RequestEnd end = ClassifyResult(aResult, aRequest->m_expected);
  const std::uint32_t storm = m_stormAttempts;
  const std::uint32_t maxAttempts =
    storm > 0 ? storm : m_scenario.m_customers.m_attempts;
  const Duration backoff = storm > 0
                             ? Milliseconds(1)
                             : Scale(m_scenario.m_customers.m_backoff,
                                     2 * aRequest->m_random.NextDouble());
  const bool isRetry = end != RequestEnd::Completed &&
                       end != RequestEnd::Wrong &&
                       aRequest->m_attempts < maxAttempts &&
                       IoThreads::Now() + backoff < aRequest->m_deadline;
  if (!isRetry) {
    Finish(*aRequest, end);
    return;
  }
  m_threads.After(backoff, [weak = weak_from_this(), aRequest] {
    if (const auto self = weak.lock()) {
      self->SendAttempt(aRequest);
    }
  });
}

void
Customers::Implementation::Finish(const Request& aRequest, RequestEnd aEnd)
{
  m_recorder.Record(aRequest.m_arrival.m_operation,
                    aEnd,
                    aRequest.m_arrival.m_at,
                    IoThreads::Now() - m_start,
                    aRequest.m_attempts);
  --m_open;
}

Endpoint
Customers::Implementation::ChooseNode(Request& aRequest) const
{
  const std::size_t host =
    aRequest.m_random.NextBelow(m_scenario.m_hosts.size());
  return CallerEndpoint(m_scenario, m_scenario.m_hosts.at(host));
}

//==============================================================================
Customers::Customers(IoThreads& aThreads,
                     Scenario aScenario,
                     Configuration aConfiguration)
  : m_implementation(
      std::make_shared<Implementation>(aThreads,
                                       std::move(aScenario),
                                       std::move(aConfiguration)))
{
}

Customers::~Customers() = default;

void
Customers::Begin(Instant aStart)
{
  m_implementation->Begin(aStart);
}

void
Customers::Start(const Arrival& aArrival)
{
  m_implementation->Start(aArrival);
}

void
Customers::SetRetryStorm(std::optional<std::uint32_t> aAttempts)
{
  m_implementation->SetRetryStorm(aAttempts);
}

std::size_t
Customers::Open() const
{
  return m_implementation->Open();
}

StreamResults
Customers::Results() const
{
  return m_implementation->Results();
}

}
