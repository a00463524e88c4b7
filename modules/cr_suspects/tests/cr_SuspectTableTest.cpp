#include <gtest/gtest.h>

#include <array>
#include <set>

#include "cr_suspects/cr_suspects.h"

namespace cr {

namespace {

constexpr RequestKey kBad{ 1, 1 };
constexpr RequestKey kOther{ 1, 2 };
constexpr Instant kStart{ Seconds(100) };

void
Crash(SuspectTable& aTable, RequestKey aKey, Instant aNow = kStart)
{
  aTable.RecordCrash({ &aKey, 1 }, aNow);
}

TEST(SuspectTable, SecondCrashRefusesAndACompletionClears)
{
  SuspectTable table;
  Crash(table, kBad);
  EXPECT_TRUE(table.IsSuspected(kBad, kStart));
  EXPECT_FALSE(table.IsRefused(kBad, kStart));
  Crash(table, kBad);
  EXPECT_TRUE(table.IsRefused(kBad, kStart));
  EXPECT_TRUE(table.HasRefused(kStart));
  EXPECT_TRUE(table.Clear(kBad, kStart));
  EXPECT_FALSE(table.IsRefused(kBad, kStart));
  EXPECT_TRUE(table.IsCleared(kBad, kStart));
  EXPECT_FALSE(table.Clear(kBad, kStart));
  EXPECT_FALSE(table.Clear(kOther, kStart));
}

TEST(SuspectTable, RefusalDoublesWithEachCrashAndEndsInSuspicion)
{
  SuspectTable table;
  Crash(table, kBad);
  Crash(table, kBad);
  const Duration first = table.RefusedFor(kBad, kStart);
  EXPECT_GE(first, SuspectTable::kRefusalTime);
  const Instant end = kStart + first;
  EXPECT_FALSE(table.IsRefused(kBad, end));
  EXPECT_TRUE(table.IsSuspected(kBad, end));
  Crash(table, kBad, end);
  EXPECT_GE(table.RefusedFor(kBad, end), 2 * SuspectTable::kRefusalTime);
  for (int crash = 0; crash < 100; ++crash) {
    Crash(table, kBad, end);
  }
  EXPECT_LE(table.RefusedFor(kBad, end), Seconds(2 * 3600));
}

TEST(SuspectTable, TablesEndARefusalAtDifferentTimes)
{
  std::set<Duration> ends;
  for (std::uint64_t seed = 0; seed < 8; ++seed) {
    SuspectTable table(seed);
    Crash(table, kBad);
    Crash(table, kBad);
    ends.insert(table.RefusedFor(kBad, kStart));
  }
  EXPECT_GE(ends.size(), 7U);
  EXPECT_GE(*ends.rbegin() - *ends.begin(), SuspectTable::kSuspicionTime / 4);
}

TEST(SuspectTable, ReportsMergeInAnyOrder)
{
  const std::array<Suspect, 3> reports = { {
    { kBad, 1, Seconds(60), 0 },
    { kBad, 2, Seconds(100), 0 },
    { kBad, 2, Seconds(50), 2 },
  } };
  SuspectTable table;
  SuspectTable reversed;
  for (std::size_t index = 0; index < reports.size(); ++index) {
    table.Merge({ &reports.at(index), 1 }, kStart);
    reversed.Merge({ &reports.at(reports.size() - 1 - index), 1 }, kStart);
  }
  EXPECT_EQ(table.Find(kBad, kStart)->m_crashes, 2U);
  EXPECT_EQ(table.Find(kBad, kStart)->m_cleared, 2U);
  EXPECT_EQ(reversed.Find(kBad, kStart)->m_crashes, 2U);
  EXPECT_EQ(reversed.Find(kBad, kStart)->m_cleared, 2U);
}

/* A report can't prolong a refusal for ever. */
TEST(SuspectTable, RepeatedReportsDoNotOutliveTheCrash)
{
  SuspectTable first;
  SuspectTable second;
  Crash(first, kBad);
  Crash(first, kBad);
  for (int second10 = 0; second10 < 30; ++second10) {
    const Instant now = kStart + Seconds(10 * second10);
    second.Merge(first.Recent(now, 10), now);
    first.Merge(second.Recent(now, 10), now);
  }
  EXPECT_FALSE(first.Find(kBad, kStart + Seconds(130)));
  EXPECT_FALSE(second.Find(kBad, kStart + Seconds(130)));
}

TEST(SuspectTable, FullTableKeepsTheRequestsWithMostCrashes)
{
  SuspectTable table;
  Crash(table, kBad);
  Crash(table, kBad);
  for (std::uint64_t number = 0; number < 2 * SuspectTable::kEntryLimit;
       ++number) {
    Crash(table, { 2, number }, kStart + Milliseconds(1));
  }
  EXPECT_TRUE(table.IsRefused(kBad, kStart + Milliseconds(1)));
  EXPECT_EQ(table.Recent(kStart, 3 * SuspectTable::kEntryLimit).size(),
            SuspectTable::kEntryLimit);
}

}

}
