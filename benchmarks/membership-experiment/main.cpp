/* Measures the cost of membership and configuration for several fleet sizes,
   and how fast changes reach every node. Runs in virtual time. */

#include <charconv>

#include <malloc.h>

#include <fmt/format.h>

#include "cr_Fleet.h"
#include "cr_command/cr_command.h"

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr cr::Duration kWarmUp = cr::Seconds(60);
constexpr cr::Duration kSteadyPart = cr::Seconds(40);
constexpr int kSteadyParts = 3;
constexpr cr::Duration kSettleTime = cr::Seconds(10);
constexpr cr::Duration kMaxWait = cr::Seconds(60);
constexpr int kRepeats = 3;
constexpr double kBytesPerKilobyte = 1024.0;
constexpr double kPercent = 100.0;
constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kMicrosecondsPerSecond = 1e6;

/* Required limits. Per node: 4 KB/s, 256 MB and 2.9% of a core. Per fleet: 5 s
   until a configuration is active everywhere, a few seconds until a leaving
   server is known, several hundred store writes and two thousand store reads
   per second. */
constexpr double kTargetBytes = 4096;
constexpr double kTargetMegabytes = 256;
constexpr double kTargetCpuPercent = 2.9;
constexpr double kTargetActiveSeconds = 5;
constexpr double kTargetLeavingSeconds = 3;
constexpr double kTargetReads = 2000;
constexpr double kTargetWrites = 300;

class Report
{
public:
  explicit Report(std::size_t aNodes)
    : m_nodes(aNodes)
  {
  }

  void Add(std::string_view aName,
           double aValue,
           std::string_view aUnit,
           double aTarget)
  {
    const bool pass = aValue <= aTarget;
    m_failed = m_failed || !pass;
    fmt::print("{}_at_{} {:.3f} {} {} {}\n",
               aName,
               m_nodes,
               aValue,
               aUnit,
               aTarget,
               pass ? "pass" : "fail");
  }

  bool HasFailed() const { return m_failed; }

private:
  std::size_t m_nodes;
  bool m_failed = false;
};

double
ToSeconds(cr::Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicrosecondsPerSecond;
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

/* Measures two minutes with one node restart and one publication in each part.
   Both are many times more frequent here than in a fleet of the target size. */
void
MeasureSteady(cr::Fleet& aFleet, Report& aReport)
{
  aFleet.ResetCost();
  for (int part = 0; part < kSteadyParts; ++part) {
    aFleet.Restart(static_cast<std::size_t>(part));
    aFleet.PublishChange();
    aFleet.RunFor(kSteadyPart);
  }
  const cr::FleetCost& cost = aFleet.Cost();
  const double seconds = ToSeconds(kSteadyPart) * kSteadyParts;
  const double nodeSeconds = seconds * static_cast<double>(aFleet.Size());
  const auto decisions = static_cast<double>(cost.m_decisionTime.count());
  const auto codecs = static_cast<double>(cost.m_codecTime.count());
  aReport.Add("control_bytes_per_second",
              static_cast<double>(cost.m_bytes) / nodeSeconds,
              "B/s",
              kTargetBytes);
  aReport.Add("control_decision_cpu",
              decisions / kNanosecondsPerSecond / nodeSeconds * kPercent,
              "%",
              kTargetCpuPercent);
  aReport.Add("control_codec_cpu",
              codecs / kNanosecondsPerSecond / nodeSeconds * kPercent,
              "%",
              kTargetCpuPercent);
  aReport.Add("store_reads_per_second",
              static_cast<double>(cost.m_storeReads) / seconds,
              "1/s",
              kTargetReads);
  aReport.Add("store_writes_per_second",
              static_cast<double>(cost.m_storeWrites) / seconds,
              "1/s",
              kTargetWrites);
}

void
MeasureLeaving(cr::Fleet& aFleet, Report& aReport)
{
  cr::Duration longest{};
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const std::size_t node =
      aFleet.Size() - 1 - static_cast<std::size_t>(repeat);
    aFleet.Leave(node);
    longest =
      std::max(longest,
               aFleet.RunUntil(
                 [&] { return aFleet.CountSeenLeaving(node) == aFleet.Size(); },
                 kMaxWait));
    aFleet.RunFor(kSettleTime);
  }
  aReport.Add(
    "leaving_known_everywhere", ToSeconds(longest), "s", kTargetLeavingSeconds);
}

cr::Duration
MeasurePublication(cr::Fleet& aFleet, bool aStoreFails)
{
  const cr::Generation generation = aFleet.PublishChange();
  cr::Duration time{};
  if (aStoreFails) {
    time = aFleet.RunUntil([&] { return aFleet.CountActive(generation) > 0; },
                           kMaxWait);
    aFleet.SetPlatformDown(true);
  }
  time += aFleet.RunUntil(
    [&] { return aFleet.CountActive(generation) == aFleet.Size(); }, kMaxWait);
  aFleet.SetPlatformDown(false);
  aFleet.RunFor(kSettleTime);
  return time;
}

void
MeasureConfiguration(cr::Fleet& aFleet, Report& aReport)
{
  cr::Duration longest{};
  cr::Duration longestStoreLost{};
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    longest = std::max(longest, MeasurePublication(aFleet, false));
    longestStoreLost =
      std::max(longestStoreLost, MeasurePublication(aFleet, true));
  }
  aReport.Add("configuration_in_force_everywhere",
              ToSeconds(longest),
              "s",
              kTargetActiveSeconds);
  aReport.Add("configuration_in_force_everywhere_store_lost",
              ToSeconds(longestStoreLost),
              "s",
              kTargetActiveSeconds);
}

bool
MeasureFleet(std::size_t aNodes)
{
  Report report(aNodes);
  const std::size_t before = HeapBytes();
  cr::Fleet fleet(aNodes, kSeed);
  fleet.RunFor(kWarmUp);
  const auto bytes = static_cast<double>(HeapBytes() - before);
  report.Add("memory_per_node",
             bytes / static_cast<double>(aNodes) / kBytesPerKilobyte /
               kBytesPerKilobyte,
             "MB",
             kTargetMegabytes);
  MeasureSteady(fleet, report);
  MeasureLeaving(fleet, report);
  MeasureConfiguration(fleet, report);
  return report.HasFailed();
}

const cr::CommandDescription&
Description()
{
  static const cr::CommandDescription description{
    "corianderrack-membership-experiment", "[NODES...]", {}
  };
  return description;
}

}

int
main(int aCount, char** aArguments)
{
  const auto command = cr::ParseCommand(
    { aArguments, static_cast<std::size_t>(aCount) }, Description());
  if (!command) {
    fmt::print(stderr, "{}\n", command.error().m_text);
    return cr::kExitUsage;
  }
  std::vector<std::string> sizes = command->m_operands;
  if (sizes.empty()) {
    sizes = { "35", "100", "300", "910" };
  }
  bool failed = false;
  for (const std::string& size : sizes) {
    std::size_t nodes = 0;
    std::from_chars(size.data(), size.data() + size.size(), nodes);
    if (nodes < 10 || nodes > 2000) {
      fmt::print(stderr, "a fleet has 10 to 2000 nodes\n");
      return cr::kExitUsage;
    }
    failed = MeasureFleet(nodes) || failed;
  }
  return failed ? cr::kExitFailure : cr::kExitOk;
}
