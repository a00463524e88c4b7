#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "cr_suspects/key/cr_RequestKey.h"

namespace cr {

/** Decides whether connections to a backend server broke because the server
    crashed.

    One broken connection is no crash: servers break off some answers, and
    devices on the path some connections. A crash breaks the connections of all
    requests that the server runs, and none can be opened afterwards. Not thread
    safe. */
class CrashDetector
{
public:
  enum class Verdict
  {
    /** No connection has broken, or there is too little evidence yet. */
    Undecided,
    Crashed,
    Alive
  };

  /** A request that the server was given. */
  struct Run
  {
    CallId m_call{};
    RequestKey m_key;
  };

  /** Max time from the first broken connection to the verdict. */
  static constexpr Duration kDecisionTime = Milliseconds(50);

  //==========================================================================
  /** The request is sent to the server. */
  void Begin(const Run& aRun, Instant aNow);

  /** The request ended with an answer of the server. */
  void Answer(CallId aCall);

  /** The request ended without an answer, but its connection did not break. */
  void End(CallId aCall);

  /** The request's connection broke. */
  void Break(CallId aCall, Instant aNow);

  /** The server's address accepted no connection. */
  void OnUnreachable();

  /** The server answered a request that was sent after the first connection
      broke. */
  void OnAlive();

  /** Returns the requests whose connections broke, and forgets them: the
      verdict on them has been used. */
  std::vector<Run> TakeBroken();

  //==========================================================================
  /** Returns the verdict on the connections that broke. */
  Verdict Decide(Instant aNow) const;

  /** Returns whether connections broke on which there is no verdict yet. */
  bool HasBroken() const { return !m_broken.empty(); }

  /** Returns the time at which the verdict is due at the latest. */
  std::optional<Instant> DecideBy() const;

private:
  struct RunningEntry
  {
    RequestKey m_key;
    Instant m_begun;
  };

  bool HasOlderRun() const;

  std::unordered_map<CallId, RunningEntry> m_running;
  std::vector<Run> m_broken;
  Instant m_firstBroken;
  bool m_isUnreachable = false;
  bool m_isAlive = false;
};

}
