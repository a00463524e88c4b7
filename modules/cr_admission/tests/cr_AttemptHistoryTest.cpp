#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "cr_admission/cr_admission.h"

namespace cr {

namespace {

constexpr std::size_t kSmallLimit = 5;

/* Dispatches or withdraws attempts of few callers and shards in any order and
   with any lifetime, under limits that are far too small. */
RC_GTEST_PROP(AttemptHistory, DispatchedAttemptIsNeverReportedAsNotRun, ())
{
  AttemptHistory history(kSmallLimit,
                         static_cast<std::size_t>(*rc::gen::inRange(1, 6)));
  std::set<AttemptId> dispatched;
  std::set<AttemptId> withdrawn;
  Instant now;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const AttemptId attempt{ *rc::gen::inRange<std::uint64_t>(1, 4),
                             *rc::gen::inRange<std::uint64_t>(16, 80) };
    now += Milliseconds(*rc::gen::inRange(0, 20));
    history.Advance(now);
    const AttemptState state = history.Find(attempt);
    if (dispatched.contains(attempt)) {
      RC_ASSERT(state == AttemptState::Dispatched ||
                state == AttemptState::Forgotten);
      continue;
    }
    if (withdrawn.contains(attempt)) {
      RC_ASSERT(state == AttemptState::Withdrawn ||
                state == AttemptState::Forgotten);
      continue;
    }
    if (state != AttemptState::NeverArrived) {
      continue;
    }
    const bool runs = *rc::gen::arbitrary<bool>();
    (runs ? dispatched : withdrawn).insert(attempt);
    history.Record(attempt,
                   runs ? AttemptState::Dispatched : AttemptState::Withdrawn,
                   now + Milliseconds(*rc::gen::inRange(0, 100)));
    RC_ASSERT(history.Size() <= kSmallLimit);
  }
}

TEST(AttemptHistory, NewerAttemptsOfASequenceCountAsNotArrived)
{
  AttemptHistory history(2, 2);
  for (std::uint64_t number = 1; number <= 4; ++number) {
    history.Record({ 1, number * 16 }, AttemptState::Dispatched, Instant());
  }
  EXPECT_EQ(history.Find({ 1, 32 }), AttemptState::Forgotten);
  EXPECT_EQ(history.Find({ 1, 64 }), AttemptState::Dispatched);
  EXPECT_EQ(history.Find({ 1, 80 }), AttemptState::NeverArrived);
  EXPECT_EQ(history.Find({ 1, 17 }), AttemptState::NeverArrived);
}

}

}
