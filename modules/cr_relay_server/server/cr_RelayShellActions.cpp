#include <fmt/format.h>

#include "cr_relay_server/dialect/cr_PeerWire.h"
#include "cr_relay_server/server/cr_RelayShell.h"

namespace cr {

namespace {

/* The other node answers when the time is over; its answer needs a moment. */
constexpr Duration kAnswerGrace = Milliseconds(40);
/* A request that may run only once takes no connection that idled longer: the
   other end may have closed it, and then nobody could say whether it ran. */
constexpr Duration kFreshIdleLimit = Milliseconds(800);
constexpr Duration kHealthTimeout = Milliseconds(500);
constexpr Duration kPeerRoutesTimeout = Milliseconds(500);
/* Beyond the time that the platform was asked to wait for a change. */
constexpr Duration kStoreTimeout = Seconds(2);
constexpr unsigned kStatusMisdirected = 421;
constexpr unsigned kFirstErrorStatus = 500;

Duration
WaitOf(const StoreRequest& aRequest)
{
  const auto* watch = std::get_if<WatchRequest>(&aRequest);
  return watch != nullptr ? watch->m_wait : Duration::zero();
}

void
RemoveHeader(HttpHeaders& aHeaders, std::string_view aName)
{
  std::erase_if(aHeaders, [&](const HttpHeader& aHeader) {
    return IsSameHeader(aHeader.m_name, aName);
  });
}

}

/* Between nodes and to the backend server a request goes as it came, but for
   the headers that the node sets. */
HttpRequest
RelayServer::Implementation::CopyRequest(const Open& aOpen,
                                         Duration aRemaining) const
{
  const auto& names = m_dialect.m_headers;
  HttpRequest request = *aOpen.m_request;
  RemoveHopByHopHeaders(request.m_headers);
  RemoveHeader(request.m_headers, names.m_patience);
  RemoveHeader(request.m_headers, names.m_expectedServer);
  RemoveHeader(request.m_headers, kRelayHeaderName);
  request.m_headers.push_back(
    { names.m_patience,
      std::to_string(std::max<std::int64_t>(1, ToMilliseconds(aRemaining))) });
  if (aOpen.m_at != "peer") {
    RemoveHeader(request.m_headers, names.m_callerService);
    request.m_headers.push_back(
      { names.m_callerService, m_settings.m_relay.m_service });
  }
  return request;
}

HttpSendOptions
RelayServer::Implementation::OptionsFor(Duration aTimeout,
                                        bool aIsIdempotent) const
{
  HttpSendOptions options;
  options.m_timeout = std::max<Duration>(aTimeout, Milliseconds(1));
  options.m_echoedHeader = m_dialect.m_headers.m_requestId;
  options.m_resendIfStale = aIsIdempotent;
  if (!aIsIdempotent) {
    options.m_idleLimit = kFreshIdleLimit;
  }
  return options;
}

void
RelayServer::Implementation::Do(const ForwardRequest& aAction)
{
  Open* open = Find(aAction.m_call);
  if (open == nullptr) {
    return;
  }
  HttpRequest request = CopyRequest(*open, aAction.m_header.m_remaining);
  request.m_headers.push_back(
    { std::string(kRelayHeaderName), EncodeRelayHeader(aAction.m_header) });
  open->m_peer = aAction.m_peer;
  open->m_forward = m_peerClient.Send(
    aAction.m_peer,
    std::move(request),
    OptionsFor(aAction.m_header.m_remaining + kAnswerGrace,
               aAction.m_header.m_isIdempotent),
    [weak = weak_from_this(), call = aAction.m_call](HttpResult aResult) {
      if (const auto self = weak.lock()) {
        self->TakeForward(call, std::move(aResult));
      }
    });
}

void
RelayServer::Implementation::TakeForward(CallId aCall, HttpResult&& aResult)
{
  Open* open = Find(aCall);
  if (open == nullptr) {
    return;
  }
  if (const auto* failure = std::get_if<HttpFailure>(&aResult)) {
    Feed(ForwardFailed{ aCall, failure->m_sent, failure->m_timedOut });
    return;
  }
  auto& response = std::get<HttpResponse>(aResult);
  const auto report =
    DecodeRelayReport(FindHeader(response.m_headers, kReportHeaderName));
  if (!report) {
    m_log.Write("malformed",
                open->m_id,
                fmt::format("\"why\":\"no report\",\"peer\":\"{}\","
                            "\"status\":{}",
                            ToText(open->m_peer),
                            response.m_status));
    Feed(ForwardFailed{ aCall, true, false });
    return;
  }
  if (report->m_outcome == Outcome::Completed) {
    RemoveHeader(response.m_headers, kReportHeaderName);
    open->m_answer = std::move(response);
  }
  const Endpoint peer = open->m_peer;
  Feed(ForwardAnswered{ aCall, *report });
  NoteGeneration(report->m_generation, peer);
}

void
RelayServer::Implementation::Do(const CancelForward& aAction)
{
  if (Open* open = Find(aAction.m_call)) {
    HttpExchange exchange = open->m_forward;
    exchange.Cancel();
  }
}

void
RelayServer::Implementation::Do(const HandOverRequest& aAction)
{
  Open* open = Find(aAction.m_call);
  if (open == nullptr) {
    // The sender left while the decision was made.
    Feed(HandOverEnded{ aAction.m_call, ServerVerdict::Unreachable });
    return;
  }
  open->m_handedOver = IoThreads::Now();
  HttpRequest request = CopyRequest(*open, aAction.m_remaining);
  request.m_headers.push_back(
    { m_dialect.m_headers.m_expectedServer, aAction.m_server });
  open->m_handOver = m_serverClient.Send(
    m_settings.m_server,
    std::move(request),
    OptionsFor(aAction.m_remaining, aAction.m_isIdempotent),
    [weak = weak_from_this(), call = aAction.m_call](HttpResult aResult) {
      if (const auto self = weak.lock()) {
        self->TakeHandOver(call, std::move(aResult));
      }
    });
}

void
RelayServer::Implementation::TakeHandOver(CallId aCall, HttpResult&& aResult)
{
  Open* open = Find(aCall);
  const ServerVerdict verdict = Judge(open, std::move(aResult));
  if (open != nullptr) {
    m_metrics.CountHandOver(verdict, IoThreads::Now() - open->m_handedOver);
  }
  Feed(HandOverEnded{ aCall, verdict });
}

ServerVerdict
RelayServer::Implementation::Judge(Open* aOpen, HttpResult&& aResult) const
{
  if (const auto* failure = std::get_if<HttpFailure>(&aResult)) {
    if (failure->m_unreachable || !failure->m_sent) {
      return ServerVerdict::Unreachable;
    }
    return failure->m_timedOut ? ServerVerdict::TimedOut
                               : ServerVerdict::Broken;
  }
  auto& response = std::get<HttpResponse>(aResult);
  if (response.m_status == kStatusMisdirected) {
    return ServerVerdict::WrongServer;
  }
  if (!FindHeader(response.m_headers, m_dialect.m_headers.m_notRun).empty()) {
    return ServerVerdict::RefusedNotRun;
  }
  if (!FindHeader(response.m_headers, "Content-Encoding").empty()) {
    return ServerVerdict::Broken;
  }
  const bool isError = response.m_status >= kFirstErrorStatus;
  if (aOpen != nullptr) {
    aOpen->m_answer = std::move(response);
  }
  return isError ? ServerVerdict::AnsweredError : ServerVerdict::Answered;
}

void
RelayServer::Implementation::Do(const CancelServerRequest& aAction)
{
  if (Open* open = Find(aAction.m_call)) {
    HttpExchange exchange = open->m_handOver;
    exchange.Cancel();
  }
}

//==============================================================================
void
RelayServer::Implementation::Finish(CallId aCall,
                                    HttpResponse&& aResponse,
                                    const RelayReport& aReport)
{
  const auto open = m_open.find(aCall);
  if (open == m_open.end()) {
    return;
  }
  m_metrics.CountAnswer(open->second.m_at,
                        aReport.m_outcome,
                        aReport.m_reason,
                        IoThreads::Now() - open->second.m_arrived);
  RemoveHopByHopHeaders(aResponse.m_headers);
  open->second.m_responder.Send(std::move(aResponse));
  m_open.erase(open);
}

void
RelayServer::Implementation::Do(const RelayAnswer& aAction)
{
  Open* open = Find(aAction.m_call);
  if (open == nullptr || !open->m_answer) {
    return;
  }
  RelayReport report;
  report.m_outcome = Outcome::Completed;
  Finish(aAction.m_call, std::move(*open->m_answer), report);
}

void
RelayServer::Implementation::Do(const RefuseRequest& aAction)
{
  Open* open = Find(aAction.m_call);
  if (open == nullptr) {
    return;
  }
  RelayReport report;
  report.m_reason = aAction.m_reason;
  report.m_outcome = aAction.m_retryAfter ? Outcome::NotRun : Outcome::Unknown;
  m_log.Write(
    "refuse",
    open->m_id,
    fmt::format(
      "\"status\":{},\"reason\":\"{}\",\"at\":\"{}\","
      "\"target\":{},\"held_ms\":{},\"retry_after_ms\":{},"
      "\"share\":{:.2f},\"bound\":{:.0f},\"tried\":\"{}\",\"generation\":{}",
      aAction.m_status,
      ToText(aAction.m_reason),
      open->m_at,
      QuoteJson(open->m_request->m_target),
      ToMilliseconds(IoThreads::Now() - open->m_arrived),
      ToMilliseconds(aAction.m_retryAfter.value_or(Duration::zero())),
      aAction.m_share,
      aAction.m_bound,
      aAction.m_host,
      m_documentGeneration));
  HttpResponse response = MakeTextResponse(
    aAction.m_status, std::string(ToText(aAction.m_reason)) + "\n");
  response.m_headers.push_back({ m_dialect.m_headers.m_requestId, open->m_id });
  if (aAction.m_retryAfter) {
    response.m_headers.push_back(
      { "Retry-After",
        fmt::format("{:.3f}", ToSeconds(*aAction.m_retryAfter)) });
  }
  Finish(aAction.m_call, std::move(response), report);
}

void
RelayServer::Implementation::Do(const AnswerPeer& aAction)
{
  Open* open = Find(aAction.m_call);
  if (open == nullptr) {
    return;
  }
  const bool isCompleted = aAction.m_report.m_outcome == Outcome::Completed;
  HttpResponse response;
  if (isCompleted && open->m_answer) {
    response = std::move(*open->m_answer);
  } else {
    response.m_status = kHttpUnavailable;
    response.m_headers.push_back(
      { m_dialect.m_headers.m_requestId, open->m_id });
  }
  RemoveHeader(response.m_headers, kReportHeaderName);
  response.m_headers.push_back(
    { std::string(kReportHeaderName), EncodeRelayReport(aAction.m_report) });
  Finish(aAction.m_call, std::move(response), aAction.m_report);
}

void
RelayServer::Implementation::Do(const AskHealth& aAction)
{
  HttpRequest request;
  request.m_target = aAction.m_path;
  m_serverClient.Send(m_settings.m_server,
                      std::move(request),
                      kHealthTimeout,
                      [weak = weak_from_this()](const HttpResult& aResult) {
                        if (const auto self = weak.lock()) {
                          self->TakeHealth(aResult);
                        }
                      });
}

void
RelayServer::Implementation::Do(const RelayCallStore& aAction)
{
  m_storeClient.Send(
    m_settings.m_platform,
    m_dialect.m_writeStoreCall(aAction.m_request),
    WaitOf(aAction.m_request) + kStoreTimeout,
    [weak = weak_from_this(), action = aAction](const HttpResult& aResult) {
      if (const auto self = weak.lock()) {
        StoreAnswer answer =
          self->m_dialect.m_readStoreAnswer(action.m_request, aResult);
        self->m_metrics.CountStore(action.m_request, answer);
        self->Feed(RelayStoreAnswered{ action.m_id, std::move(answer) });
      }
    });
}

void
RelayServer::Implementation::Do(const ReadRoutes& aAction)
{
  OfferRoutes(aAction.m_document, "platform");
}

void
RelayServer::Implementation::Do(const AskPeerRoutes& aAction)
{
  HttpRequest request;
  request.m_target = kRoutesPath;
  m_peerClient.Send(
    aAction.m_peer,
    std::move(request),
    kPeerRoutesTimeout,
    [weak = weak_from_this()](const HttpResult& aResult) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      const auto* response = std::get_if<HttpResponse>(&aResult);
      if (response != nullptr && response->m_status == kHttpOk) {
        self->OfferRoutes(response->m_body, "node");
      }
      self->Feed(PeerRoutesEnded{});
    });
}

void
RelayServer::Implementation::Do(const LogDecision& aAction)
{
  m_metrics.CountDecision(aAction.m_event);
  const Open* open = aAction.m_call ? Find(*aAction.m_call) : nullptr;
  if (open != nullptr) {
    m_log.Write(aAction.m_event, open->m_id, aAction.m_members);
  } else {
    m_log.Write(aAction.m_event, aAction.m_members);
  }
}

}
