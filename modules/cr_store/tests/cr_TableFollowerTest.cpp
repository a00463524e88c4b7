#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "cr_store/cr_store.h"

namespace cr {

namespace {

const std::string kTable = "nodes";

void
Write(InProcessPlatform& aPlatform,
      const std::string& aKey,
      std::optional<std::string> aValue)
{
  aPlatform.Execute(
    TransactRequest{ {}, { { { kTable, aKey }, std::move(aValue) } } });
}

/* A copy of a table, built from a follower's changes. */
struct Copy
{
  void Apply(const TableChanges& aChanges)
  {
    if (aChanges.m_isSnapshot) {
      m_rows.clear();
    }
    for (const RowChange& change : aChanges.m_changes) {
      if (change.m_isRemoved) {
        m_rows.erase(change.m_row.m_key);
      } else {
        m_rows[change.m_row.m_key] = change.m_row.m_value;
      }
    }
  }

  std::map<std::string, std::string> m_rows;
};

RC_GTEST_PROP(TableFollower, CopyIsTrueWhateverThePlatformDoes, ())
{
  InProcessPlatform platform;
  TableFollower follower(kTable, 3);
  Copy copy;
  std::map<std::string, std::string> expected;
  Instant now;
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    const std::string key = std::to_string(*rc::gen::inRange(0, 6));
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        Write(platform, key, std::to_string(step));
        expected[key] = std::to_string(step);
        break;
      case 1:
        Write(platform, key, std::nullopt);
        expected.erase(key);
        break;
      case 2:
        platform.Compact();
        break;
      default:
        break;
    }
    if (const auto call = follower.NextCall(now)) {
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          copy.Apply(follower.HandleAnswer(StoreFailed{ "silent" }, now));
          break;
        case 1:
          copy.Apply(follower.HandleAnswer(StoreRefused{ "busy" }, now));
          break;
        default:
          copy.Apply(follower.HandleAnswer(platform.Execute(*call), now));
      }
    }
    now += Milliseconds(*rc::gen::inRange(0, 400));
  }
  for (int call = 0; call < 3; ++call) {
    now += 2 * StoreBackoff::kMaxMeanDelay;
    if (const auto request = follower.NextCall(now)) {
      copy.Apply(follower.HandleAnswer(platform.Execute(*request), now));
    }
  }
  RC_ASSERT(copy.m_rows == expected);
  RC_ASSERT(follower.IsConnected());
}

/* Incident CONFIG: versions are given out again before a watch resumes. Answers
   name the era, as do refusals; a silent platform does not. */
RC_GTEST_PROP(TableFollower, CopyIsTrueThoughThePlatformComesBackFromACopy, ())
{
  InProcessPlatform platform;
  TableFollower follower(kTable, 3);
  Copy copy;
  StoreEra era = platform.Era();
  Instant now;
  const auto call = [&](bool aIsAnswered) {
    const auto request = follower.NextCall(now);
    if (!request) {
      return;
    }
    const StoreAnswer answer = platform.Execute(*request);
    if (!aIsAnswered) {
      copy.Apply(follower.HandleAnswer(StoreFailed{ "silent" }, now));
    } else if (std::exchange(era, platform.Era()) != platform.Era()) {
      follower.Restart(now);
    } else {
      copy.Apply(follower.HandleAnswer(answer, now));
    }
  };
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    const std::string key = std::to_string(*rc::gen::inRange(0, 6));
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        platform.Save();
        break;
      case 1:
        platform.Restore();
        break;
      case 2:
        Write(platform, key, std::nullopt);
        break;
      default:
        Write(platform, key, std::to_string(step));
    }
    if (*rc::gen::inRange(0, 2) == 0) {
      call(*rc::gen::inRange(0, 4) != 0);
    }
    now += Milliseconds(*rc::gen::inRange(0, 400));
  }
  for (int rest = 0; rest < 3; ++rest) {
    now += 2 * StoreBackoff::kMaxMeanDelay;
    call(true);
  }
  std::map<std::string, std::string> expected;
  const StoreAnswer table =
    platform.Execute(ScanRequest{ kTable, "", 100, "" });
  for (const Row& row : std::get<RowPage>(table).m_rows) {
    expected[row.m_key] = row.m_value;
  }
  RC_ASSERT(copy.m_rows == expected);
  RC_ASSERT(follower.IsConnected());
}

TEST(TableFollower, AChangeBetweenTwoPagesIsNotMissed)
{
  InProcessPlatform platform;
  constexpr int rows = 700;
  for (int row = 0; row < rows; ++row) {
    Write(platform, "row" + std::to_string(1000 + row), "old");
  }
  TableFollower follower(kTable, 1);
  Copy copy;
  Instant now;
  copy.Apply(
    follower.HandleAnswer(platform.Execute(*follower.NextCall(now)), now));
  EXPECT_FALSE(follower.IsLoaded());
  Write(platform, "row1001", "new");
  Write(platform, "row1002", std::nullopt);
  copy.Apply(
    follower.HandleAnswer(platform.Execute(*follower.NextCall(now)), now));
  EXPECT_TRUE(follower.IsLoaded());
  copy.Apply(
    follower.HandleAnswer(platform.Execute(*follower.NextCall(now)), now));
  EXPECT_EQ(copy.m_rows.size(), rows - 1U);
  EXPECT_EQ(copy.m_rows["row1001"], "new");
}

/* Watches that were sent to a silent platform hid all changes for 20 s after
   its return. */
TEST(TableFollower, WatchesAfterAFailureAreShort)
{
  InProcessPlatform platform;
  TableFollower follower(kTable, 1);
  Instant now;
  const auto wait = [&] {
    now += 2 * StoreBackoff::kMaxMeanDelay;
    const auto request = follower.NextCall(now);
    const auto* watch = std::get_if<WatchRequest>(&*request);
    return watch != nullptr ? watch->m_wait : Duration::zero();
  };
  wait();
  follower.HandleAnswer(RowPage{}, now);
  EXPECT_EQ(wait(), TableFollower::kMaxWatchWait);
  follower.HandleAnswer(StoreFailed{ "silent" }, now);
  Duration sum = Duration::zero();
  for (int answer = 0; answer < 5; ++answer) {
    const Duration last = wait();
    EXPECT_LE(last, sum + Seconds(1));
    sum += last;
    follower.HandleAnswer(RowChanges{}, now);
  }
  EXPECT_EQ(wait(), TableFollower::kMaxWatchWait);
}

TEST(TableFollower, CallsArePacedWhileThePlatformFails)
{
  TableFollower follower(kTable, 1);
  Instant now;
  int calls = 0;
  while (now < Instant(Seconds(60))) {
    if (follower.NextCall(now)) {
      ++calls;
      follower.HandleAnswer(StoreRefused{ "busy" }, now);
    }
    now += Milliseconds(10);
  }
  EXPECT_GT(calls, 40);
  EXPECT_LT(calls, 90);
  EXPECT_FALSE(follower.IsConnected());
}

/* Guards against one call per change during a fleet start; models the 71 nodes
   of the larger deployment starting 50 ms apart. */
TEST(TableFollower, RapidChangesShareCalls)
{
  InProcessPlatform platform;
  TableFollower follower(kTable, 3);
  Copy copy;
  Instant now{ Seconds(100) };
  copy.Apply(
    follower.HandleAnswer(platform.Execute(*follower.NextCall(now)), now));
  std::optional<StoreRequest> watch;
  int calls = 0;
  constexpr int nodes = 71;
  const auto step = [&](bool aHasChange) {
    now += Milliseconds(50);
    if (!watch) {
      watch = follower.NextCall(now);
      calls += watch ? 1 : 0;
    }
    const auto answer = watch ? platform.Execute(*watch) : StoreAnswer{};
    const auto* changes = std::get_if<RowChanges>(&answer);
    if (watch && (aHasChange || !changes->m_changes.empty())) {
      copy.Apply(follower.HandleAnswer(answer, now));
      watch.reset();
    }
  };
  for (int node = 0; node < nodes; ++node) {
    Write(platform, std::to_string(node), "up");
    step(true);
  }
  for (int wait = 0; wait < 20; ++wait) {
    step(false);
  }
  EXPECT_EQ(copy.m_rows.size(), static_cast<std::size_t>(nodes));
  EXPECT_LT(calls, 15);
  // An isolated change is still received without delay.
  now += Seconds(5);
  Write(platform, "alone", "up");
  ASSERT_TRUE(watch);
  copy.Apply(follower.HandleAnswer(platform.Execute(*watch), now));
  EXPECT_TRUE(copy.m_rows.contains("alone"));
  EXPECT_LE(follower.NextWakeup().value(), now);
}

TEST(TableFollower, OnlyOneCallIsPendingAtATime)
{
  TableFollower follower(kTable, 1);
  EXPECT_TRUE(follower.NextCall(Instant()));
  EXPECT_FALSE(follower.NextCall(Instant() + Seconds(9)));
  EXPECT_FALSE(follower.NextWakeup());
}

TEST(StoreCodec, WatchRequestsAndAnswersRoundTrip)
{
  const auto request =
    DecodeStoreRequest(EncodeStoreRequest(WatchRequest{ "t", 7, Seconds(3) }));
  ASSERT_TRUE(request);
  EXPECT_EQ(std::get<WatchRequest>(*request).m_after, 7U);
  EXPECT_EQ(std::get<WatchRequest>(*request).m_wait, Seconds(3));
  const StoreAnswer answer = DecodeStoreAnswer(EncodeStoreAnswer(
    RowChanges{ { { { "a", "1", 8 }, false }, { { "b", "", 9 }, true } }, 9 }));
  const auto& changes = std::get<RowChanges>(answer);
  EXPECT_EQ(changes.m_version, 9U);
  EXPECT_FALSE(changes.m_changes.at(0).m_isRemoved);
  EXPECT_TRUE(changes.m_changes.at(1).m_isRemoved);
  EXPECT_TRUE(std::holds_alternative<HistoryLost>(
    DecodeStoreAnswer(EncodeStoreAnswer(HistoryLost{}))));
  EXPECT_TRUE(std::holds_alternative<StoreRefused>(
    DecodeStoreAnswer(EncodeStoreAnswer(StoreRefused{ "busy" }))));
}

}

}
