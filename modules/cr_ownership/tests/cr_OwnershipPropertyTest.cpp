#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cr_ownership/cr_ownership.h"

namespace cr {

namespace {

constexpr std::size_t kNodes = 3;
constexpr WallMilliseconds kStart = 1'000'000;
constexpr WallMilliseconds kTolerance = 1'000;
constexpr OwnershipTimes kTimes = { 3'000, 500, 200, 300, 50 };

/* Whether a node trusts a lease that it checks against its own clock, or the
   interval of the key's birth time that the row gives it. */
enum class Rule : std::uint8_t
{
  LeaseByClock,
  BirthInterval
};

/* A node of the model: it knows the row as it read it last. */
struct ModelNode
{
  explicit ModelNode(std::size_t aNumber, std::uint64_t aIncarnation)
    : m_self{ "host-" + std::to_string(aNumber),
              Incarnation{ aIncarnation },
              {} }
    , m_holding(m_self)
  {
  }

  Owner m_self;
  Holding m_holding;
  KeyLedger m_ledger;
  OwnershipMapPointer m_map;
  RowVersion m_version = 0;
  /** Clock at the last step; a paused node acts on the time it saw last. */
  WallMilliseconds m_clock = kStart;
  std::uint64_t m_pausedFor = 0;
};

/* Three owners, one table row, and keys that customers send again and again to
   any node. Store answers are lost, writes arrive late, nodes pause and are
   replaced. */
class Model
{
public:
  Model(std::uint64_t aSeed, Rule aRule)
    : m_random(aSeed)
    , m_rule(aRule)
  {
    for (std::size_t number = 0; number < kNodes; ++number) {
      m_nodes.emplace_back(number, ++m_incarnations);
    }
  }

  void Run(std::size_t aSteps)
  {
    for (std::size_t step = 0; step < aSteps; ++step) {
      m_now += static_cast<WallMilliseconds>(m_random.NextBelow(40));
      const std::size_t number = m_random.NextBelow(kNodes);
      ModelNode& node = m_nodes.at(number);
      if (node.m_pausedFor > 0) {
        --node.m_pausedFor;
      } else if (m_random.NextBelow(40) == 0) {
        node.m_pausedFor = m_random.NextBelow(200);
      } else {
        node.m_clock = m_now;
      }
      Act(number, node);
    }
  }

  std::uint32_t MostRuns() const
  {
    std::uint32_t most = 0;
    for (const auto& [key, runs] : m_runs) {
      most = std::max(most, runs);
    }
    return most;
  }

  std::size_t Completed() const { return m_runs.size(); }
  bool HasFalseNotRun() const { return m_falseNotRun; }
  bool RowsWereSound() const { return m_rowsWereSound; }

private:
  void Act(std::size_t aNumber, ModelNode& aNode)
  {
    switch (m_random.NextBelow(24)) {
      case 0:
        ReadRow(aNode);
        break;
      case 1:
        PlanRow(aNode);
        break;
      case 2:
        DeliverLateWrite();
        break;
      case 3:
        if (m_random.NextBelow(10) == 0) {
          aNode = ModelNode(aNumber, ++m_incarnations);
        }
        break;
      default:
        SendKey(aNode);
    }
  }

  void ReadRow(ModelNode& aNode)
  {
    const auto found =
      std::get<RowFound>(m_platform.Execute(ReadRequest{ kRow }));
    if (m_random.NextBelow(4) == 0 || !found.m_row) {
      return;
    }
    const auto map = DecodeOwnershipMap(found.m_row->m_value);
    m_rowsWereSound = m_rowsWereSound && map.has_value();
    if (map && found.m_row->m_version > aNode.m_version) {
      aNode.m_map = std::make_shared<OwnershipMap>(*map);
      aNode.m_version = found.m_row->m_version;
      aNode.m_holding.Adopt(aNode.m_map, aNode.m_version);
    }
  }

  void PlanRow(ModelNode& aNode)
  {
    OwnershipSituation situation{ aNode.m_self, true, {}, aNode.m_clock };
    for (const ModelNode& node : m_nodes) {
      situation.m_ready.push_back(node.m_self);
    }
    situation.m_isReady = m_random.NextBelow(6) != 0;
    if (!situation.m_isReady) {
      std::erase(situation.m_ready, aNode.m_self);
    }
    const auto plan = PlanOwnership(aNode.m_map ? *aNode.m_map : OwnershipMap(),
                                    situation,
                                    kTimes,
                                    aNode.m_holding);
    if (!plan) {
      return;
    }
    const TransactRequest write{ { { kRow, aNode.m_version } },
                                 { { kRow,
                                     EncodeOwnershipMap(plan->m_map) } } };
    if (m_random.NextBelow(4) == 0) {
      m_late.push_back(write);
    } else {
      m_platform.Execute(write);
    }
  }

  void DeliverLateWrite()
  {
    if (!m_late.empty()) {
      m_platform.Execute(m_late.front());
      m_late.pop_front();
    }
  }

  void SendKey(ModelNode& aNode)
  {
    if (m_keys.empty() || m_random.NextBelow(3) == 0) {
      const auto skew = static_cast<WallMilliseconds>(m_random.NextBelow(600));
      m_keys.push_back(MakeIdempotencyKey(
        m_now + skew - 300, m_random.Next(), m_random.Next()));
    }
    const std::size_t recent = std::min<std::size_t>(m_keys.size(), 20);
    const IdempotencyKey key =
      m_keys.at(m_keys.size() - 1 - m_random.NextBelow(recent));
    const KeyedCall call{ key, { "shop", "book" } };
    const LedgerVerdict verdict = aNode.m_ledger.Find(call, 0);
    if (!std::holds_alternative<LedgerRun>(verdict) || !MayRun(aNode, key)) {
      return;
    }
    // The owner may refuse a key that it holds and tell "not run".
    if (m_random.NextBelow(10) == 0) {
      m_falseNotRun = m_falseNotRun || m_runs.contains(key);
      return;
    }
    if (!aNode.m_ledger.Begin(call, 0)) {
      ++m_runs[key];
      aNode.m_ledger.End(call, { Outcome::Completed }, nullptr);
    }
  }

  bool MayRun(ModelNode& aNode, const IdempotencyKey& aKey) const
  {
    const std::size_t partition = PartitionOf(aKey);
    if (m_rule == Rule::BirthInterval) {
      return aNode.m_holding.Accept(
               partition, *KeyTimestamp(aKey), aNode.m_clock + kTolerance) ==
             HoldingVerdict::Held;
    }
    const Segment* segment =
      aNode.m_map ? aNode.m_map->Find(partition, aNode.m_clock) : nullptr;
    return segment != nullptr && segment->m_owner == aNode.m_self;
  }

  static inline const RowKey kRow = OwnershipRow("shop");

  Random m_random;
  Rule m_rule;
  InProcessPlatform m_platform;
  std::vector<ModelNode> m_nodes;
  std::uint64_t m_incarnations = 0;
  WallMilliseconds m_now = kStart;
  std::deque<TransactRequest> m_late;
  std::vector<IdempotencyKey> m_keys;
  std::map<IdempotencyKey, std::uint32_t> m_runs;
  bool m_falseNotRun = false;
  bool m_rowsWereSound = true;
};

constexpr std::size_t kSteps = 1'500;
constexpr std::uint64_t kSchedules = 20;

RC_GTEST_PROP(OwnershipProperty, NoKeyRunsTwice, (std::uint64_t aSeed))
{
  Model model(aSeed, Rule::BirthInterval);
  model.Run(kSteps);
  RC_ASSERT(model.MostRuns() <= 1U);
  RC_ASSERT(!model.HasFalseNotRun());
  RC_ASSERT(model.RowsWereSound());
}

TEST(OwnershipProperty, ALeaseByTheClockRunsKeysTwice)
{
  std::size_t duplicates = 0;
  std::size_t completed = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Model naive(seed, Rule::LeaseByClock);
    naive.Run(kSteps);
    duplicates += naive.MostRuns() > 1 ? 1 : 0;
    Model model(seed, Rule::BirthInterval);
    model.Run(kSteps);
    ASSERT_EQ(model.MostRuns(), 1U) << "seed " << seed;
    completed += model.Completed();
  }
  EXPECT_GT(duplicates, 0U);
  EXPECT_GT(completed, kSchedules);
  RecordProperty("naive_schedules_with_duplicates",
                 static_cast<int>(duplicates));
  RecordProperty("completed", static_cast<int>(completed));
}

TEST(KeyLedger, ForgottenKeysAreUnknownNotFresh)
{
  KeyLedger ledger;
  const OperationName book{ "shop", "book" };
  const KeyedCall old{ MakeIdempotencyKey(5'000, 1, 1), book };
  ledger.Advance(Instant());
  ASSERT_FALSE(ledger.Begin(old, 0));
  ledger.End(old, { Outcome::Completed }, nullptr);
  ledger.Advance(Instant() + Seconds(1800));
  EXPECT_EQ(ledger.Size(), 0U);
  EXPECT_EQ(ledger.Begin(old, 0)->m_outcome, Outcome::Unknown);
  const KeyedCall fresh{ MakeIdempotencyKey(5'001, 1, 1), book };
  EXPECT_FALSE(ledger.Begin(fresh, 0));
}

TEST(KeyLedger, FullLedgerRefusesNewKeysAndKeepsOldOnes)
{
  KeyLedger ledger({ Seconds(60), 1, 1'000'000, 1 });
  const OperationName book{ "shop", "book" };
  const KeyedCall first{ MakeIdempotencyKey(1, 1, 1), book };
  const KeyedCall second{ MakeIdempotencyKey(2, 1, 1), book };
  ASSERT_FALSE(ledger.Begin(first, 0));
  EXPECT_EQ(ledger.Begin(second, 0)->m_outcome, Outcome::NotRun);
  EXPECT_TRUE(ledger.Attach(first, CallId{ 1 }));
  EXPECT_FALSE(ledger.Attach(first, CallId{ 2 }));
  EXPECT_EQ(ledger.End(first, { Outcome::Completed }, nullptr).size(), 1U);
  EXPECT_TRUE(std::holds_alternative<LedgerAnswered>(ledger.Find(first, 0)));
}

}

}
