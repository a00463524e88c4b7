#include <fmt/format.h>

#include "cr_relay_server/protocol/cr_RelayCodec.h"
#include "cr_relay_server/server/cr_RelayShell.h"

namespace cr {

namespace {

/* Added to the remaining time of a forwarded request: the other node answers
   at the timeout, and its answer takes a moment to arrive. */
constexpr Duration kPeerAnswerMargin = Milliseconds(40);
/* Max idle time of a connection that is reused for a non-idempotent request.
   The other end may have closed one that idled longer, and then it is unknown
   whether the request ran. */
constexpr Duration kNonIdempotentIdleLimit = Milliseconds(800);
/* The caller of a younger request was connected when the request was read. */
constexpr Duration kRecentlyCheckedAge = Milliseconds(5);
constexpr Duration kHealthTimeout = Milliseconds(500);
constexpr Duration kPeerRoutesTimeout = Milliseconds(500);
/* Added to the time for which a watch request lets the platform wait. */
constexpr Duration kStoreTimeout = Seconds(2);
constexpr std::string_view kBrokenAnswerEvent = "broken-answer";
constexpr unsigned kStatusMisdirected = 421;
constexpr unsigned kFirstErrorStatus = 500;

Duration
WatchWait(const StoreRequest& aRequest)
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

/* Copies the request for another node or the backend server, but for its body;
   only the headers that the node sets are replaced. */
HttpRequest
RelayServer::Implementation::MakeUpstreamRequest(
  const PendingCall& aPendingCall,
  Duration aRemaining) const
{
  const auto& names = m_adapter.m_headers;
  const std::shared_ptr<const HttpRequest>& received = aPendingCall.m_request;
  HttpRequest request{
    received->m_method, received->m_target, received->m_headers, {}
  };
  request.m_sharedBody = SharedBody(received, &received->m_body);
  RemoveHopByHopHeaders(request.m_headers);
  // A caller may have listed it in its Connection header.
  if (FindHeader(request.m_headers, names.m_requestId).empty()) {
    request.m_headers.push_back({ names.m_requestId, aPendingCall.m_id });
  }
  RemoveHeader(request.m_headers, names.m_callerTimeout);
  RemoveHeader(request.m_headers, names.m_expectedServer);
  RemoveHeader(request.m_headers, kRelayHeaderName);
  request.m_headers.push_back(
    { names.m_callerTimeout,
      std::to_string(std::max<std::int64_t>(1, ToMilliseconds(aRemaining))) });
  if (aPendingCall.m_ingress != kPeerIngress) {
    RemoveHeader(request.m_headers, names.m_callerService);
    request.m_headers.push_back(
      { names.m_callerService, m_settings.m_relay.m_service });
  }
  return request;
}

HttpSendOptions
RelayServer::Implementation::MakeSendOptions(Duration aTimeout,
                                             bool aIsIdempotent) const
{
  HttpSendOptions options;
  options.m_timeout = std::max<Duration>(aTimeout, Milliseconds(1));
  options.m_echoedHeader = m_adapter.m_headers.m_requestId;
  if (!aIsIdempotent) {
    options.m_idleLimit = kNonIdempotentIdleLimit;
  }
  return options;
}

/* Returns whether the caller disconnected while its request waited. The event
   of the close may still be queued when this node is short of processor
   time. */
bool
RelayServer::Implementation::DropIfCallerLeft(CallId aCall,
                                              const PendingCall& aPendingCall)
{
  if (IoThreads::Now() - aPendingCall.m_arrivedAt < kRecentlyCheckedAge ||
      aPendingCall.m_responder.IsCallerConnected()) {
    return false;
  }
  aPendingCall.m_responder.Close();
  ProcessEvent(RelayCallerDisconnected{ aCall });
  // The events above still look up the request.
  m_threads.Post([weak = weak_from_this(), aCall] {
    if (const auto self = weak.lock()) {
      self->m_pendingCalls.erase(aCall);
    }
  });
  return true;
}

void
RelayServer::Implementation::Execute(const ForwardRequest& aAction)
{
  PendingCall* pending = FindPendingCall(aAction.m_call);
  if (pending == nullptr || DropIfCallerLeft(aAction.m_call, *pending)) {
    return;
  }
  HttpRequest request =
    MakeUpstreamRequest(*pending, aAction.m_header.m_remaining);
  request.m_headers.push_back(
    { std::string(kRelayHeaderName), EncodeRelayHeader(aAction.m_header) });
  pending->m_peer = aAction.m_peer;
  pending->m_forward = m_peerClient.Send(
    aAction.m_peer,
    std::move(request),
    MakeSendOptions(aAction.m_header.m_remaining + kPeerAnswerMargin,
                    aAction.m_header.m_isIdempotent),
    [weak = weak_from_this(), call = aAction.m_call](HttpResult aResult) {
      if (const auto self = weak.lock()) {
        self->OnForwardCompleted(call, std::move(aResult));
      }
    });
}

/* The caller gets no byte of a broken answer; the line says why. */
void
RelayServer::Implementation::LogBrokenAnswer(const HttpResult& aResult,
                                             std::string_view aFrom,
                                             std::string_view aRequest)
{
  const auto* failure = std::get_if<HttpFailure>(&aResult);
  if (failure == nullptr || !failure->m_brokenAnswer) {
    return;
  }
  m_metrics.CountDecision(kBrokenAnswerEvent);
  const std::string members = fmt::format(
    "\"from\":\"{}\",\"why\":{}", aFrom, QuoteJson(failure->m_text));
  if (aRequest.empty()) {
    m_log.Write(kBrokenAnswerEvent, members);
  } else {
    m_log.Write(kBrokenAnswerEvent, aRequest, members);
  }
}

void
RelayServer::Implementation::OnForwardCompleted(CallId aCall,
                                                HttpResult&& aResult)
{
  PendingCall* pending = FindPendingCall(aCall);
  if (pending == nullptr) {
    return;
  }
  LogBrokenAnswer(aResult, "node", pending->m_id);
  if (const auto* failure = std::get_if<HttpFailure>(&aResult)) {
    ProcessEvent(ForwardFailed{ aCall, failure->m_sent, failure->m_timedOut });
    return;
  }
  auto& response = std::get<HttpResponse>(aResult);
  const auto report =
    DecodeRelayReport(FindHeader(response.m_headers, kReportHeaderName));
  if (!report) {
    m_log.Write("malformed",
                pending->m_id,
                fmt::format("\"why\":\"no report\",\"peer\":\"{}\","
                            "\"status\":{}",
                            ToText(pending->m_peer),
                            response.m_status));
    ProcessEvent(ForwardFailed{ aCall, true, false });
    return;
  }
  if (report->m_outcome == Outcome::Completed) {
    RemoveHeader(response.m_headers, kReportHeaderName);
    pending->m_answer = std::move(response);
  }
  const Endpoint peer = pending->m_peer;
  ProcessEvent(ForwardAnswered{ aCall, *report });
  OnPeerGeneration(report->m_generation, peer);
}

void
RelayServer::Implementation::Execute(const CancelForward& aAction)
{
  if (PendingCall* pending = FindPendingCall(aAction.m_call)) {
    HttpExchange exchange = pending->m_forward;
    exchange.Cancel();
  }
}

void
RelayServer::Implementation::Execute(const DispatchRequest& aAction)
{
  PendingCall* pending = FindPendingCall(aAction.m_call);
  if (pending == nullptr || DropIfCallerLeft(aAction.m_call, *pending)) {
    ProcessEvent(DispatchEnded{ aAction.m_call, DispatchResult::CallerLeft });
    return;
  }
  pending->m_dispatchedAt = IoThreads::Now();
  HttpRequest request = MakeUpstreamRequest(*pending, aAction.m_remaining);
  request.m_headers.push_back(
    { m_adapter.m_headers.m_expectedServer, aAction.m_server });
  pending->m_dispatch = m_serverClient.Send(
    m_settings.m_server,
    std::move(request),
    MakeSendOptions(aAction.m_remaining, aAction.m_isIdempotent),
    [weak = weak_from_this(), call = aAction.m_call](HttpResult aResult) {
      if (const auto self = weak.lock()) {
        self->OnDispatchCompleted(call, std::move(aResult));
      }
    });
}

void
RelayServer::Implementation::OnDispatchCompleted(CallId aCall,
                                                 HttpResult&& aResult)
{
  PendingCall* pending = FindPendingCall(aCall);
  LogBrokenAnswer(aResult,
                  "server",
                  pending != nullptr ? std::string_view(pending->m_id) : "");
  const std::optional<ServerCondition> condition = ReadCondition(aResult);
  const auto* response = std::get_if<HttpResponse>(&aResult);
  const std::size_t earlier = response != nullptr ? response->m_earlier : 0;
  const DispatchResult result = ClassifyResult(pending, std::move(aResult));
  if (pending != nullptr) {
    m_metrics.CountDispatch(result, IoThreads::Now() - pending->m_dispatchedAt);
  }
  ProcessEvent(DispatchEnded{ aCall, result, condition, earlier });
}

/* Returns nothing without a well-formed answer. */
std::optional<ServerCondition>
RelayServer::Implementation::ReadCondition(const HttpResult& aResult)
{
  const auto* response = std::get_if<HttpResponse>(&aResult);
  if (response == nullptr) {
    return std::nullopt;
  }
  const auto condition =
    ReadServerCondition(response->m_headers, m_adapter.m_headers);
  if (!condition) {
    m_log.Write("malformed",
                fmt::format("\"why\":{}", QuoteJson(condition.error().m_text)));
    return std::nullopt;
  }
  return *condition;
}

DispatchResult
RelayServer::Implementation::ClassifyResult(PendingCall* aPendingCall,
                                            HttpResult&& aResult) const
{
  if (const auto* failure = std::get_if<HttpFailure>(&aResult)) {
    if (!failure->m_sent) {
      return DispatchResult::Unreachable;
    }
    return failure->m_timedOut ? DispatchResult::TimedOut
                               : DispatchResult::Broken;
  }
  auto& response = std::get<HttpResponse>(aResult);
  if (response.m_status == kStatusMisdirected) {
    return DispatchResult::WrongServer;
  }
  if (!FindHeader(response.m_headers, m_adapter.m_headers.m_notRun).empty()) {
    return DispatchResult::RefusedNotRun;
  }
  if (!FindHeader(response.m_headers, "Content-Encoding").empty()) {
    return DispatchResult::Broken;
  }
  const bool isError = response.m_status >= kFirstErrorStatus;
  if (aPendingCall != nullptr) {
    aPendingCall->m_answer = std::move(response);
  }
  return isError ? DispatchResult::AnsweredError : DispatchResult::Answered;
}

void
RelayServer::Implementation::Execute(const CancelRelayDispatch& aAction)
{
  if (PendingCall* pending = FindPendingCall(aAction.m_call)) {
    HttpExchange exchange = pending->m_dispatch;
    exchange.Cancel();
  }
}

//==============================================================================
void
RelayServer::Implementation::CompleteCall(CallId aCall,
                                          HttpResponse&& aResponse,
                                          const RelayReport& aReport)
{
  const auto pending = m_pendingCalls.find(aCall);
  if (pending == m_pendingCalls.end()) {
    return;
  }
  m_metrics.CountAnswer(pending->second.m_ingress,
                        aReport.m_outcome,
                        aReport.m_reason,
                        IoThreads::Now() - pending->second.m_arrivedAt);
  RemoveHopByHopHeaders(aResponse.m_headers);
  pending->second.m_responder.Send(std::move(aResponse));
  m_pendingCalls.erase(pending);
}

void
RelayServer::Implementation::Execute(const RelayAnswer& aAction)
{
  PendingCall* pending = FindPendingCall(aAction.m_call);
  if (pending == nullptr || !pending->m_answer) {
    return;
  }
  RelayReport report;
  report.m_outcome = Outcome::Completed;
  CompleteCall(aAction.m_call, std::move(*pending->m_answer), report);
}

void
RelayServer::Implementation::Execute(const RefuseRequest& aAction)
{
  PendingCall* pending = FindPendingCall(aAction.m_call);
  if (pending == nullptr) {
    return;
  }
  m_metrics.CountRefusal(aAction.m_reason, aAction.m_limit);
  RelayReport report;
  report.m_reason = aAction.m_reason;
  report.m_outcome = aAction.m_retryAfter ? Outcome::NotRun : Outcome::Unknown;
  m_log.Write(
    "refuse",
    pending->m_id,
    fmt::format(
      "\"status\":{},\"reason\":\"{}\",\"limit\":\"{}\",\"at\":\"{}\","
      "\"target\":{},\"held_ms\":{},\"retry_after_ms\":{},"
      "\"share\":{:.2f},\"bound\":{:.0f},\"tried\":\"{}\",\"generation\":{}",
      aAction.m_status,
      ToText(aAction.m_reason),
      aAction.m_limit,
      pending->m_ingress,
      QuoteJson(pending->m_request->m_target),
      ToMilliseconds(IoThreads::Now() - pending->m_arrivedAt),
      ToMilliseconds(aAction.m_retryAfter.value_or(Duration::zero())),
      aAction.m_share,
      aAction.m_bound,
      aAction.m_host,
      m_documentGeneration));
  HttpResponse response = MakeTextResponse(
    aAction.m_status, std::string(ToText(aAction.m_reason)) + "\n");
  response.m_headers.push_back(
    { m_adapter.m_headers.m_requestId, pending->m_id });
  if (aAction.m_retryAfter) {
    response.m_headers.push_back(
      { "Retry-After",
        fmt::format("{:.3f}", ToSeconds(*aAction.m_retryAfter)) });
  }
  CompleteCall(aAction.m_call, std::move(response), report);
}

void
RelayServer::Implementation::Execute(const AnswerPeer& aAction)
{
  PendingCall* pending = FindPendingCall(aAction.m_call);
  if (pending == nullptr) {
    return;
  }
  const bool isCompleted = aAction.m_report.m_outcome == Outcome::Completed;
  HttpResponse response;
  if (isCompleted && pending->m_answer) {
    response = std::move(*pending->m_answer);
  } else {
    response.m_status = kHttpUnavailable;
  }
  // A backend server's error may lack it.
  if (FindHeader(response.m_headers, m_adapter.m_headers.m_requestId).empty()) {
    response.m_headers.push_back(
      { m_adapter.m_headers.m_requestId, pending->m_id });
  }
  RemoveHeader(response.m_headers, kReportHeaderName);
  response.m_headers.push_back(
    { std::string(kReportHeaderName), EncodeRelayReport(aAction.m_report) });
  CompleteCall(aAction.m_call, std::move(response), aAction.m_report);
}

void
RelayServer::Implementation::Execute(const AnswerServer& aAction)
{
  const auto message = m_pendingMessages.find(aAction.m_call);
  if (message == m_pendingMessages.end()) {
    return;
  }
  message->second.Send(
    aAction.m_isAcknowledged
      ? MakeTextResponse(kHttpOk, "{}", "application/json")
      : MakeTextResponse(kHttpUnavailable, "not stored yet\n"));
  m_pendingMessages.erase(message);
}

void
RelayServer::Implementation::Execute(const CheckHealth& aAction)
{
  HttpRequest request;
  request.m_target = aAction.m_path;
  HttpSendOptions options;
  options.m_timeout = kHealthTimeout;
  options.m_isOnOwnConnection = true;
  m_serverClient.Send(m_settings.m_server,
                      std::move(request),
                      options,
                      [weak = weak_from_this()](const HttpResult& aResult) {
                        if (const auto self = weak.lock()) {
                          self->OnHealthChecked(aResult);
                        }
                      });
}

void
RelayServer::Implementation::Execute(const RelayCallStore& aAction)
{
  m_storeClient.Send(
    m_settings.m_platform,
    m_adapter.m_writeStoreCall(aAction.m_request),
    WatchWait(aAction.m_request) + kStoreTimeout,
    [weak = weak_from_this(), action = aAction](const HttpResult& aResult) {
      if (const auto self = weak.lock()) {
        self->LogBrokenAnswer(aResult, "store");
        StoreAnswer answer =
          self->m_adapter.m_readStoreAnswer(action.m_request, aResult);
        self->m_metrics.CountStore(action.m_request, answer);
        self->ProcessEvent(RelayStoreAnswered{
          action.m_id, std::move(answer), self->ReadStoreEra(aResult) });
      }
    });
}

/* Returns nothing without an answer that names the era. */
std::optional<StoreEra>
RelayServer::Implementation::ReadStoreEra(const HttpResult& aResult)
{
  const auto* response = std::get_if<HttpResponse>(&aResult);
  if (response == nullptr) {
    return std::nullopt;
  }
  const std::string_view text =
    FindHeader(response->m_headers, m_adapter.m_headers.m_storeEra);
  const auto era = ParseNumber<StoreEra>(text);
  if (!era && !text.empty()) {
    m_log.Write("malformed",
                fmt::format("\"why\":\"store era\",\"text\":{}",
                            QuoteJson(std::string(text))));
  }
  return era;
}

void
RelayServer::Implementation::Execute(const ReadRoutes& aAction)
{
  LoadRoutes(aAction.m_document, "platform");
}

void
RelayServer::Implementation::Execute(const FetchPeerRoutes& aAction)
{
  HttpRequest request;
  request.m_target = kRoutesPath;
  request.m_headers.push_back(
    { std::string(kNewerThanHeaderName), std::to_string(aAction.m_newerThan) });
  if (!aAction.m_suspects.empty()) {
    request.m_headers.push_back(
      { std::string(kSuspectsHeaderName), EncodeSuspects(aAction.m_suspects) });
  }
  m_peerClient.Send(
    aAction.m_peer,
    std::move(request),
    kPeerRoutesTimeout,
    [weak = weak_from_this()](const HttpResult& aResult) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      self->LogBrokenAnswer(aResult, "node");
      const auto* response = std::get_if<HttpResponse>(&aResult);
      if (response != nullptr && response->m_status == kHttpOk) {
        self->LoadRoutes(response->m_body, "node");
      }
      PeerRoutesFetched event;
      event.m_isAnswered = response != nullptr;
      if (response != nullptr) {
        event.m_suspects = self->ReadSuspects(
          FindHeader(response->m_headers, kSuspectsHeaderName));
      }
      self->ProcessEvent(std::move(event));
    });
}

void
RelayServer::Implementation::Execute(const ReportSuspects& aAction)
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = kSuspectsPath;
  request.m_body = EncodeSuspects(aAction.m_suspects);
  for (const Endpoint& peer : aAction.m_peers) {
    m_peerClient.Send(
      peer,
      request,
      kPeerRoutesTimeout,
      [weak = weak_from_this(), peer](const HttpResult& aResult) {
        const auto self = weak.lock();
        const auto* response = std::get_if<HttpResponse>(&aResult);
        // The other node will hear of the suspects when nodes exchange them.
        if (self && (response == nullptr || response->m_status != kHttpOk)) {
          self->m_log.Write("suspects-unreported",
                            fmt::format("\"peer\":\"{}\"", ToText(peer)));
        }
      });
  }
}

/* Returns the suspects in a message of another node; none if it is malformed.
 */
std::vector<Suspect>
RelayServer::Implementation::ReadSuspects(std::string_view aText)
{
  auto suspects = DecodeSuspects(aText);
  if (!suspects) {
    m_log.Write("malformed",
                fmt::format("\"why\":{}", QuoteJson(suspects.error().m_text)));
    return {};
  }
  return std::move(*suspects);
}

void
RelayServer::Implementation::Execute(const LogDecision& aAction)
{
  m_metrics.CountDecision(aAction.m_event);
  if (!aAction.m_call) {
    m_log.Write(aAction.m_event, aAction.m_members);
    return;
  }
  // The identifier is gone if the caller has disconnected.
  const PendingCall* pending = FindPendingCall(*aAction.m_call);
  m_log.Write(aAction.m_event,
              pending != nullptr ? std::string_view(pending->m_id) : "",
              aAction.m_members);
}

}
