#pragma once

#include <array>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "cr_Scenario.h"
#include "cr_metrics/cr_metrics.h"

namespace cr {

/** How a customer request ended. */
enum class RequestEnd : std::uint8_t
{
  /** The whole and correct answer came within the customer's patience. */
  Completed,
  NotRun,
  Unknown,
  /** An answer that was not the whole answer to its own request. */
  Wrong,
  /** The server answered that it could not finish. */
  Failed,
  /** The last try brought no answer. */
  NoAnswer
};

/** Number of RequestEnd values. */
inline constexpr std::size_t kRequestEndCount = 6;

/** Returns the end's name in results. Thread safe. */
std::string_view
ToText(RequestEnd aEnd);

/** Length of one slice of the time series. */
inline constexpr Duration kSlice = Milliseconds(100);

/** One slice of an operation's time series. */
struct LoadSlice
{
  /** Requests that arrived in the slice. */
  std::uint64_t m_arrived = 0;
  /** Of these, requests that completed, whenever that was. */
  std::uint64_t m_arrivedCompleted = 0;
  /** Requests that completed in the slice. */
  std::uint64_t m_completed = 0;
};

/** How the requests of one operation ended. */
struct StreamResult
{
  std::array<std::uint64_t, kRequestEndCount> m_ends{};
  std::uint64_t m_tries = 0;
  /** From the first try to the whole answer. */
  LatencyHistogram m_latency{ 100 };
  std::vector<LoadSlice> m_slices;

  /** Returns how many requests ended so. */
  std::uint64_t Count(RequestEnd aEnd) const;

  /** Returns the number of requests. */
  std::uint64_t Requests() const;
};

/** Results by operation. */
using StreamResults = std::map<OperationName, StreamResult>;

/** Collects how requests end. All methods are thread safe. */
class LoadRecorder
{
public:
  /** Times are counted from the start of the load. */
  explicit LoadRecorder(Duration aLength);

  //==========================================================================
  /** Takes in a request that ended. */
  void Record(const OperationName& aOperation,
              RequestEnd aEnd,
              Duration aArrived,
              Duration aEnded,
              std::uint32_t aTries);

  //==========================================================================
  /** Returns the results so far. */
  StreamResults Results() const;

private:
  std::size_t m_sliceCount;
  Guarded<StreamResults> m_results;
};

/** Returns completed requests of all operations for each slice. Thread safe. */
std::vector<std::uint64_t>
CompletedBySlice(const StreamResults& aResults);

/** Returns the time from aTriggerEnd until goodput is back: the first slice
    from which every window of 500 ms that begins within one second holds at
    least 95% of the mean before aTriggerStart. Nothing when that does not
    happen within the series. Thread safe. */
std::optional<Duration>
RecoveryTime(std::span<const std::uint64_t> aCompleted,
             Duration aTriggerStart,
             Duration aTriggerEnd);

}
