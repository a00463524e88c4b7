#pragma once

#include <memory>

#include "cr_transport/cr_transport.h"

namespace cr {

/** Passes TCP connections on to one endpoint. Freeze() silences the connections
    of the moment for good: bytes vanish, nothing is closed; new connections
   work. All methods are thread safe. */
class FreezingRelay
{
public:
  /** The threads must outlive the relay. */
  FreezingRelay(IoThreads& aThreads, Endpoint aTarget);
  /** Closes everything. */
  ~FreezingRelay();
  FreezingRelay(const FreezingRelay&) = delete;
  FreezingRelay& operator=(const FreezingRelay&) = delete;

  //==========================================================================
  /** Starts to listen. Port 0 takes a free one. */
  Expected<Endpoint> Listen(const Endpoint& aEndpoint);

  /** Silences the connections that are open now. */
  void Freeze();

  //==========================================================================
  /** Returns the number of connections accepted so far. */
  std::size_t Accepted() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
