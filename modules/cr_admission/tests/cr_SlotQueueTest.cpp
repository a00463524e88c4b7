#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

}

}
