#include "cr_process/wire/cr_RumourWire.h"

namespace cr {

namespace {

constexpr std::size_t kGreatestRows = 4096;
constexpr std::size_t kGreatestSuspects = 256;
constexpr std::size_t kGreatestName = 64;

/* Members are left out when they are empty; keys are one letter, since rumours
   are most of the control traffic. */
constexpr const char* kSender = "s";
constexpr const char* kRows = "r";
constexpr const char* kGeneration = "g";
constexpr const char* kSuspects = "x";
constexpr const char* kDigest = "d";
constexpr const char* kBuckets = "b";
constexpr const char* kWanted = "w";
constexpr const char* kWantsAll = "a";

Json::Value
Encode(const Suspect& aSuspect)
{
  Json::Value value(Json::arrayValue);
  value.append(ToText(aSuspect.m_request));
  value.append(aSuspect.m_crashes);
  value.append(Json::Int64(ToMilliseconds(aSuspect.m_remaining)));
  value.append(aSuspect.m_cleared);
  return value;
}

Expected<Suspect>
DecodeSuspect(const Json::Value& aValue)
{
  const auto request = ParseIdentifier<RequestTag>(aValue[0U].asString());
  if (!request) {
    return Failure(ErrorCode::Malformed, "a suspect's request is malformed");
  }
  return Suspect{ *request,
                  aValue[1U].asUInt(),
                  Milliseconds(aValue[2U].asInt64()),
                  aValue[3U].asUInt() };
}

Json::Value
EncodeNumbers(const std::vector<std::uint32_t>& aNumbers)
{
  Json::Value list(Json::arrayValue);
  for (const std::uint32_t number : aNumbers) {
    list.append(number);
  }
  return list;
}

Expected<std::vector<std::uint32_t>>
DecodeNumbers(const Json::Value& aList, std::uint32_t aGreatest)
{
  std::vector<std::uint32_t> numbers;
  if (aList.size() > kBucketCount) {
    return Failure(ErrorCode::LimitReached, "the rumour has too many buckets");
  }
  for (const Json::Value& value : aList) {
    numbers.push_back(value.asUInt());
    if (numbers.back() > aGreatest) {
      return Failure(ErrorCode::Malformed, "no such bucket");
    }
  }
  return numbers;
}

Expected<void>
DecodeRows(const Json::Value& aValue, GossipMessage& aRumour)
{
  const auto sender = ParseNodeRow(aValue[kSender]);
  if (!sender) {
    return tl::unexpected(sender.error());
  }
  aRumour.m_sender = *sender;
  for (const Json::Value& row : aValue[kRows]) {
    const auto decoded = ParseNodeRow(row);
    if (!decoded) {
      return tl::unexpected(decoded.error());
    }
    aRumour.m_rows.push_back(*decoded);
  }
  return {};
}

Expected<GossipMessage>
DecodeRumourValue(const Json::Value& aValue)
{
  if (aValue[kRows].size() > kGreatestRows ||
      aValue[kSuspects].size() > kGreatestSuspects) {
    return Failure(ErrorCode::LimitReached, "the rumour is too long");
  }
  GossipMessage rumour;
  if (const auto rows = DecodeRows(aValue, rumour); !rows) {
    return tl::unexpected(rows.error());
  }
  for (const Json::Value& suspect : aValue[kSuspects]) {
    const auto decoded = DecodeSuspect(suspect);
    if (!decoded) {
      return tl::unexpected(decoded.error());
    }
    rumour.m_suspects.push_back(*decoded);
  }
  const auto buckets = DecodeNumbers(aValue[kBuckets], UINT32_MAX);
  const auto wanted = DecodeNumbers(aValue[kWanted], kBucketCount - 1);
  if (!buckets || !wanted) {
    return tl::unexpected(buckets ? wanted.error() : buckets.error());
  }
  rumour.m_bucketDigests = *buckets;
  rumour.m_requestedBuckets = *wanted;
  rumour.m_generation = aValue[kGeneration].asUInt64();
  rumour.m_digest = aValue[kDigest].asUInt();
  rumour.m_requestsAllRows = aValue[kWantsAll].asBool();
  return rumour;
}

}

Json::Value
EncodeRumour(const GossipMessage& aRumour)
{
  Json::Value value(Json::objectValue);
  value[kSender] = ToJson(aRumour.m_sender);
  value[kGeneration] = Json::UInt64(aRumour.m_generation);
  value[kDigest] = aRumour.m_digest;
  for (const NodeRow& row : aRumour.m_rows) {
    value[kRows].append(ToJson(row));
  }
  for (const Suspect& suspect : aRumour.m_suspects) {
    value[kSuspects].append(Encode(suspect));
  }
  if (!aRumour.m_bucketDigests.empty()) {
    value[kBuckets] = EncodeNumbers(aRumour.m_bucketDigests);
  }
  if (!aRumour.m_requestedBuckets.empty()) {
    value[kWanted] = EncodeNumbers(aRumour.m_requestedBuckets);
  }
  if (aRumour.m_requestsAllRows) {
    value[kWantsAll] = true;
  }
  return value;
}

Expected<GossipMessage>
DecodeRumour(const Json::Value& aValue)
{
  if (!aValue.isObject()) {
    return Failure(ErrorCode::Malformed, "a rumour is an object");
  }
  return DecodeJson(aValue, DecodeRumourValue);
}

Json::Value
EncodeObjectAsked(const std::string& aName)
{
  Json::Value value(Json::objectValue);
  value["name"] = aName;
  return value;
}

ObjectRequested
ParseObjectAsked(const Json::Value& aParameters, CallId aCall)
{
  std::string name = aParameters["name"].asString();
  if (name.empty() || name.size() > kGreatestName) {
    throw Json::RuntimeError("the object's name is malformed");
  }
  return { aCall, std::move(name) };
}

std::optional<std::string>
ParseObjectAnswer(const Json::Value& aResult)
{
  if (!aResult.isObject() || !aResult["content"].isString()) {
    return std::nullopt;
  }
  return aResult["content"].asString();
}

Json::Value
EncodeAnswer(const AnswerObject& aAnswer)
{
  Json::Value result(Json::objectValue);
  if (aAnswer.m_content) {
    result["content"] = *aAnswer.m_content;
  }
  return result;
}

Json::Value
EncodeAnswer(const AnswerGossip& aAnswer)
{
  return EncodeRumour(aAnswer.m_message);
}

Json::Value
EncodeAnswer(const AnswerWithdrawal& aAnswer)
{
  Json::Value result(Json::objectValue);
  result["result"] = static_cast<int>(aAnswer.m_result);
  return result;
}

WithdrawalRequested
ParseWithdraw(const Json::Value& aParameters, CallId aCall)
{
  const auto attempt =
    ParseIdentifier<AttemptTag>(aParameters["attempt"].asString());
  if (!attempt) {
    throw Json::RuntimeError("attempt is malformed");
  }
  return { aCall,
           *attempt,
           Incarnation{ aParameters["incarnation"].asUInt64() } };
}

}
