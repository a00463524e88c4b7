#include "cr_process/wire/cr_CallWire.h"

#include <limits>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr std::string_view kImportanceHeader = "Cr-Importance";
constexpr std::string_view kAttemptBudgetHeader = "Cr-Grant";
constexpr std::string_view kDepthHeader = "Cr-Depth";
constexpr std::string_view kAttemptHeader = "Cr-Attempt";
constexpr std::string_view kGenerationHeader = "Cr-Generation";
constexpr std::string_view kUnusedAttemptsHeader = "Cr-Unspent";
constexpr std::string_view kLevelHeader = "Cr-Level";
constexpr std::string_view kContentTypeHeader = "Content-Type";
constexpr std::uint64_t kMaxTimeoutMs = 600000;
constexpr std::uint64_t kMaxAttemptBudget = 1024;
constexpr std::uint64_t kMaxDepth = 64;

tl::unexpected<Error>
Malformed(std::string_view aHeader)
{
  return Failure(ErrorCode::Malformed,
                 fmt::format("header {} is missing or malformed", aHeader));
}

Expected<std::uint64_t>
ReadNumber(const HttpHeaders& aHeaders,
           std::string_view aName,
           std::uint64_t aMax)
{
  const auto number = ParseNumber<std::uint64_t>(FindHeader(aHeaders, aName));
  if (!number || *number > aMax) {
    return Malformed(aName);
  }
  return *number;
}

template<typename Tag>
Expected<Identifier<Tag>>
ReadIdentifier(const HttpHeaders& aHeaders, std::string_view aName)
{
  const auto identifier = ParseIdentifier<Tag>(FindHeader(aHeaders, aName));
  if (!identifier) {
    return Malformed(aName);
  }
  return *identifier;
}

Expected<std::optional<IdempotencyKey>>
ReadKey(const HttpHeaders& aHeaders)
{
  if (FindHeader(aHeaders, kKeyHeader).empty()) {
    return std::optional<IdempotencyKey>();
  }
  const auto key = ReadIdentifier<IdempotencyTag>(aHeaders, kKeyHeader);
  if (!key || !KeyTimestamp(*key)) {
    return Failure(ErrorCode::Malformed,
                   "header Idempotency-Key must be a UUID version 7");
  }
  return std::optional(*key);
}

Expected<std::optional<Duration>>
ReadTimeout(const HttpHeaders& aHeaders)
{
  if (FindHeader(aHeaders, kRemainingHeader).empty()) {
    return std::optional<Duration>();
  }
  const auto number = ReadNumber(aHeaders, kRemainingHeader, kMaxTimeoutMs);
  if (!number || *number == 0) {
    return Malformed(kRemainingHeader);
  }
  return std::optional(Milliseconds(static_cast<std::int64_t>(*number)));
}

PayloadPointer
ReadPayload(const HttpHeaders& aHeaders,
            std::string aBody,
            MessageMemory aMemory)
{
  return std::make_shared<Payload>(
    Payload{ std::string(FindHeader(aHeaders, kContentTypeHeader)),
             std::move(aBody),
             std::move(aMemory) });
}

void
Add(HttpHeaders& aHeaders, std::string_view aName, std::string aValue)
{
  aHeaders.push_back({ std::string(aName), std::move(aValue) });
}

void
AddPayload(HttpHeaders& aHeaders,
           SharedBody& aBody,
           const PayloadPointer& aPayload)
{
  if (!aPayload) {
    return;
  }
  if (!aPayload->m_contentType.empty()) {
    Add(aHeaders, kContentTypeHeader, aPayload->m_contentType);
  }
  aBody = SharedBody(aPayload, &aPayload->m_body);
}

/* Nodes exchange the remaining time in microseconds, so that rounding errors do
   not add up over a deep call chain. */
std::string
RemainingText(const CallHeader& aHeader)
{
  return std::to_string(aHeader.m_remaining.count());
}

constexpr std::string_view kCrashesHeader = "Cr-Deaths";
constexpr std::uint64_t kMaxCrashes = 1000;
constexpr std::string_view kRemainingMicrosecondsHeader = "Cr-Remaining-Us";

unsigned
StatusFor(const CallReport& aReport)
{
  if (aReport.m_outcome == Outcome::Completed) {
    return aReport.m_status;
  }
  if (aReport.m_outcome == Outcome::Unknown) {
    return kHttpGatewayTimeout;
  }
  switch (aReport.m_reason) {
    case Reason::Malformed:
    case Reason::KeyMissing:
      return kHttpBadRequest;
    case Reason::UnknownService:
      return kHttpNotFound;
    default:
      return kHttpUnavailable;
  }
}

HttpRequest
CallRequest(const OperationName& aOperation)
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = std::string(kCallPrefix) + ToText(aOperation);
  return request;
}

}

Expected<OperationName>
ParseCallTarget(std::string_view aTarget)
{
  if (!aTarget.starts_with(kCallPrefix)) {
    return Failure(ErrorCode::NotFound, "no such path");
  }
  const std::string_view rest = aTarget.substr(kCallPrefix.size());
  const auto slash = rest.find('/');
  if (slash == std::string_view::npos || slash == 0 ||
      slash + 1 == rest.size() ||
      rest.find('/', slash + 1) != std::string_view::npos) {
    return Failure(ErrorCode::Malformed,
                   "the path must be /call/<service>/<operation>");
  }
  return OperationName{ std::string(rest.substr(0, slash)),
                        std::string(rest.substr(slash + 1)) };
}

Expected<CustomerCall>
ParseCustomerCall(const HttpRequest& aRequest, const RequestId& aFallback)
{
  const auto operation = ParseCallTarget(aRequest.m_target);
  if (!operation) {
    return tl::unexpected(operation.error());
  }
  const auto key = ReadKey(aRequest.m_headers);
  if (!key) {
    return tl::unexpected(key.error());
  }
  const auto timeout = ReadTimeout(aRequest.m_headers);
  if (!timeout) {
    return tl::unexpected(timeout.error());
  }
  CustomerCall call{ {}, *operation, aFallback, *key, *timeout, nullptr };
  if (call.m_callerTimeout) {
    // The caller's time also ran while the request waited for its turn.
    call.m_callerTimeout =
      std::max(Duration::zero(), *call.m_callerTimeout - aRequest.m_waited);
  }
  if (!FindHeader(aRequest.m_headers, kRequestHeader).empty()) {
    const auto request =
      ReadIdentifier<RequestTag>(aRequest.m_headers, kRequestHeader);
    if (!request) {
      return tl::unexpected(request.error());
    }
    call.m_request = *request;
  }
  call.m_payload =
    ReadPayload(aRequest.m_headers, aRequest.m_body, aRequest.m_memory);
  return call;
}

Expected<ChildCall>
ParseChildCall(const HttpRequest& aRequest)
{
  const auto call = ParseCustomerCall(aRequest, {});
  if (!call) {
    return tl::unexpected(call.error());
  }
  const auto token =
    ReadIdentifier<GateTokenTag>(aRequest.m_headers, kTokenHeader);
  if (!token) {
    return tl::unexpected(token.error());
  }
  return ChildCall{ {},
                    *token,
                    call->m_operation,
                    call->m_key,
                    call->m_callerTimeout,
                    call->m_payload };
}

Expected<PeerCall>
ParsePeerCall(const HttpRequest& aRequest)
{
  const HttpHeaders& headers = aRequest.m_headers;
  const auto operation = ParseCallTarget(aRequest.m_target);
  const auto request = ReadIdentifier<RequestTag>(headers, kRequestHeader);
  const auto attempt = ReadIdentifier<AttemptTag>(headers, kAttemptHeader);
  const auto key = ReadKey(headers);
  const auto importance =
    ParseImportance(FindHeader(headers, kImportanceHeader));
  const auto remaining =
    ReadNumber(headers, kRemainingMicrosecondsHeader, kMaxTimeoutMs * 1000);
  const auto attemptBudget =
    ReadNumber(headers, kAttemptBudgetHeader, kMaxAttemptBudget);
  const auto depth = ReadNumber(headers, kDepthHeader, kMaxDepth);
  const auto generation = ReadNumber(
    headers, kGenerationHeader, std::numeric_limits<std::uint64_t>::max());
  const auto crashes = FindHeader(headers, kCrashesHeader).empty()
                         ? Expected<std::uint64_t>(0U)
                         : ReadNumber(headers, kCrashesHeader, kMaxCrashes);
  if (!operation || !request || !attempt || !key || !importance || !remaining ||
      !attemptBudget || !depth || !generation || !crashes) {
    return Failure(ErrorCode::Malformed,
                   "a forwarded call lacks headers or has malformed ones");
  }
  PeerCall call;
  call.m_attempt = *attempt;
  call.m_header = { *request,
                    *operation,
                    *importance,
                    *key,
                    Duration(static_cast<Duration::rep>(*remaining)),
                    static_cast<std::uint32_t>(*attemptBudget),
                    static_cast<std::uint32_t>(*depth),
                    *generation,
                    static_cast<std::uint32_t>(*crashes) };
  call.m_payload = ReadPayload(headers, aRequest.m_body, aRequest.m_memory);
  return call;
}

HttpRequest
WriteForwardCall(const ForwardCall& aCall)
{
  const CallHeader& header = aCall.m_header;
  HttpRequest request = CallRequest(header.m_operation);
  HttpHeaders& headers = request.m_headers;
  Add(headers, kRequestHeader, ToText(header.m_request));
  Add(headers, kAttemptHeader, ToText(aCall.m_attempt));
  if (header.m_key) {
    Add(headers, kKeyHeader, ToText(*header.m_key));
  }
  Add(headers, kImportanceHeader, std::string(ToText(header.m_importance)));
  Add(headers, kRemainingMicrosecondsHeader, RemainingText(header));
  Add(headers, kAttemptBudgetHeader, std::to_string(header.m_attemptBudget));
  Add(headers, kDepthHeader, std::to_string(header.m_depth));
  Add(headers, kGenerationHeader, std::to_string(header.m_generation));
  if (header.m_crashes > 0) {
    Add(headers, kCrashesHeader, std::to_string(header.m_crashes));
  }
  AddPayload(headers, request.m_sharedBody, aCall.m_payload);
  return request;
}

HttpRequest
WriteDispatchCall(const DispatchCall& aCall)
{
  const CallHeader& header = aCall.m_header;
  HttpRequest request = CallRequest(header.m_operation);
  HttpHeaders& headers = request.m_headers;
  Add(headers, kRequestHeader, ToText(header.m_request));
  Add(headers, kTokenHeader, ToText(aCall.m_token));
  if (header.m_key) {
    Add(headers, kKeyHeader, ToText(*header.m_key));
  }
  Add(headers, kImportanceHeader, std::string(ToText(header.m_importance)));
  Add(headers,
      kRemainingHeader,
      std::to_string(ToMilliseconds(header.m_remaining)));
  AddPayload(headers, request.m_sharedBody, aCall.m_payload);
  return request;
}

HttpResponse
WriteAnswer(const AnswerCall& aAnswer)
{
  HttpResponse response;
  response.m_status = StatusFor(aAnswer.m_report);
  HttpHeaders& headers = response.m_headers;
  Add(headers, kRequestHeader, ToText(aAnswer.m_request));
  Add(headers, kOutcomeHeader, std::string(ToText(aAnswer.m_report.m_outcome)));
  if (aAnswer.m_report.m_reason != Reason::None) {
    Add(headers, kReasonHeader, std::string(ToText(aAnswer.m_report.m_reason)));
  }
  AddPayload(headers, response.m_sharedBody, aAnswer.m_payload);
  if (aAnswer.m_payload) {
    response.m_memory = std::static_pointer_cast<const MemoryReservation>(
      aAnswer.m_payload->m_memory);
  }
  return response;
}

HttpResponse
WritePeerAnswer(const AnswerCall& aAnswer)
{
  const CallReport& report = aAnswer.m_report;
  HttpResponse response = WriteAnswer(aAnswer);
  response.m_status =
    report.m_outcome == Outcome::Completed ? report.m_status : kHttpUnavailable;
  HttpHeaders& headers = response.m_headers;
  Add(headers, kUnusedAttemptsHeader, std::to_string(report.m_unusedAttempts));
  Add(headers, kLevelHeader, std::to_string(report.m_level));
  Add(headers, kGenerationHeader, std::to_string(report.m_generation));
  return response;
}

Expected<AttemptAnswered>
ParsePeerAnswer(const AttemptId& aAttempt,
                const RequestId& aRequest,
                HttpResponse&& aResponse)
{
  const HttpHeaders& headers = aResponse.m_headers;
  const auto request = ReadIdentifier<RequestTag>(headers, kRequestHeader);
  const auto outcome = ParseOutcome(FindHeader(headers, kOutcomeHeader));
  const auto unusedAttempts =
    ReadNumber(headers, kUnusedAttemptsHeader, kMaxAttemptBudget);
  const auto level = ReadNumber(
    headers, kLevelHeader, std::numeric_limits<AdmissionLevel>::max());
  const auto generation = ReadNumber(
    headers, kGenerationHeader, std::numeric_limits<std::uint64_t>::max());
  if (!request || *request != aRequest || !outcome || !unusedAttempts ||
      !level || !generation) {
    return Failure(ErrorCode::Malformed,
                   "an answer lacks headers or belongs to another request");
  }
  const std::string_view reason = FindHeader(headers, kReasonHeader);
  AttemptAnswered answer;
  answer.m_attempt = aAttempt;
  answer.m_report = { *outcome,
                      ParseReason(reason).value_or(Reason::None),
                      aResponse.m_status,
                      static_cast<std::uint32_t>(*unusedAttempts),
                      static_cast<AdmissionLevel>(*level),
                      *generation };
  answer.m_payload =
    ReadPayload(headers, std::move(aResponse.m_body), aResponse.m_memory);
  return answer;
}

Expected<ServerAnnounced>
ParseAnnouncement(const HttpRequest& aRequest)
{
  constexpr IntegerRange slotRange = { 1, 100000 };
  constexpr IntegerRange instanceRange = {
    0, std::numeric_limits<std::int64_t>::max()
  };
  Findings findings;
  const JsonDocument document("announcement", aRequest.m_body, findings);
  ServerAnnounced announced;
  if (findings.empty()) {
    ObjectReader reader(document, document.Root(), findings);
    announced.m_service = reader.ReadText("service");
    announced.m_endpoint =
      ParseEndpoint(document, reader.ReadValue("endpoint"), findings);
    announced.m_slots =
      static_cast<std::uint32_t>(reader.ReadInteger("slots", slotRange));
    announced.m_instance =
      static_cast<std::uint64_t>(reader.ReadInteger("instance", instanceRange));
    announced.m_leaving = reader.ReadBoolean("leaving", false);
    reader.Finish();
  }
  if (!findings.empty()) {
    return Failure(ErrorCode::Malformed, ToText(findings));
  }
  return announced;
}

}
