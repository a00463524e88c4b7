#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "cr_configuration/cr_configuration.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Idempotency keys, each joined with its operation, of the calls that ran. May
    be shared by several servers. */
using RunKeys = Guarded<std::set<std::string, std::less<>>>;
using RunKeysPointer = std::shared_ptr<RunKeys>;

/** Configuration of a simulated backend server. */
struct BackendServerOptions
{
  ServiceDescription m_service;
  /** Caller port of the node on the same host. */
  Endpoint m_node;
  Endpoint m_listen;
  std::uint32_t m_slots = 1;
  /** Time that a call occupies a slot before its first child call is sent. */
  Duration m_serviceTime = Milliseconds(5);
  std::uint64_t m_instance = 1;
  /** Keys of non-idempotent operations that ran. Servers that share the set
      also detect duplicate runs on different servers. If null, the server
      creates a set of its own. */
  RunKeysPointer m_runKeys;
};

/** Faults that a simulated backend server injects. */
struct BackendServerFaults
{
  /** Added to the service time. */
  Duration m_extraTime = Duration::zero();
  /** A request whose body contains "crash" crashes the server. */
  bool m_crashes = false;
  /** The load endpoint always reports that no call is running. */
  bool m_reportsIdle = false;
};

/** Counters of a simulated backend server. */
struct BackendServerCounters
{
  std::uint64_t m_runs = 0;
  /** Runs beyond the first for the same idempotency key. */
  std::uint64_t m_duplicateRuns = 0;
  std::uint64_t m_cancelled = 0;
  /** Total time that slots were occupied. */
  Duration m_busy = Duration::zero();
};

/** A backend server that runs in the process of a test or an experiment. All
    methods are thread safe. */
class BackendServer
{
public:
  /** The threads must outlive the server. */
  BackendServer(IoThreads& aThreads, BackendServerOptions aOptions);
  /** Closes all connections immediately, as Crash() does. */
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  //==========================================================================
  /** Starts listening, announces the server to its node every second, and
      returns the endpoint. */
  Expected<Endpoint> Start();

  /** Announces that the server is leaving; running calls continue. */
  void Leave();

  /** Simulates a crash: closes all connections without an announcement. */
  void Crash();

  /** Replaces the faults. */
  void SetFaults(const BackendServerFaults& aFaults);

  //==========================================================================
  /** Returns the current counters. */
  BackendServerCounters Counters() const;

  /** Returns whether the server crashed. */
  bool HasCrashed() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
