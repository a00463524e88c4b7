/* Microbenchmarks of single decisions: admission by queue length, routing by
   number of targets, and both together. */

#include <benchmark/benchmark.h>

#include "cr_admission/cr_admission.h"
#include "cr_routing/cr_routing.h"

namespace cr {

namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::uint32_t kWaitingPerSlot = 3;

/* A gate that is kept at a given queue length by steady arrivals. */
class LoadedGate
{
public:
  explicit LoadedGate(std::uint32_t aWaiting)
  {
    m_gate.Open(std::max(1U, aWaiting / kWaitingPerSlot), m_now, m_decisions);
    while (m_gate.Waiting() < aWaiting && m_number < 100'000) {
      OfferCall();
    }
  }

  /* Offers one call and finishes one running call. */
  void Step()
  {
    OfferCall();
    if (!m_running.empty()) {
      m_decisions.clear();
      const CallId ended = m_running.back();
      m_running.pop_back();
      m_gate.Finish({ ended }, m_now, m_decisions);
      RecordDispatches();
    }
  }

private:
  void OfferCall()
  {
    m_now += Duration(50);
    GateCall call;
    call.m_call = CallId{ ++m_number };
    call.m_request = { m_number, Hash(m_number, kSeed) };
    call.m_operation = { "tarif", "price" };
    call.m_importance = kImportances.at(m_number % kImportanceCount);
    call.m_deadline = m_now + Seconds(600);
    m_decisions.clear();
    m_gate.Offer(call, m_now, m_decisions);
    RecordDispatches();
  }

  void RecordDispatches()
  {
    for (const GateDecision& decision : m_decisions) {
      if (const auto* dispatch = std::get_if<GateDispatch>(&decision)) {
        m_running.push_back(dispatch->m_call);
      }
    }
  }

  Gate m_gate;
  Instant m_now;
  std::uint64_t m_number = 0;
  std::vector<CallId> m_running;
  GateDecisions m_decisions;
};

std::vector<RouteTarget>
MakeTargets(std::int64_t aCount)
{
  std::vector<RouteTarget> targets;
  targets.reserve(static_cast<std::size_t>(aCount));
  for (std::int64_t number = 0; number < aCount; ++number) {
    targets.push_back({ "host-" + std::to_string(number),
                        Incarnation{ 1 },
                        "r",
                        "dc-" + std::to_string(number % 5),
                        { "127.0.0.1", 1 } });
  }
  return targets;
}

void
Admission(benchmark::State& aState)
{
  LoadedGate gate(static_cast<std::uint32_t>(aState.range(0)));
  while (aState.KeepRunning()) {
    gate.Step();
  }
}

void
Routing(benchmark::State& aState)
{
  Router router({ "node", "r", "dc-1" }, kSeed, {});
  const auto targets = MakeTargets(aState.range(0));
  router.Update(targets, Instant());
  Instant now;
  while (aState.KeepRunning()) {
    now += Duration(50);
    const auto target = router.Choose(RankOf(Importance::High, 0), {}, now);
    if (target) {
      AttemptResult result;
      result.m_answered = true;
      result.m_latency = Milliseconds(5);
      router.Report(target->m_host, result, now);
    }
    benchmark::DoNotOptimize(target);
  }
}

void
RoutingAndAdmission(benchmark::State& aState)
{
  LoadedGate gate(60);
  Router router({ "node", "r", "dc-1" }, kSeed, {});
  const auto targets = MakeTargets(aState.range(0));
  router.Update(targets, Instant());
  Instant now;
  while (aState.KeepRunning()) {
    now += Duration(50);
    const auto target = router.Choose(RankOf(Importance::High, 0), {}, now);
    gate.Step();
    if (target) {
      router.Report(target->m_host, {}, now);
    }
    benchmark::DoNotOptimize(target);
  }
}

BENCHMARK(Admission)->Arg(10)->Arg(100)->Arg(910);
BENCHMARK(Routing)->Arg(10)->Arg(100)->Arg(910);
BENCHMARK(RoutingAndAdmission)->Arg(10)->Arg(100)->Arg(910);

}

}

BENCHMARK_MAIN();
