#pragma once

#include <string>
#include <unordered_map>

#include "cr_core/cr_core.h"

namespace cr {

/** Work offered to a backend server, refused work included, as a share of what
    it can run: arrivals a second times their mean time in the server, over the
    number that may run at once (Little's law, 1961).

    Work that waits counts as if it were to be done within a short time, beside
    what arrives. Arrivals alone do not show a queue that stands:
    where requests make calls one after the other, those that wait make no
    further ones, and the arrivals settle at what the server can run. The queue
    alone swings, as it goes on rising after the load has stopped to. Not thread
    safe. */
class OfferedLoad
{
public:
  /** Time over which arrivals are averaged. */
  static constexpr Duration kWindow = Milliseconds(400);

  /** Time within which waiting work is to be done: what calls that follow one
      another may wait each, and their request still be in time. */
  static constexpr Duration kClearing = Milliseconds(120);

  /** Counts a call of the kind that arrives. */
  void CountArrival(const std::string& aKind, Instant aNow);

  /** Learns the time that a call of the kind spent in the server. */
  void LearnTime(const std::string& aKind, Duration aTime);

  //==========================================================================
  /** Returns the load; 1 is as much as the limit can run. aWaiting calls wait
      for the server. Precondition: aLimit is greater than 0. */
  double Load(std::uint32_t aLimit, std::size_t aWaiting, Instant aNow) const;

private:
  double Decayed(Instant aNow) const;

  /* Mean time in the server of all calls, in seconds. */
  double m_meanTime = 0;
  /* Mean time in the server by kind, in seconds. */
  std::unordered_map<std::string, double> m_times;
  /* Seconds of work that arrived, fading over the window. */
  double m_work = 0;
  Instant m_workAt;
};

}
