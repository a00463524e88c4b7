#include "cr_process/wire/cr_RumourWire.h"

namespace cr {

namespace {

constexpr std::size_t kGreatestRows = 2000;
constexpr std::size_t kGreatestSuspects = 256;

Json::Value
Encode(const Suspect& aSuspect)
{
  Json::Value value(Json::objectValue);
  value["request"] = ToText(aSuspect.m_request);
  value["deaths"] = aSuspect.m_deaths;
  value["remaining_ms"] = Json::Int64(ToMilliseconds(aSuspect.m_remaining));
  return value;
}

Expected<Suspect>
DecodeSuspect(const Json::Value& aValue)
{
  const auto request =
    ParseIdentifier<RequestTag>(aValue["request"].asString());
  if (!request) {
    return Failure(ErrorCode::Malformed, "a suspect's request is malformed");
  }
  return Suspect{ *request,
                  aValue["deaths"].asUInt(),
                  Milliseconds(aValue["remaining_ms"].asInt64()) };
}

Expected<Rumour>
DecodeRumourValue(const Json::Value& aValue)
{
  if (aValue["rows"].size() > kGreatestRows ||
      aValue["suspects"].size() > kGreatestSuspects) {
    return Failure(ErrorCode::LimitReached, "the rumour is too long");
  }
  const auto sender = DecodeNodeRow(aValue["sender"].asString());
  if (!sender) {
    return tl::unexpected(sender.error());
  }
  Rumour rumour;
  rumour.m_sender = *sender;
  for (const Json::Value& row : aValue["rows"]) {
    const auto decoded = DecodeNodeRow(row.asString());
    if (!decoded) {
      return tl::unexpected(decoded.error());
    }
    rumour.m_rows.push_back(*decoded);
  }
  for (const Json::Value& suspect : aValue["suspects"]) {
    const auto decoded = DecodeSuspect(suspect);
    if (!decoded) {
      return tl::unexpected(decoded.error());
    }
    rumour.m_suspects.push_back(*decoded);
  }
  rumour.m_generation = aValue["generation"].asUInt64();
  rumour.m_wantsAll = aValue["wants_all"].asBool();
  return rumour;
}

}

Json::Value
EncodeRumour(const Rumour& aRumour)
{
  Json::Value value(Json::objectValue);
  value["sender"] = EncodeNodeRow(aRumour.m_sender);
  value["rows"] = Json::Value(Json::arrayValue);
  for (const NodeRow& row : aRumour.m_rows) {
    value["rows"].append(EncodeNodeRow(row));
  }
  value["suspects"] = Json::Value(Json::arrayValue);
  for (const Suspect& suspect : aRumour.m_suspects) {
    value["suspects"].append(Encode(suspect));
  }
  value["generation"] = Json::UInt64(aRumour.m_generation);
  value["wants_all"] = aRumour.m_wantsAll;
  return value;
}

Expected<Rumour>
DecodeRumour(const Json::Value& aValue)
{
  try {
    return DecodeRumourValue(aValue);
  } catch (const Json::Exception& exception) {
    return Failure(ErrorCode::Malformed, exception.what());
  }
}

Json::Value
EncodeAnswer(const AnswerRumour& aAnswer)
{
  return EncodeRumour(aAnswer.m_rumour);
}

Json::Value
EncodeAnswer(const AnswerWithdraw& aAnswer)
{
  Json::Value result(Json::objectValue);
  result["result"] = static_cast<int>(aAnswer.m_result);
  return result;
}

WithdrawAsked
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
