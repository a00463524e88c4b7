#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cr_ownership/cr_ownership.h"

namespace cr {

namespace {

constexpr std::size_t kNodes = 3;
constexpr WallMilliseconds kStart = 1'000'000;
constexpr WallMilliseconds kTolerance = 1'000;
constexpr OwnershipTiming kTimes = { 3'000, 500, 200, 300, 50 };

/* Rule by which a node decides that it owns a key: a lease checked against its
   local clock, or the interval of birth times in the ownership row. */
enum class Rule : std::uint8_t
{
  LocalClockLease,
  BirthInterval
};

/* A node of the model, with the row as it last read it. */
struct ModelNode
{
  explicit ModelNode(std::size_t aNumber, std::uint64_t aIncarnation)
    : m_self{ "host-" + std::to_string(aNumber),
              Incarnation{ aIncarnation },
              {} }
    , m_ownership(m_self)
  {
  }

  Owner m_self;
  LocalOwnership m_ownership;
  KeyLedger m_ledger;
  OwnershipMapPointer m_map;
  RowVersion m_version = 0;
  /** Clock at the last step. A paused node uses the time from before the
      pause. */
  WallMilliseconds m_clock = kStart;
  std::uint64_t m_pausedFor = 0;
};

/* Model of three owners, one table row, and keys that customers resend to any
   node. Store answers are lost, writes are delayed, and nodes pause and are
   replaced. Guards against a key that runs twice, or is reported as not run
   although it ran. */
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
      Step(number, node);
    }
  }

  std::uint32_t MaxRuns() const
  {
    std::uint32_t maxRuns = 0;
    for (const auto& [key, runs] : m_runs) {
      maxRuns = std::max(maxRuns, runs);
    }
    return maxRuns;
  }

  std::size_t Completed() const { return m_runs.size(); }
  bool HasFalseNotRun() const { return m_hasFalseNotRun; }
  bool AreRowsConsistent() const { return m_areRowsConsistent; }

private:
  void Step(std::size_t aNumber, ModelNode& aNode)
  {
    switch (m_random.NextBelow(24)) {
      case 0:
        ReadRow(aNode);
        break;
      case 1:
        PlanRow(aNode);
        break;
      case 2:
        DeliverDelayedWrite();
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
    m_areRowsConsistent = m_areRowsConsistent && map.has_value();
    if (map && found.m_row->m_version > aNode.m_version) {
      aNode.m_map = std::make_shared<OwnershipMap>(*map);
      aNode.m_version = found.m_row->m_version;
      aNode.m_ownership.UpdateMap(aNode.m_map, aNode.m_version);
    }
  }

  void PlanRow(ModelNode& aNode)
  {
    OwnershipPlanInput input{ aNode.m_self, true, {}, aNode.m_clock };
    for (const ModelNode& node : m_nodes) {
      input.m_ready.push_back(node.m_self);
    }
    input.m_isReady = m_random.NextBelow(6) != 0;
    if (!input.m_isReady) {
      std::erase(input.m_ready, aNode.m_self);
    }
    const auto plan = PlanOwnership(aNode.m_map ? *aNode.m_map : OwnershipMap(),
                                    input,
                                    kTimes,
                                    aNode.m_ownership);
    if (!plan) {
      return;
    }
    const TransactRequest write{ { { kRow, aNode.m_version } },
                                 { { kRow,
                                     EncodeOwnershipMap(plan->m_map) } } };
    if (m_random.NextBelow(4) == 0) {
      m_delayedWrites.push_back(write);
    } else {
      m_platform.Execute(write);
    }
  }

  void DeliverDelayedWrite()
  {
    if (!m_delayedWrites.empty()) {
      m_platform.Execute(m_delayedWrites.front());
      m_delayedWrites.pop_front();
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
    const LedgerResult result = aNode.m_ledger.Find(call, 0);
    if (!std::holds_alternative<LedgerNewKey>(result) || !MayRun(aNode, key)) {
      return;
    }
    // An owner may refuse a key that it owns and report it as not run.
    if (m_random.NextBelow(10) == 0) {
      m_hasFalseNotRun = m_hasFalseNotRun || m_runs.contains(key);
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
      return aNode.m_ownership.Accept(
               partition, *KeyTimestamp(aKey), aNode.m_clock + kTolerance) ==
             OwnershipStatus::Owned;
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
  std::deque<TransactRequest> m_delayedWrites;
  std::vector<IdempotencyKey> m_keys;
  std::map<IdempotencyKey, std::uint32_t> m_runs;
  bool m_hasFalseNotRun = false;
  bool m_areRowsConsistent = true;
};

constexpr std::size_t kSteps = 1'500;
constexpr std::uint64_t kSchedules = 20;

RC_GTEST_PROP(OwnershipProperty, NoKeyRunsTwice, (std::uint64_t aSeed))
{
  Model model(aSeed, Rule::BirthInterval);
  model.Run(kSteps);
  RC_ASSERT(model.MaxRuns() <= 1U);
  RC_ASSERT(!model.HasFalseNotRun());
  RC_ASSERT(model.AreRowsConsistent());
}

TEST(OwnershipProperty, ALeaseByTheClockRunsKeysTwice)
{
  std::size_t duplicates = 0;
  std::size_t completed = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Model clockModel(seed, Rule::LocalClockLease);
    clockModel.Run(kSteps);
    duplicates += clockModel.MaxRuns() > 1 ? 1 : 0;
    Model model(seed, Rule::BirthInterval);
    model.Run(kSteps);
    ASSERT_EQ(model.MaxRuns(), 1U) << "seed " << seed;
    completed += model.Completed();
  }
  EXPECT_GT(duplicates, 0U);
  EXPECT_GT(completed, kSchedules);
  RecordProperty("naive_schedules_with_duplicates",
                 static_cast<int>(duplicates));
  RecordProperty("completed", static_cast<int>(completed));
}

TEST(KeyLedger, RemovedKeysAreUnknownNotNew)
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
  EXPECT_TRUE(std::holds_alternative<LedgerEnded>(ledger.Find(first, 0)));
}

}

}
