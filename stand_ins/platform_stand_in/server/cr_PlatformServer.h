#pragma once

#include <memory>

#include "cr_store/cr_store.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Faults of the platform. */
struct PlatformFaults
{
  /** Requests are not carried out and get no answer. */
  bool m_down = false;
  /** Requests are refused at once; nothing is done. */
  bool m_refuses = false;
  /** Time added before each request is carried out. */
  Duration m_delay = Duration::zero();
  /** Writes take effect, but every n-th answer is lost; 0 loses none. */
  std::uint32_t m_loseEvery = 0;
};

/** Requests that the platform got. */
struct PlatformLoad
{
  std::uint64_t m_writes = 0;
  std::uint64_t m_reads = 0;
};

/** The in-process platform behind HTTP. `POST /store` carries store requests,
    `POST /faults` sets faults. A watch without changes is answered when there
   is one, or when its time is over. All methods are thread safe. */
class PlatformServer
{
public:
  /** The threads must outlive the server. */
  explicit PlatformServer(IoThreads& aThreads);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  //==========================================================================
  /** Starts to listen; port 0 takes a free one. */
  Expected<Endpoint> Listen(const Endpoint& aEndpoint);

  /** Replaces the faults. */
  void SetFaults(const PlatformFaults& aFaults);

  /** Carries out a request as if it had come over the network. */
  StoreAnswer Execute(const StoreRequest& aRequest);

  /** Forgets which rows changed up to now. */
  void Compact();

  //==========================================================================
  /** Returns the requests counted so far. */
  PlatformLoad Load() const;

private:
  struct State;
  std::shared_ptr<State> m_state;
  HttpServer m_server;
};

}
