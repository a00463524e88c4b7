#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "cr_transport/cr_transport.h"
#include "cr_transport/http/cr_HttpBody.h"

namespace cr {

namespace {

constexpr std::uint64_t kLimit = std::uint64_t{ 16 } << 20U;
constexpr std::uint64_t kSmall = 4096;
constexpr std::uint64_t kLarge = std::uint64_t{ 1 } << 20U;

std::shared_ptr<MemoryAccount>
MakeAccount()
{
  return std::make_shared<MemoryAccount>(kLimit);
}

/* Reserves as much as holders of the size get. */
std::vector<MemoryReservation>
Fill(const std::shared_ptr<MemoryAccount>& aAccount, std::uint64_t aBytes)
{
  std::vector<MemoryReservation> holders;
  while (true) {
    MemoryReservation holder(aAccount);
    if (!holder.TryResize(aBytes)) {
      return holders;
    }
    holders.push_back(std::move(holder));
  }
}

TEST(MemoryAccount, LargeHoldersLeaveRoomForSmallOnes)
{
  const auto account = MakeAccount();
  const auto large = Fill(account, kLarge);
  EXPECT_LE(account->Held(), account->LargestHolder());
  MemoryReservation small(account);
  EXPECT_TRUE(small.TryResize(kSmall));
}

TEST(MemoryAccount, ReservationsAreReleasedWithTheirHolders)
{
  const auto account = MakeAccount();
  {
    MemoryReservation first(account);
    ASSERT_TRUE(first.TryResize(kLarge));
    const MemoryReservation second(std::move(first));
    EXPECT_EQ(second.Bytes(), kLarge);
    EXPECT_EQ(account->Held(), kLarge);
  }
  EXPECT_EQ(account->Held(), 0U);
  EXPECT_EQ(account->Peak(), kLarge);
}

TEST(MemoryAccount, WaitingHoldersAreCalledInTurnAsRoomComes)
{
  const auto account = MakeAccount();
  auto holders = Fill(account, kLarge);
  std::vector<int> called;
  MemoryReservation first(account);
  MemoryReservation second(account);
  first.WaitForRoom(
    8 * kLarge, MemoryGrowth::Whole, [&] { called.push_back(1); });
  second.WaitForRoom(kLarge, MemoryGrowth::Whole, [&] { called.push_back(2); });
  MemoryReservation late(account);
  holders.pop_back();
  EXPECT_FALSE(late.TryResize(kLarge));
  EXPECT_TRUE(called.empty());
  while (called.empty() && !holders.empty()) {
    holders.pop_back();
  }
  EXPECT_EQ(called, std::vector<int>{ 1 });
  EXPECT_TRUE(first.TryResize(8 * kLarge));
  first.Settle(0);
  EXPECT_EQ(called, (std::vector<int>{ 1, 2 }));
}

TEST(MemoryAccount, CallbackOfAReleasedHolderIsNotCalled)
{
  const auto account = MakeAccount();
  auto holders = Fill(account, kLarge);
  bool isCalled = false;
  {
    MemoryReservation waiting(account);
    waiting.WaitForRoom(
      8 * kLarge, MemoryGrowth::Whole, [&] { isCalled = true; });
  }
  holders.clear();
  EXPECT_FALSE(isCalled);
}

/* Issue 58: holders that grow in steps must not block each other. */
TEST(MemoryAccount, OneOfTheHoldersThatGrowInStepsReachesItsSize)
{
  constexpr std::uint64_t step = 128 * 1024;
  constexpr std::uint64_t whole = kLimit / 2;
  const auto account = MakeAccount();
  constexpr int count = 8;
  std::vector<MemoryReservation> holders;
  holders.reserve(count);
  for (int number = 0; number < count; ++number) {
    holders.emplace_back(account);
  }
  bool isReached = false;
  constexpr std::uint64_t rounds = kLimit / step;
  for (std::uint64_t round = 0; round < rounds && !isReached; ++round) {
    for (MemoryReservation& holder : holders) {
      const std::uint64_t wanted = holder.Bytes() + step;
      if (!holder.TryResize(wanted, MemoryGrowth::Stepwise)) {
        holder.WaitForRoom(wanted, MemoryGrowth::Stepwise, [] {});
      }
      isReached |= holder.Bytes() >= whole;
    }
  }
  EXPECT_TRUE(isReached);
  EXPECT_LE(account->Peak(), kLimit);
}

/* Issue 58: two long chunked answers kept all bodies with a length out. */
TEST(MemoryAccount, HoldersThatGrowInStepsKeepNoOthersOut)
{
  const auto account = MakeAccount();
  MemoryReservation first(account);
  MemoryReservation second(account);
  ASSERT_TRUE(first.TryResize(kLimit / 4, MemoryGrowth::Stepwise));
  first.WaitForRoom(kLimit / 2, MemoryGrowth::Stepwise, [] {});
  ASSERT_TRUE(first.TryResize(kLimit / 2, MemoryGrowth::Stepwise));
  second.WaitForRoom(kLarge, MemoryGrowth::Stepwise, [] {});
  MemoryReservation whole(account);
  EXPECT_TRUE(whole.TryResize(kLarge));
  MemoryReservation late(account);
  bool isCalled = false;
  late.WaitForRoom(kLarge, MemoryGrowth::Whole, [&] { isCalled = true; });
  EXPECT_TRUE(isCalled);
}

TEST(MemoryAccount, IsConsistentWhenUsedByManyThreads)
{
  const auto account = MakeAccount();
  std::atomic<int> called{ 0 };
  constexpr int count = 4;
  std::vector<std::jthread> threads;
  threads.reserve(count);
  for (int thread = 0; thread < count; ++thread) {
    threads.emplace_back([&] {
      for (int round = 0; round < 2000; ++round) {
        MemoryReservation holder(account);
        if (!holder.TryResize(kLarge * (1 + round % 6))) {
          holder.WaitForRoom(kLarge, MemoryGrowth::Whole, [&] { ++called; });
        }
        holder.Resize(kSmall);
      }
    });
  }
  threads.clear();
  EXPECT_EQ(account->Held(), 0U);
  EXPECT_LE(account->Peak(), kLimit);
}

TEST(MemoryAccount, LimitLeavesRoomForTheProcessItself)
{
  constexpr std::uint64_t mebibyte = std::uint64_t{ 1 } << 20U;
  for (const std::uint64_t megabytes : { 16, 64, 160, 260, 512, 4096 }) {
    const std::uint64_t limit =
      MemoryAccount::LimitForProcess(megabytes * mebibyte);
    EXPECT_GT(limit, 0U);
    EXPECT_LE(limit, megabytes * mebibyte * 3 / 4);
  }
  // A request with the longest body of the users fits on their smallest hosts.
  EXPECT_GT(MemoryAccount(MemoryAccount::LimitForProcess(160 * mebibyte))
              .LargestHolder(),
            64 * mebibyte);
}

RC_GTEST_PROP(ReceivedBodyProperty,
              IsTheBytesThatWereAppended,
              (const std::vector<std::string>& aParts, bool aIsLengthKnown))
{
  std::string whole;
  for (const std::string& part : aParts) {
    whole += part;
  }
  ReceivedBody body;
  if (aIsLengthKnown) {
    body.Expect(whole.size());
  }
  for (const std::string& part : aParts) {
    body.Append(part);
  }
  RC_ASSERT(body.Size() == whole.size());
  RC_ASSERT(body.MemoryWith(0) >= whole.size());
  RC_ASSERT(body.Take() == whole);
}

TEST(ReceivedBody, LongBodyIsWhole)
{
  std::string whole;
  ReceivedBody body;
  for (int number = 0; whole.size() < 1'000'000; ++number) {
    const std::string part = std::to_string(number) + ",";
    whole += part;
    body.Append(part);
  }
  EXPECT_EQ(body.Take(), whole);
}

}

}
