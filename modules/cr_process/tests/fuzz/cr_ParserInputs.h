#pragma once

#include <string>
#include <string_view>

#include "cr_configuration/cr_configuration.h"
#include "cr_process/wire/cr_GossipWire.h"
#include "cr_rpc/cr_rpc.h"
#include "cr_settings/cr_settings.h"
#include "cr_store/cr_store.h"

namespace cr {

/** Parses an arbitrary text and returns a description of the fault, or an empty
    string. A text that parses must survive writing and parsing again unchanged.
    Must not throw for any input. Thread safe. */
using ParserCheck = std::string (*)(std::string_view);

inline std::string
CheckNodeSettings(std::string_view aText)
{
  Findings findings;
  ParseNodeSettings("fuzz", aText, findings);
  for (const Finding& finding : findings) {
    if (finding.m_location.m_line < 1 || finding.m_location.m_column < 1) {
      return "a finding has no place";
    }
  }
  return {};
}

inline std::string
CheckServiceFile(std::string_view aText)
{
  Findings findings;
  const ServiceDescription service = ParseServiceFile("fuzz", aText, findings);
  if (findings.empty()) {
    BuildConfiguration(1, std::span(&service, 1), findings);
  }
  return {};
}

inline std::string
CheckStoreRequest(std::string_view aText)
{
  const auto request = DecodeStoreRequest(aText);
  if (!request) {
    return {};
  }
  const std::string text = EncodeStoreRequest(*request);
  const auto reparsed = DecodeStoreRequest(text);
  return reparsed && EncodeStoreRequest(*reparsed) == text ? "" : text;
}

inline std::string
CheckStoreAnswer(std::string_view aText)
{
  const StoreAnswer answer = DecodeStoreAnswer(aText);
  const std::string text = EncodeStoreAnswer(answer);
  return EncodeStoreAnswer(DecodeStoreAnswer(text)) == text ? "" : text;
}

inline std::string
CheckGossip(std::string_view aText)
{
  const auto value = ParseJson(aText);
  const auto message =
    value ? DecodeGossip(*value) : tl::unexpected(value.error());
  if (!message) {
    return {};
  }
  const std::string text = WriteJson(EncodeGossip(*message));
  const auto reparsed = DecodeGossip(*ParseJson(text));
  return reparsed && WriteJson(EncodeGossip(*reparsed)) == text ? "" : text;
}

inline std::string
CheckRpc(std::string_view aText)
{
  RpcServer server;
  server.Bind("rumour", [](const Json::Value& aParameters) {
    const auto message = DecodeGossip(aParameters);
    if (!message) {
      throw Json::RuntimeError(message.error().m_text);
    }
    return EncodeGossip(*message);
  });
  server.Answer(std::string(aText));
  DecodeRpcReply(std::string(aText));
  return {};
}

inline std::string
CheckPublicationRows(std::string_view aText)
{
  static_cast<void>(DecodeHead(aText));
  static_cast<void>(DecodeManifest(aText));
  static_cast<void>(DecodeRecord(aText));
  return {};
}

}
