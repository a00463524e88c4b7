#pragma once

#include <functional>
#include <memory>
#include <string>

#include <json/json.h>

namespace cr {

/** Handler of one method: takes named parameters and returns an object. It may
    throw Json::Exception for parameters of the wrong type. */
using RpcMethod = std::function<Json::Value(const Json::Value&)>;

/** Answers JSON-RPC 2.0 requests.

    Answer() is thread safe after all methods are bound, if the methods are. */
class RpcServer
{
public:
  RpcServer();
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /** Adds a method. Precondition: its name is not bound yet. */
  void Bind(const std::string& aName, RpcMethod aMethod);

  /** Returns the text of the response; an invalid request yields a JSON-RPC
      error response. */
  std::string Answer(const std::string& aRequest) const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
