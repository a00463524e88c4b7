#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cr_settings/cr_settings.h"

namespace cr {

/** What a scripted server does with the connection after an answer. */
enum class ConnectionEnding
{
  /** Serves the next request. */
  Keep,
  /** Ends its direction in order, and reads on until the client closes. */
  Finish,
  /** Resets the connection. */
  Reset,
  /** Ends its direction in order, then resets the connection. */
  FinishThenReset
};

/** A request as a scripted server received it. */
struct ScriptedRequest
{
  /** Request line and header, with the empty line. */
  std::string m_head;
  /** The part of the body that was read. */
  std::string m_body;
  /** Number of earlier requests on the connection. */
  std::size_t m_earlier = 0;
  /** Number of the connection; the first one that the server accepts is 1. */
  std::size_t m_connection = 0;
};

/** Returns the value of the field with exactly the name in a request's head;
    empty when there is none. Thread safe. */
std::string_view
FindField(const ScriptedRequest& aRequest, std::string_view aName);

/** The bytes that answer a request. */
struct ScriptedAnswer
{
  std::string m_bytes;
  ConnectionEnding m_ending = ConnectionEnding::Keep;
  /** Time between the bytes and the ending. */
  Duration m_pause = Duration::zero();
  /** Max bytes in one write; 0 for no limit. */
  std::size_t m_pieceBytes = 0;
};

/** Returns the answer to a request. Called on several threads. */
using ScriptedHandler = std::function<ScriptedAnswer(const ScriptedRequest&)>;

/** Settings of a scripted server. */
struct ScriptedServerSettings
{
  Endpoint m_endpoint{ "127.0.0.1", 0 };
  /** Bytes at the end of each request's body that are not read before the
      answer. */
  std::size_t m_unreadBytes = 0;
};

/** A server that answers each request with given bytes, on a thread for each
    connection. Requests have a length. All methods are thread safe. */
class ScriptedServer
{
public:
  /** Listens on the endpoint; throws when that fails. */
  explicit ScriptedServer(ScriptedHandler aHandler,
                          ScriptedServerSettings aSettings = {});
  /** Answers the requests of each connection with the texts in turn; the
      connection ends after the last one. */
  explicit ScriptedServer(std::vector<std::string> aTexts,
                          ConnectionEnding aEnding = ConnectionEnding::Finish,
                          ScriptedServerSettings aSettings = {});
  /** Closes all connections. */
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  //==========================================================================
  /** Returns the endpoint that the server listens on. */
  Endpoint Address() const;

  /** Returns the number of connections accepted so far. */
  std::size_t Connections() const;

  /** Returns the number of answers so far; one counts when its connection was
      kept or ended as the handler asked. */
  std::size_t Answers() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
