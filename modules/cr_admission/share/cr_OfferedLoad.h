#pragma once

#include <string>
#include <unordered_map>

#include "cr_admission/share/cr_DecayingSum.h"

namespace cr {

/** Load offered to a backend server, refused calls included, relative to its
    capacity: arrivals per second times their mean time in the server, divided
    by the number of calls that may run at once (Little's law, 1961).

    Waiting calls are added as work that must be completed within kDrainTime.
    Arrivals alone do not show a standing queue: where requests make their calls
    in sequence, waiting requests make no further calls, and the arrival rate
    levels off at the server's capacity. Queue length alone oscillates, because
    it keeps growing after the load has stopped rising. Not thread safe. */
class OfferedLoad
{
public:
  /** Time over which arrivals are averaged. */
  static constexpr Duration kWindow = Milliseconds(400);

  /** Time within which waiting work must be completed: the time that each call
      of a sequence may wait while the whole request still meets its
      objective. */
  static constexpr Duration kDrainTime = Milliseconds(120);

  /** Counts the arrival of a call of the kind. */
  void CountArrival(const std::string& aKind, Instant aNow);

  /** Records the time that a call of the kind spent in the server. */
  void RecordTime(const std::string& aKind, Duration aTime);

  //==========================================================================
  /** Returns the load; 1 is the server's capacity. aWaiting calls wait for the
      server. Precondition: aLimit is greater than 0. */
  double Load(std::uint32_t aLimit, std::size_t aWaiting, Instant aNow) const;

  /** Returns the mean time in the server of a call of the kind; zero if none
     was recorded. */
  Duration MeanTime(const std::string& aKind) const;

private:
  /* Mean time in the server of all calls, in seconds. */
  double m_meanTime = 0;
  /* Mean time in the server by kind, in seconds. */
  std::unordered_map<std::string, double> m_times;
  /* Seconds of work that arrived. */
  DecayingSum m_work{ kWindow };
};

}
