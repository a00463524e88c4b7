#pragma once

#include <memory>

#include "cr_transport/cr_transport.h"

namespace cr {

/** Relays TCP connections to one endpoint. Freeze() permanently stops the open
    connections without closing them: their bytes are discarded. Connections
    opened later work. All methods are thread safe. */
class FreezingRelay
{
public:
  /** The threads must outlive the relay. */
  FreezingRelay(IoThreads& aThreads, Endpoint aTarget);
  /** Stops accepting connections. */
  ~FreezingRelay();
  FreezingRelay(const FreezingRelay&) = delete;
  FreezingRelay& operator=(const FreezingRelay&) = delete;

  //==========================================================================
  /** Starts listening and returns the endpoint; port 0 selects a free port. */
  Expected<Endpoint> Listen(const Endpoint& aEndpoint);

  /** Discards all further bytes of the connections that are open now. */
  void Freeze();

  //==========================================================================
  /** Returns the number of connections accepted so far. */
  std::size_t AcceptedConnections() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
