#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "cr_settings/cr_settings.h"
#include "crowd_stand_in/crowd/cr_CrowdClient.h"

namespace cr {

/** What the clients of a crowd have done so far. */
struct CrowdProgress
{
  /** Connections that were opened. */
  std::size_t m_opened = 0;
  /** Clients that could not connect, or whose connection ended. */
  std::size_t m_ended = 0;
  /** Clients that sent all of their bytes. */
  std::size_t m_sent = 0;
  /** Bytes of all clients. */
  std::uint64_t m_sentBytes = 0;
  std::uint64_t m_readBytes = 0;
};

/** Clients on connections of their own to one endpoint, run by one thread. A
    client whose connection ends does not connect again. All methods are thread
    safe. */
class Crowd
{
public:
  explicit Crowd(const Endpoint& aEndpoint);
  /** Closes all connections. */
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  //==========================================================================
  /** Connects clients of the kind, one each interval or all at once; without
      effect after Leave(). */
  void Add(const CrowdClient& aClient,
           std::size_t aCount,
           Duration aInterval = Duration::zero());

  /** Closes all connections and ends the thread. */
  void Leave();

  //==========================================================================
  /** Returns what the clients have done so far. */
  CrowdProgress Progress() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
