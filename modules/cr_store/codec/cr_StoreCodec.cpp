#include "cr_store/codec/cr_StoreCodec.h"

#include "cr_settings/cr_settings.h"

namespace cr {

namespace {

Json::Value
Encode(const RowKey& aRow)
{
  Json::Value value(Json::objectValue);
  value["table"] = aRow.m_table;
  value["key"] = aRow.m_key;
  return value;
}

RowKey
DecodeRowKey(const Json::Value& aValue)
{
  return { aValue["table"].asString(), aValue["key"].asString() };
}

Json::Value
Encode(const RowCondition& aCondition)
{
  Json::Value value = Encode(aCondition.m_row);
  value["version"] = Json::UInt64(aCondition.m_version);
  return value;
}

RowCondition
DecodeCondition(const Json::Value& aValue)
{
  return { DecodeRowKey(aValue), aValue["version"].asUInt64() };
}

Json::Value
Encode(const Row& aRow)
{
  Json::Value value(Json::objectValue);
  value["key"] = aRow.m_key;
  value["value"] = aRow.m_value;
  value["version"] = Json::UInt64(aRow.m_version);
  return value;
}

Row
DecodeRow(const Json::Value& aValue)
{
  return { aValue["key"].asString(),
           aValue["value"].asString(),
           aValue["version"].asUInt64() };
}

Json::Value
Encode(const RowChange& aChange)
{
  Json::Value value = Encode(aChange.m_row);
  value["removed"] = aChange.m_isRemoved;
  return value;
}

RowChange
DecodeChange(const Json::Value& aValue)
{
  return { DecodeRow(aValue), aValue["removed"].asBool() };
}

Json::Value
Encode(const RowWrite& aWrite)
{
  Json::Value value = Encode(aWrite.m_row);
  if (aWrite.m_value) {
    value["value"] = *aWrite.m_value;
  }
  return value;
}

RowWrite
DecodeWrite(const Json::Value& aValue)
{
  RowWrite write{ DecodeRowKey(aValue), std::nullopt };
  if (aValue.isMember("value")) {
    write.m_value = aValue["value"].asString();
  }
  return write;
}

template<typename Items>
Json::Value
EncodeList(const Items& aItems)
{
  Json::Value list(Json::arrayValue);
  for (const auto& item : aItems) {
    list.append(Encode(item));
  }
  return list;
}

template<typename Decode>
auto
DecodeList(const Json::Value& aList, Decode aDecode)
{
  std::vector<decltype(aDecode(aList))> items;
  for (const Json::Value& value : aList) {
    items.push_back(aDecode(value));
  }
  return items;
}

struct RequestEncoder
{
  Json::Value& m_value;

  void operator()(const TransactRequest& aRequest) const
  {
    m_value["kind"] = "transact";
    m_value["conditions"] = EncodeList(aRequest.m_conditions);
    m_value["writes"] = EncodeList(aRequest.m_writes);
  }
  void operator()(const ScanRequest& aRequest) const
  {
    m_value["kind"] = "scan";
    m_value["table"] = aRequest.m_table;
    m_value["after"] = aRequest.m_after;
    m_value["limit"] = aRequest.m_limit;
    m_value["prefix"] = aRequest.m_prefix;
  }
  void operator()(const ReadRequest& aRequest) const
  {
    m_value = Encode(aRequest.m_row);
    m_value["kind"] = "read";
  }
  void operator()(const PutObjectRequest& aRequest) const
  {
    m_value["kind"] = "put";
    m_value["name"] = aRequest.m_name;
    m_value["content"] = aRequest.m_content;
  }
  void operator()(const GetObjectRequest& aRequest) const
  {
    m_value["kind"] = "get";
    m_value["name"] = aRequest.m_name;
  }
  void operator()(const WatchRequest& aRequest) const
  {
    m_value["kind"] = "watch";
    m_value["table"] = aRequest.m_table;
    m_value["after"] = Json::UInt64(aRequest.m_after);
    m_value["wait_us"] = Json::Int64(aRequest.m_wait.count());
  }
};

struct AnswerEncoder
{
  Json::Value& m_value;

  void operator()(const Committed& /*aAnswer*/) const
  {
    m_value["kind"] = "committed";
  }
  void operator()(const ConditionFailed& aAnswer) const
  {
    m_value["kind"] = "condition-failed";
    m_value["found"] = EncodeList(aAnswer.m_found);
  }
  void operator()(const RowPage& aAnswer) const
  {
    m_value["kind"] = "page";
    m_value["rows"] = EncodeList(aAnswer.m_rows);
    m_value["more"] = aAnswer.m_more;
    m_value["version"] = Json::UInt64(aAnswer.m_version);
  }
  void operator()(const RowFound& aAnswer) const
  {
    m_value["kind"] = "row";
    if (aAnswer.m_row) {
      m_value["row"] = Encode(*aAnswer.m_row);
    }
  }
  void operator()(const ObjectFound& aAnswer) const
  {
    m_value["kind"] = "object";
    if (aAnswer.m_content) {
      m_value["content"] = *aAnswer.m_content;
    }
  }
  void operator()(const RowChanges& aAnswer) const
  {
    m_value["kind"] = "changes";
    m_value["changes"] = EncodeList(aAnswer.m_changes);
    m_value["version"] = Json::UInt64(aAnswer.m_version);
  }
  void operator()(const HistoryLost& /*aAnswer*/) const
  {
    m_value["kind"] = "history-lost";
  }
  void operator()(const StoreRefused& aAnswer) const
  {
    m_value["kind"] = "refused";
    m_value["text"] = aAnswer.m_text;
  }
  void operator()(const StoreFailed& aAnswer) const
  {
    m_value["kind"] = "failed";
    m_value["text"] = aAnswer.m_text;
  }
};

Expected<StoreRequest>
DecodeRequestValue(const Json::Value& aValue)
{
  const std::string kind = aValue["kind"].asString();
  if (kind == "transact") {
    return TransactRequest{ DecodeList(aValue["conditions"], DecodeCondition),
                            DecodeList(aValue["writes"], DecodeWrite) };
  }
  if (kind == "scan") {
    return ScanRequest{ aValue["table"].asString(),
                        aValue["after"].asString(),
                        aValue["limit"].asUInt(),
                        aValue["prefix"].asString() };
  }
  if (kind == "read") {
    return ReadRequest{ DecodeRowKey(aValue) };
  }
  if (kind == "put") {
    return PutObjectRequest{ aValue["name"].asString(),
                             aValue["content"].asString() };
  }
  if (kind == "get") {
    return GetObjectRequest{ aValue["name"].asString() };
  }
  if (kind == "watch") {
    return WatchRequest{ aValue["table"].asString(),
                         aValue["after"].asUInt64(),
                         Duration(aValue["wait_us"].asInt64()) };
  }
  return Failure(ErrorCode::Malformed, "unknown kind of store request");
}

StoreAnswer
DecodeAnswerValue(const Json::Value& aValue)
{
  const std::string kind = aValue["kind"].asString();
  if (kind == "committed") {
    return Committed{};
  }
  if (kind == "condition-failed") {
    return ConditionFailed{ DecodeList(aValue["found"], DecodeCondition) };
  }
  if (kind == "page") {
    return RowPage{ DecodeList(aValue["rows"], DecodeRow),
                    aValue["more"].asBool(),
                    aValue["version"].asUInt64() };
  }
  if (kind == "row") {
    return aValue.isMember("row") ? RowFound{ DecodeRow(aValue["row"]) }
                                  : RowFound{};
  }
  if (kind == "object") {
    return aValue.isMember("content")
             ? ObjectFound{ aValue["content"].asString() }
             : ObjectFound{};
  }
  if (kind == "changes") {
    return RowChanges{ DecodeList(aValue["changes"], DecodeChange),
                       aValue["version"].asUInt64() };
  }
  if (kind == "history-lost") {
    return HistoryLost{};
  }
  if (kind == "refused") {
    return StoreRefused{ aValue["text"].asString() };
  }
  return StoreFailed{ aValue["text"].asString() };
}

}

std::string
EncodeStoreRequest(const StoreRequest& aRequest)
{
  Json::Value value(Json::objectValue);
  std::visit(RequestEncoder{ value }, aRequest);
  return WriteJson(value);
}

Expected<StoreRequest>
DecodeStoreRequest(std::string_view aText)
{
  return DecodeJsonText(aText, DecodeRequestValue);
}

std::string
EncodeStoreAnswer(const StoreAnswer& aAnswer)
{
  Json::Value value(Json::objectValue);
  std::visit(AnswerEncoder{ value }, aAnswer);
  return WriteJson(value);
}

StoreAnswer
DecodeStoreAnswer(std::string_view aText)
{
  auto answer = DecodeJsonText(aText, DecodeAnswerValue);
  return answer ? std::move(*answer) : StoreFailed{ answer.error().m_text };
}

}
