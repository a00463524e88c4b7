#pragma once

#include <memory>

#include "cr_store/cr_store.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Faults that the platform server injects. */
struct PlatformFaults
{
  /** Requests are neither executed nor answered. */
  bool m_down = false;
  /** Requests are refused immediately and not executed. */
  bool m_refuses = false;
  /** Delay before each request is executed. */
  Duration m_delay = Duration::zero();
  /** Every n-th answer is lost after the request took effect; 0 loses none. */
  std::uint32_t m_loseEvery = 0;
};

/** Number of requests that the platform received. */
struct PlatformLoad
{
  std::uint64_t m_writes = 0;
  std::uint64_t m_reads = 0;
};

/** The in-process platform behind HTTP. `POST /store` carries store requests,
    `POST /faults` replaces the faults. A watch is answered at the first change,
    or without changes when its wait time ends. All methods are thread safe. */
class PlatformServer
{
public:
  /** The threads must outlive the server. */
  explicit PlatformServer(IoThreads& aThreads);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  //==========================================================================
  /** Starts listening and returns the endpoint; port 0 selects a free port. */
  Expected<Endpoint> Listen(const Endpoint& aEndpoint);

  /** Replaces the faults. */
  void SetFaults(const PlatformFaults& aFaults);

  /** Executes a request directly, without HTTP and without the faults. */
  StoreAnswer Execute(const StoreRequest& aRequest);

  /** Discards the change history of the rows up to now. */
  void Compact();

  /** Keeps a copy of the rows for Restore(). */
  void Save();

  /** Loses what was written after Save() and starts a new era. */
  void Restore();

  //==========================================================================
  /** Returns the requests counted so far. */
  PlatformLoad Load() const;

private:
  struct State;
  std::shared_ptr<State> m_state;
  HttpServer m_server;
};

}
