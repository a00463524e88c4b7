#include <gtest/gtest.h>

#include "cr_retry/cr_retry.h"

namespace cr {

namespace {

constexpr Instant kStart{ Seconds(100) };

AttemptTimes
TimesOf(Duration aMin, Duration aMax, int aCount)
{
  AttemptTimes times;
  Random random(1);
  for (int count = 0; count < aCount; ++count) {
    times.Record(aMin + Scale(aMax - aMin, random.NextDouble()),
                 kStart + Milliseconds(count));
  }
  return times;
}

TEST(AttemptTimes, FewAttemptsDoNotShowWhatIsUsual)
{
  EXPECT_FALSE(AttemptTimes().SlowAfter(kStart));
  EXPECT_FALSE(
    TimesOf(Milliseconds(30), Milliseconds(50), 5).SlowAfter(kStart));
}

TEST(AttemptTimes, UsualAttemptsAreNotSlow)
{
  const auto even = TimesOf(Milliseconds(200), Milliseconds(210), 100);
  EXPECT_GT(*even.SlowAfter(kStart), Milliseconds(205));
  EXPECT_LT(*even.SlowAfter(kStart), Milliseconds(250));
  const auto spread = TimesOf(Milliseconds(10), Milliseconds(400), 100);
  EXPECT_GT(*spread.SlowAfter(kStart), Milliseconds(400));
}

TEST(AttemptTimes, ShortAttemptsHaveAMinimumAndOldOnesFade)
{
  const auto times = TimesOf(Milliseconds(1), Milliseconds(2), 100);
  EXPECT_EQ(times.SlowAfter(kStart), Milliseconds(100));
  EXPECT_FALSE(times.SlowAfter(kStart + Seconds(60)));
}

}

}
