#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "cr_admission/cr_admission.h"

namespace cr {

namespace {

constexpr std::uint32_t kSlots = 3;

SlotCall
MakeCall(std::uint64_t aNumber, bool aIsChildCall, Instant aLatestStart)
{
  return { CallId{ aNumber }, aIsChildCall, aLatestStart };
}

std::vector<std::uint64_t>
Dispatched(const GateDecisions& aDecisions)
{
  std::vector<std::uint64_t> calls;
  for (const GateDecision& decision : aDecisions) {
    if (const auto* dispatch = std::get_if<GateDispatch>(&decision)) {
      calls.push_back(static_cast<std::uint64_t>(dispatch->m_call));
    }
  }
  return calls;
}

std::vector<std::uint64_t>
Refused(const GateDecisions& aDecisions)
{
  std::vector<std::uint64_t> calls;
  for (const GateDecision& decision : aDecisions) {
    if (const auto* refusal = std::get_if<GateRefusal>(&decision)) {
      calls.push_back(static_cast<std::uint64_t>(refusal->m_call));
    }
  }
  return calls;
}

using Numbers = std::vector<std::uint64_t>;

RC_GTEST_PROP(SlotQueue, EveryCallGetsOneDecisionAndTheLimitHolds, ())
{
  SlotQueue queue;
  Instant now;
  std::map<std::uint64_t, int> decided;
  std::vector<std::uint64_t> running;
  std::uint32_t limit = kSlots;
  GateDecisions decisions;
  queue.SetLimit(limit, now, decisions);
  std::uint64_t offered = 0;
  const int steps = *rc::gen::inRange(1, 150);
  for (int step = 0; step < steps; ++step) {
    decisions.clear();
    now += Milliseconds(*rc::gen::inRange(0, 6));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        if (!running.empty()) {
          queue.Finish(CallId{ running.front() }, now, decisions);
          running.erase(running.begin());
        }
        break;
      case 1:
        limit = *rc::gen::inRange(0U, kSlots + 2);
        queue.SetLimit(limit, now, decisions);
        break;
      case 2:
        queue.Advance(now, decisions);
        break;
      default:
        ++offered;
        queue.Offer(MakeCall(offered,
                             *rc::gen::arbitrary<bool>(),
                             now + Milliseconds(*rc::gen::inRange(0, 20))),
                    now,
                    decisions);
    }
    for (const std::uint64_t call : Dispatched(decisions)) {
      ++decided[call];
      running.push_back(call);
    }
    for (const std::uint64_t call : Refused(decisions)) {
      ++decided[call];
    }
    RC_ASSERT(queue.Running() == running.size());
    RC_ASSERT(Dispatched(decisions).empty() || running.size() <= limit);
  }
  decisions.clear();
  queue.RefuseWaiting(Reason::Leaving, decisions);
  for (const std::uint64_t call : Refused(decisions)) {
    ++decided[call];
  }
  RC_ASSERT(decided.size() == offered);
  for (const auto& [call, count] : decided) {
    RC_ASSERT(count == 1);
  }
}

TEST(SlotQueue, CallWithTheEarliestLatestStartIsDispatchedFirst)
{
  SlotQueue queue;
  GateDecisions decisions;
  const Instant now;
  queue.SetLimit(1, now, decisions);
  queue.Offer(MakeCall(1, true, now + Seconds(1)), now, decisions);
  queue.Offer(MakeCall(2, true, now + Seconds(1)), now, decisions);
  queue.Offer(MakeCall(3, false, now + Milliseconds(20)), now, decisions);
  decisions.clear();
  queue.Finish(CallId{ 1 }, now + Milliseconds(10), decisions);
  EXPECT_EQ(Dispatched(decisions), Numbers{ 3 });
}

TEST(SlotQueue, CustomerCallsAreRefusedBeforeChildCalls)
{
  SlotQueue queue;
  GateDecisions decisions;
  const Instant now;
  queue.SetLimit(1, now, decisions);
  std::uint64_t number = 0;
  for (int index = 0; index < 9; ++index) {
    queue.Offer(
      MakeCall(++number, index % 2 == 0, now + Seconds(1)), now, decisions);
  }
  EXPECT_TRUE(Refused(decisions).empty());
  Numbers refused;
  for (int index = 0; index < 4; ++index) {
    decisions.clear();
    queue.Offer(MakeCall(++number, true, now + Seconds(9)), now, decisions);
    for (const std::uint64_t call : Refused(decisions)) {
      refused.push_back(call);
    }
  }
  EXPECT_EQ(refused, (Numbers{ 8, 6, 4, 2 }));
}

TEST(SlotQueue, ACallThatCannotWaitStillTakesAFreeSlot)
{
  SlotQueue queue;
  GateDecisions decisions;
  const Instant now;
  queue.SetLimit(1, now, decisions);
  queue.Offer(MakeCall(1, false, now), now, decisions);
  EXPECT_EQ(Dispatched(decisions), Numbers{ 1 });
  queue.Offer(MakeCall(2, false, now), now, decisions);
  decisions.clear();
  queue.Advance(now, decisions);
  EXPECT_EQ(Refused(decisions), Numbers{ 2 });
}

/* The limit holds in every window of 4 s, with half of it and 5 calls as the
   tolerance, and is used while calls wait. */
RC_GTEST_PROP(SlotQueue, RateLimitHoldsInEveryWindowAndIsUsed, ())
{
  constexpr std::uint32_t slots = 100;
  const double rate = *rc::gen::inRange(0, 400) / 10.0;
  SlotQueue queue;
  Instant now{ Seconds(10) };
  GateDecisions decisions;
  queue.SetLimit(slots, now, decisions);
  queue.SetRateLimit(rate, now, decisions);
  std::vector<Instant> dispatches;
  std::uint64_t number = 0;
  const Instant end = now + Seconds(20);
  while (now < end) {
    now += Milliseconds(*rc::gen::inRange(1, 20));
    decisions.clear();
    queue.Advance(now, decisions);
    ++number;
    queue.Offer(MakeCall(number, number % 3 == 0, now + Milliseconds(250)),
                now,
                decisions);
    for (const std::uint64_t call : Dispatched(decisions)) {
      dispatches.push_back(now);
      queue.Finish(CallId{ call }, now, decisions);
    }
  }
  for (std::size_t first = 0; first < dispatches.size(); ++first) {
    const auto last = std::lower_bound(
      dispatches.begin(), dispatches.end(), dispatches[first] + Seconds(4));
    RC_ASSERT(static_cast<double>(last - dispatches.begin()) -
                static_cast<double>(first) <=
              1.5 * 4 * rate + 5);
  }
  const double offered = static_cast<double>(number) / 20;
  RC_ASSERT(static_cast<double>(dispatches.size()) >=
            0.9 * 20 * std::min(offered, rate) - 1);
}

TEST(SlotQueue, UnderARateLimitTheMostUrgentCallsAreDispatchedFirst)
{
  SlotQueue queue;
  Instant now{ Seconds(10) };
  GateDecisions decisions;
  queue.SetLimit(kSlots, now, decisions);
  queue.SetRateLimit(10, now, decisions);
  const auto offer = [&](std::uint64_t aNumber, bool aIsChild, unsigned aRank) {
    SlotCall call = MakeCall(aNumber, aIsChild, now + Milliseconds(350));
    call.m_priority = aRank;
    queue.Offer(call, now, decisions);
  };
  offer(1, false, 2);
  offer(2, false, 0);
  offer(3, true, 2);
  offer(4, false, 1);
  EXPECT_EQ(Refused(decisions), Numbers({ 1 }));
  EXPECT_EQ(std::get<GateRefusal>(decisions.at(0)).m_reason,
            Reason::RateLimited);
  decisions.clear();
  for (int step = 0; step < 3; ++step) {
    now = *queue.NextWakeup();
    queue.Advance(now, decisions);
  }
  EXPECT_EQ(Dispatched(decisions), Numbers({ 3, 2, 4 }));
}

}

}
