#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "cr_admission/cr_admission.h"

namespace cr {

namespace {

constexpr std::size_t kSmallLimit = 5;

/* Attempts of few senders and shards, handed over or withdrawn in any order
   with any time to live, under limits that are far too small. */
RC_GTEST_PROP(AttemptMemory, HandedOverAttemptNeverSeemsNotRun, ())
{
  AttemptMemory memory(kSmallLimit,
                       static_cast<std::size_t>(*rc::gen::inRange(1, 6)));
  std::set<AttemptId> handedOver;
  std::set<AttemptId> withdrawn;
  Instant now;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const AttemptId attempt{ *rc::gen::inRange<std::uint64_t>(1, 4),
                             *rc::gen::inRange<std::uint64_t>(16, 80) };
    now += Milliseconds(*rc::gen::inRange(0, 20));
    memory.Advance(now);
    const AttemptFate fate = memory.Find(attempt);
    if (handedOver.contains(attempt)) {
      RC_ASSERT(fate == AttemptFate::HandedOver ||
                fate == AttemptFate::Forgotten);
      continue;
    }
    if (withdrawn.contains(attempt)) {
      RC_ASSERT(fate == AttemptFate::Withdrawn ||
                fate == AttemptFate::Forgotten);
      continue;
    }
    if (fate != AttemptFate::NeverArrived) {
      continue;
    }
    const bool runs = *rc::gen::arbitrary<bool>();
    (runs ? handedOver : withdrawn).insert(attempt);
    memory.Remember(attempt,
                    runs ? AttemptFate::HandedOver : AttemptFate::Withdrawn,
                    now + Milliseconds(*rc::gen::inRange(0, 100)));
    RC_ASSERT(memory.Size() <= kSmallLimit);
  }
}

TEST(AttemptMemory, NewerAttemptsOfALaneStayKnownAsNew)
{
  AttemptMemory memory(2, 2);
  for (std::uint64_t number = 1; number <= 4; ++number) {
    memory.Remember({ 1, number * 16 }, AttemptFate::HandedOver, Instant());
  }
  EXPECT_EQ(memory.Find({ 1, 32 }), AttemptFate::Forgotten);
  EXPECT_EQ(memory.Find({ 1, 64 }), AttemptFate::HandedOver);
  EXPECT_EQ(memory.Find({ 1, 80 }), AttemptFate::NeverArrived);
  EXPECT_EQ(memory.Find({ 1, 17 }), AttemptFate::NeverArrived);
}

}

}
