#include "cr_process/wire/cr_GossipWire.h"

namespace cr {

namespace {

constexpr std::size_t kMaxRows = 4096;
constexpr std::size_t kMaxSuspects = 256;
constexpr std::size_t kMaxObjectNameBytes = 64;

/* Gossip messages are most of the control traffic: keys have one letter, and
   empty members are omitted. */
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
  value.append(ToText(aSuspect.m_key));
  value.append(aSuspect.m_crashes);
  value.append(Json::Int64(ToMilliseconds(aSuspect.m_remaining)));
  value.append(aSuspect.m_cleared);
  return value;
}

Expected<Suspect>
DecodeSuspect(const Json::Value& aValue)
{
  const auto request = ParseIdentifier<RequestKeyTag>(aValue[0U].asString());
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
DecodeNumbers(const Json::Value& aList, std::uint32_t aMax)
{
  std::vector<std::uint32_t> numbers;
  if (aList.size() > kBucketCount) {
    return Failure(ErrorCode::LimitReached, "the rumour has too many buckets");
  }
  for (const Json::Value& value : aList) {
    numbers.push_back(value.asUInt());
    if (numbers.back() > aMax) {
      return Failure(ErrorCode::Malformed, "no such bucket");
    }
  }
  return numbers;
}

Expected<void>
DecodeRows(const Json::Value& aValue, GossipMessage& aMessage)
{
  const auto sender = ParseNodeRow(aValue[kSender]);
  if (!sender) {
    return tl::unexpected(sender.error());
  }
  aMessage.m_sender = *sender;
  for (const Json::Value& row : aValue[kRows]) {
    const auto decoded = ParseNodeRow(row);
    if (!decoded) {
      return tl::unexpected(decoded.error());
    }
    aMessage.m_rows.push_back(*decoded);
  }
  return {};
}

Expected<GossipMessage>
DecodeGossipValue(const Json::Value& aValue)
{
  if (aValue[kRows].size() > kMaxRows ||
      aValue[kSuspects].size() > kMaxSuspects) {
    return Failure(ErrorCode::LimitReached, "the rumour is too long");
  }
  GossipMessage message;
  if (const auto rows = DecodeRows(aValue, message); !rows) {
    return tl::unexpected(rows.error());
  }
  for (const Json::Value& suspect : aValue[kSuspects]) {
    const auto decoded = DecodeSuspect(suspect);
    if (!decoded) {
      return tl::unexpected(decoded.error());
    }
    message.m_suspects.push_back(*decoded);
  }
  const auto buckets = DecodeNumbers(aValue[kBuckets], UINT32_MAX);
  const auto wanted = DecodeNumbers(aValue[kWanted], kBucketCount - 1);
  if (!buckets || !wanted) {
    return tl::unexpected(buckets ? wanted.error() : buckets.error());
  }
  message.m_bucketDigests = *buckets;
  message.m_requestedBuckets = *wanted;
  message.m_generation = aValue[kGeneration].asUInt64();
  message.m_digest = aValue[kDigest].asUInt();
  message.m_requestsAllRows = aValue[kWantsAll].asBool();
  return message;
}

}

Json::Value
EncodeGossip(const GossipMessage& aMessage)
{
  Json::Value value(Json::objectValue);
  value[kSender] = ToJson(aMessage.m_sender);
  value[kGeneration] = Json::UInt64(aMessage.m_generation);
  value[kDigest] = aMessage.m_digest;
  for (const NodeRow& row : aMessage.m_rows) {
    value[kRows].append(ToJson(row));
  }
  for (const Suspect& suspect : aMessage.m_suspects) {
    value[kSuspects].append(Encode(suspect));
  }
  if (!aMessage.m_bucketDigests.empty()) {
    value[kBuckets] = EncodeNumbers(aMessage.m_bucketDigests);
  }
  if (!aMessage.m_requestedBuckets.empty()) {
    value[kWanted] = EncodeNumbers(aMessage.m_requestedBuckets);
  }
  if (aMessage.m_requestsAllRows) {
    value[kWantsAll] = true;
  }
  return value;
}

Expected<GossipMessage>
DecodeGossip(const Json::Value& aValue)
{
  if (!aValue.isObject()) {
    return Failure(ErrorCode::Malformed, "a rumour is an object");
  }
  return DecodeJson(aValue, DecodeGossipValue);
}

Json::Value
EncodeObjectRequest(const std::string& aName)
{
  Json::Value value(Json::objectValue);
  value["name"] = aName;
  return value;
}

ObjectRequested
ParseObjectRequest(const Json::Value& aParameters, CallId aCall)
{
  std::string name = aParameters["name"].asString();
  if (name.empty() || name.size() > kMaxObjectNameBytes) {
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
  return EncodeGossip(aAnswer.m_message);
}

Json::Value
EncodeAnswer(const AnswerWithdrawal& aAnswer)
{
  Json::Value result(Json::objectValue);
  result["result"] = static_cast<int>(aAnswer.m_result);
  return result;
}

WithdrawalRequested
ParseWithdrawal(const Json::Value& aParameters, CallId aCall)
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
