#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "cr_configuration/cr_configuration.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Idempotency keys that ran, shared by servers. */
using RunKeys = Guarded<std::set<std::string, std::less<>>>;
using RunKeysPointer = std::shared_ptr<RunKeys>;

/** What a stand-in server is. */
struct BackendServerPlan
{
  ServiceDescription m_service;
  /** Caller port of the node on the same host. */
  Endpoint m_node;
  Endpoint m_listen;
  std::uint32_t m_slots = 1;
  /** Time that a call holds a slot before its own calls are made. */
  Duration m_serviceTime = Milliseconds(5);
  std::uint64_t m_instance = 1;
  /** Keys of non-idempotent operations that ran. Servers that share it find a
      second run on another server too; without one, each keeps its own. */
  RunKeysPointer m_runKeys;
};

/** How a stand-in server misbehaves. */
struct BackendServerFaults
{
  /** Added to the service time. */
  Duration m_extraTime = Duration::zero();
  /** A request whose body contains "crash" ends the server. */
  bool m_crashes = false;
  /** The load endpoint always says that nothing runs. */
  bool m_lies = false;
};

/** What a stand-in server did. */
struct BackendServerRecord
{
  std::uint64_t m_runs = 0;
  /** Runs beyond the first for the same idempotency key. */
  std::uint64_t m_doubleRuns = 0;
  std::uint64_t m_cancelled = 0;
  /** Time that slots were held, in all. */
  Duration m_busy = Duration::zero();
};

/** A backend server in the process of a test or an experiment. All methods are
    thread safe. */
class BackendServer
{
public:
  /** The threads must outlive the server. */
  BackendServer(IoThreads& aThreads, BackendServerPlan aPlan);
  /** Closes everything at once. */
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  //==========================================================================
  /** Starts to listen and to announce itself every second. */
  Expected<Endpoint> Start();

  /** Announces that the server is leaving; calls in progress go on. */
  void Leave();

  /** Ends the server as a crash would: connections close, nothing is said. */
  void Crash();

  /** Replaces the faults. */
  void SetFaults(const BackendServerFaults& aFaults);

  //==========================================================================
  /** Returns what the server did so far. */
  BackendServerRecord Record() const;

  /** Returns whether the server crashed. */
  bool HasCrashed() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
