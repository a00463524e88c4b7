#pragma once

#include <array>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "cr_Scenario.h"
#include "cr_metrics/cr_metrics.h"

namespace cr {

/** Final state of a customer request. */
enum class RequestEnd : std::uint8_t
{
  /** The expected answer arrived within the caller timeout. */
  Completed,
  NotRun,
  Unknown,
  /** The answer was incomplete, malformed or belonged to another request. */
  Wrong,
  /** The server answered with an error status. */
  Failed,
  /** The last attempt got no answer. */
  NoAnswer
};

/** Number of RequestEnd values. */
inline constexpr std::size_t kRequestEndCount = 6;

/** Returns the name used in results. Thread safe. */
std::string_view
ToText(RequestEnd aEnd);

/** Length of one interval of the time series. */
inline constexpr Duration kSliceLength = Milliseconds(100);

/** Counts of one interval (slice) of an operation's time series. */
struct LoadSlice
{
  /** Requests that arrived in the slice. */
  std::uint64_t m_arrived = 0;
  /** Requests that arrived in the slice and completed at any time. */
  std::uint64_t m_arrivedCompleted = 0;
  /** Requests that completed in the slice. */
  std::uint64_t m_completed = 0;
};

/** Results of the requests of one operation. */
struct StreamResult
{
  std::array<std::uint64_t, kRequestEndCount> m_ends{};
  std::uint64_t m_attempts = 0;
  /** Latency of completed requests, from arrival to answer. */
  LatencyHistogram m_latency{ 100 };
  std::vector<LoadSlice> m_slices;

  /** Returns the number of requests with the given final state. */
  std::uint64_t Count(RequestEnd aEnd) const;

  /** Returns the number of requests. */
  std::uint64_t Requests() const;
};

/** Results by operation. */
using StreamResults = std::map<OperationName, StreamResult>;

/** Collects the results of requests. All methods are thread safe. */
class LoadRecorder
{
public:
  /** All times are relative to the start of the load, which takes aLength. */
  explicit LoadRecorder(Duration aLength);

  //==========================================================================
  /** Records a request that ended. */
  void Record(const OperationName& aOperation,
              RequestEnd aEnd,
              Duration aArrived,
              Duration aEnded,
              std::uint32_t aAttempts);

  //==========================================================================
  /** Returns the results so far. */
  StreamResults Results() const;

private:
  std::size_t m_sliceCount;
  Guarded<StreamResults> m_results;
};

/** Returns the completed requests of all operations per slice. Thread safe. */
std::vector<std::uint64_t>
CompletedBySlice(const StreamResults& aResults);

/** Returns the time from aTriggerEnd until goodput has recovered: until the
    first slice such that every 500 ms window that starts within one second of
    it has at least 95% of the mean before aTriggerStart. Returns nothing if
    goodput does not recover within the series. Thread safe. */
std::optional<Duration>
RecoveryTime(std::span<const std::uint64_t> aCompleted,
             Duration aTriggerStart,
             Duration aTriggerEnd);

}
