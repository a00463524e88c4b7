#include "cr_LoadResult.h"

#include <algorithm>
#include <numeric>

namespace cr {

namespace {

constexpr double kRecoveredShare = 0.95;
constexpr std::size_t kWindowSlices = Milliseconds(500) / kSliceLength;
constexpr std::size_t kSteadySlices = Seconds(1) / kSliceLength;
/** Slices after the load, for answers to the last arrivals. */
constexpr std::size_t kTailSlices = Seconds(10) / kSliceLength;

std::size_t
SliceIndex(Duration aTime)
{
  return static_cast<std::size_t>(
    std::max<Duration::rep>(aTime / kSliceLength, 0));
}

double
Sum(std::span<const std::uint64_t> aCounts)
{
  return static_cast<double>(
    std::accumulate(aCounts.begin(), aCounts.end(), std::uint64_t{ 0 }));
}

bool
IsSteadyFrom(std::span<const std::uint64_t> aCompleted,
             std::size_t aSlice,
             double aMinCompleted)
{
  for (std::size_t begin = aSlice; begin <= aSlice + kSteadySlices; ++begin) {
    if (Sum(aCompleted.subspan(begin, kWindowSlices)) < aMinCompleted) {
      return false;
    }
  }
  return true;
}

}

std::string_view
ToText(RequestEnd aEnd)
{
  constexpr std::array<std::string_view, kRequestEndCount> names = {
    "completed", "not-run", "unknown", "wrong", "failed", "no-answer"
  };
  return names.at(static_cast<std::size_t>(aEnd));
}

std::uint64_t
StreamResult::Count(RequestEnd aEnd) const
{
  return m_ends.at(static_cast<std::size_t>(aEnd));
}

std::uint64_t
StreamResult::Requests() const
{
  return std::accumulate(m_ends.begin(), m_ends.end(), std::uint64_t{ 0 });
}

LoadRecorder::LoadRecorder(Duration aLength)
  : m_sliceCount(SliceIndex(aLength) + kTailSlices)
{
}

void
LoadRecorder::Record(const OperationName& aOperation,
                     RequestEnd aEnd,
                     Duration aArrived,
                     Duration aEnded,
                     std::uint32_t aAttempts)
{
  const std::size_t arrived = std::min(SliceIndex(aArrived), m_sliceCount - 1);
  const std::size_t ended = std::min(SliceIndex(aEnded), m_sliceCount - 1);
  m_results.WithLock([&](StreamResults& aResults) {
    StreamResult& stream = aResults[aOperation];
    stream.m_slices.resize(m_sliceCount);
    ++stream.m_ends.at(static_cast<std::size_t>(aEnd));
    stream.m_attempts += aAttempts;
    ++stream.m_slices.at(arrived).m_arrived;
    if (aEnd == RequestEnd::Completed) {
      ++stream.m_slices.at(arrived).m_arrivedCompleted;
      ++stream.m_slices.at(ended).m_completed;
      stream.m_latency.Add(aEnded - aArrived);
    }
  });
}

StreamResults
LoadRecorder::Results() const
{
  return m_results.WithLock(
    [](const StreamResults& aResults) { return aResults; });
}

std::vector<std::uint64_t>
CompletedBySlice(const StreamResults& aResults)
{
  std::vector<std::uint64_t> completed;
  for (const auto& [operation, stream] : aResults) {
    completed.resize(std::max(completed.size(), stream.m_slices.size()));
    for (std::size_t slice = 0; slice < stream.m_slices.size(); ++slice) {
      completed.at(slice) += stream.m_slices.at(slice).m_completed;
    }
  }
  return completed;
}

std::optional<Duration>
RecoveryTime(std::span<const std::uint64_t> aCompleted,
             Duration aTriggerStart,
             Duration aTriggerEnd)
{
  /* Excludes the first window because the load ramps up in it. */
  const std::size_t before = SliceIndex(aTriggerStart);
  if (before <= kWindowSlices || before > aCompleted.size()) {
    return std::nullopt;
  }
  const std::size_t counted = before - kWindowSlices;
  const double mean = Sum(aCompleted.subspan(kWindowSlices, counted)) /
                      static_cast<double>(counted);
  const double minCompleted = mean * kWindowSlices * kRecoveredShare;
  const std::size_t span = kSteadySlices + kWindowSlices;
  const std::size_t end = SliceIndex(aTriggerEnd);
  for (std::size_t slice = end; slice + span <= aCompleted.size(); ++slice) {
    if (IsSteadyFrom(aCompleted, slice, minCompleted)) {
      return kSliceLength * static_cast<Duration::rep>(slice - end);
    }
  }
  return std::nullopt;
}

}
