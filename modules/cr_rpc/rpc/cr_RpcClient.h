#pragma once

#include <string>

#include <json/json.h>

namespace cr {

/** Result of a remote method, or the error text. */
struct RpcReply
{
  bool m_ok = false;
  Json::Value m_result;
  std::string m_error;
};

/** Returns the text of a JSON-RPC 2.0 request. Thread safe. */
std::string
EncodeRpcCall(const std::string& aMethod, const Json::Value& aParameters);

/** Parses the text of a JSON-RPC 2.0 response. Thread safe. */
RpcReply
DecodeRpcReply(const std::string& aText);

}
