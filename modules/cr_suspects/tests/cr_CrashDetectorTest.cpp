#include <gtest/gtest.h>

#include "cr_suspects/cr_suspects.h"

namespace cr {

namespace {

using Verdict = CrashDetector::Verdict;

struct Detector : CrashDetector
{
  explicit Detector(std::uint64_t aRuns)
  {
    for (std::uint64_t call = 0; call < aRuns; ++call) {
      Begin({ CallId{ call }, { 1, call } }, m_now);
    }
    m_now += Milliseconds(30);
  }

  void BreakAll(std::uint64_t aRuns)
  {
    for (std::uint64_t call = 0; call < aRuns; ++call) {
      Break(CallId{ call }, m_now);
    }
  }

  Instant m_now{ Seconds(100) };
};

TEST(CrashDetector, AllConnectionsBreakAndNoneCanBeOpened)
{
  Detector detector(3);
  detector.BreakAll(3);
  EXPECT_EQ(detector.Decide(detector.m_now), Verdict::Undecided);
  detector.OnUnreachable();
  EXPECT_EQ(detector.Decide(detector.m_now), Verdict::Crashed);
  EXPECT_EQ(detector.TakeBroken().size(), 3U);
  EXPECT_EQ(detector.Decide(detector.m_now), Verdict::Undecided);
}

TEST(CrashDetector, OtherConnectionsOfACrashBreakALittleLater)
{
  Detector detector(3);
  detector.Break(CallId{ 0 }, detector.m_now);
  detector.OnUnreachable();
  EXPECT_EQ(detector.Decide(detector.m_now), Verdict::Undecided);
  detector.Answer(CallId{ 1 });
  detector.Break(CallId{ 2 }, detector.m_now + Milliseconds(10));
  EXPECT_EQ(detector.Decide(detector.m_now + Milliseconds(10)),
            Verdict::Crashed);
  EXPECT_EQ(detector.TakeBroken().size(), 2U);
}

TEST(CrashDetector, OneBrokenConnectionOfALivingServerIsNoCrash)
{
  Detector detector(3);
  detector.Break(CallId{ 0 }, detector.m_now);
  detector.Begin({ CallId{ 7 }, {} }, detector.m_now + Milliseconds(1));
  detector.Answer(CallId{ 7 });
  EXPECT_EQ(detector.Decide(detector.m_now), Verdict::Alive);
  detector.TakeBroken();
  detector.Break(CallId{ 1 }, detector.m_now);
  EXPECT_EQ(detector.Decide(detector.m_now), Verdict::Undecided);
  EXPECT_EQ(detector.Decide(*detector.DecideBy()), Verdict::Alive);
}

TEST(CrashDetector, AnswersThatTheServerSentBeforeItsCrashDoNotCount)
{
  Detector detector(2);
  detector.Break(CallId{ 0 }, detector.m_now);
  detector.Answer(CallId{ 1 });
  detector.OnUnreachable();
  EXPECT_EQ(detector.Decide(detector.m_now), Verdict::Crashed);
}

/* A server that is only busy refuses connections too. */
TEST(CrashDetector, RefusedConnectionAloneIsNoCrash)
{
  Detector detector(3);
  detector.OnUnreachable();
  EXPECT_EQ(detector.Decide(detector.m_now), Verdict::Undecided);
  detector.Break(CallId{ 0 }, detector.m_now);
  EXPECT_EQ(detector.Decide(detector.m_now), Verdict::Undecided);
  EXPECT_EQ(detector.Decide(*detector.DecideBy()), Verdict::Alive);
}

}

}
