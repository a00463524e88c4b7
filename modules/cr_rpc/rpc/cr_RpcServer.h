#pragma once

#include <functional>
#include <memory>
#include <string>

#include <json/json.h>

namespace cr {

/** Handles the call of one method: named parameters in, an object out. It may
    throw Json::Exception for parameters of the wrong type. */
using RpcMethod = std::function<Json::Value(const Json::Value&)>;

/** Answers JSON-RPC 2.0 requests.

    Bind all methods first; then Answer() is thread safe if the methods are. */
class RpcServer
{
public:
  RpcServer();
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /** Adds a method. Precondition: its name is not bound yet. */
  void Bind(const std::string& aName, RpcMethod aMethod);

  /** Returns the text that answers the request; every fault of the request
      becomes an error of the protocol. */
  std::string Answer(const std::string& aRequest) const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
