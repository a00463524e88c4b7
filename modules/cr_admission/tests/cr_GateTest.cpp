#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "cr_admission/cr_admission.h"

namespace cr {

namespace {

constexpr std::uint32_t kSlots = 4;

GateCall
MakeGateCall(std::uint64_t aNumber, Importance aImportance, Instant aDeadline)
{
  GateCall call;
  call.m_call = CallId{ aNumber };
  call.m_request = { aNumber, Hash(aNumber, 0) };
  call.m_operation = { "tarif", "price" };
  call.m_importance = aImportance;
  call.m_deadline = aDeadline;
  return call;
}

/* Checks every decision of a gate against the offered calls. */
struct GateModel
{
  std::map<CallId, Importance> m_waiting;
  std::map<CallId, bool> m_running;

  void Apply(const GateDecisions& aDecisions)
  {
    for (const GateDecision& decision : aDecisions) {
      if (const auto* dispatch = std::get_if<GateDispatch>(&decision)) {
        RC_ASSERT(m_waiting.contains(dispatch->m_call));
        for (const auto& [call, importance] : m_waiting) {
          RC_ASSERT(importance <= m_waiting.at(dispatch->m_call));
        }
        m_running.emplace(dispatch->m_call, true);
        m_waiting.erase(dispatch->m_call);
        continue;
      }
      const GateRefusal refusal = std::get<GateRefusal>(decision);
      RC_ASSERT(m_waiting.contains(refusal.m_call));
      const Importance refused = m_waiting.at(refusal.m_call);
      m_waiting.erase(refusal.m_call);
      if (refusal.m_reason == Reason::Evicted) {
        for (const auto& [call, importance] : m_waiting) {
          RC_ASSERT(importance >= refused);
        }
      }
    }
  }
};

RC_GTEST_PROP(Gate, LessImportantCallsAreNeverDispatchedOrKeptFirst, ())
{
  Gate gate;
  GateModel model;
  Instant now;
  GateDecisions decisions;
  gate.Open(kSlots, now, decisions);
  const int steps = *rc::gen::inRange(1, 120);
  for (int step = 1; step <= steps; ++step) {
    decisions.clear();
    now += Milliseconds(*rc::gen::inRange(0, 8));
    if (!model.m_running.empty() && *rc::gen::inRange(0, 3) == 0) {
      const CallId ended = model.m_running.begin()->first;
      model.m_running.erase(ended);
      gate.Finish({ ended }, now, decisions);
    } else {
      const auto importance =
        kImportances.at(*rc::gen::inRange<std::size_t>(0, kImportanceCount));
      const auto call =
        MakeGateCall(static_cast<std::uint64_t>(step),
                     importance,
                     now + Milliseconds(*rc::gen::inRange(1, 200)));
      model.m_waiting.emplace(call.m_call, importance);
      gate.Offer(call, now, decisions);
    }
    model.Apply(decisions);
    RC_ASSERT(gate.Waiting() == model.m_waiting.size());
    RC_ASSERT(gate.Running() == model.m_running.size());
    RC_ASSERT(gate.Running() <= kSlots);
    RC_ASSERT(gate.Level() <= RankOf(Importance::Protected, 0));
  }
}

TEST(Gate, ChildCallGetsASlotWhileParentsUseTheirWholeLimit)
{
  Gate gate;
  GateDecisions decisions;
  gate.Open(kSlots, Instant(), decisions);
  std::uint64_t number = 0;
  for (int round = 0; round < 20; ++round) {
    decisions.clear();
    GateCall parent =
      MakeGateCall(++number, Importance::Normal, Instant() + Seconds(9));
    parent.m_needsOwnService = true;
    gate.Offer(parent, Instant(), decisions);
    GateCall other =
      MakeGateCall(++number, Importance::Normal, Instant() + Seconds(9));
    other.m_operation.m_operation = "stock";
    gate.Offer(other, Instant(), decisions);
    gate.Finish({ other.m_call }, Instant(), decisions);
  }
  decisions.clear();
  GateCall child =
    MakeGateCall(++number, Importance::Normal, Instant() + Seconds(9));
  child.m_depth = 1;
  gate.Offer(child, Instant(), decisions);
  ASSERT_FALSE(decisions.empty());
  EXPECT_EQ(std::get<GateDispatch>(decisions.front()).m_call, child.m_call);
}

TEST(Gate, CallThatCannotFinishIsRefusedUntilTheEstimateIsLowered)
{
  Gate gate;
  GateDecisions decisions;
  Instant now;
  gate.Open(1, now, decisions);
  gate.Offer(
    MakeGateCall(1, Importance::Normal, now + Seconds(9)), now, decisions);
  now += Milliseconds(500);
  gate.Finish({ CallId{ 1 } }, now, decisions);
  decisions.clear();
  std::uint64_t number = 1;
  bool isDispatched = false;
  while (!isDispatched && number < 100) {
    const GateCall call =
      MakeGateCall(++number, Importance::Normal, now + Milliseconds(100));
    decisions.clear();
    gate.Offer(call, now, decisions);
    isDispatched = std::holds_alternative<GateDispatch>(decisions.at(0));
    if (number == 2) {
      EXPECT_EQ(std::get<GateRefusal>(decisions.at(0)).m_reason,
                Reason::DeadlineTooShort);
    }
  }
  EXPECT_TRUE(isDispatched);
}

}

}
