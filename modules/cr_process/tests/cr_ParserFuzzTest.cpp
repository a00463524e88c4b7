#include <gtest/gtest.h>

#include "tests/fuzz/cr_ParserInputs.h"

namespace cr {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kInputsPerParser = 3000;
constexpr int kMaxMutations = 6;

/* A parser check and the valid texts that are mutated for it. */
struct Target
{
  std::string m_name;
  ParserCheck m_check;
  std::vector<std::string> m_corpus;
};

std::string
GossipText()
{
  GossipMessage message;
  message.m_sender = { "host-1", Incarnation{ 5 },
                       2,        "r",
                       "a",      { "127.0.0.1", 1000 },
                       "shop",   ServerState::Ready };
  message.m_rows = { message.m_sender };
  message.m_generation = 7;
  message.m_suspects = { { RequestKey{ 1, 2 }, 1, Seconds(3) } };
  message.m_bucketDigests.assign(kBucketCount, 9);
  message.m_requestedBuckets = { 1, 2 };
  return WriteJson(EncodeGossip(message));
}

std::vector<Target>
Targets()
{
  return {
    { "node settings",
      CheckNodeSettings,
      { R"({ "host": "h", "region": "r", "data_centre": "d", // comment
             "address": "127.0.0.1", "caller_port": 1, "peer_port": 2,
             "operator_port": 3, "threads": 4,
             "platform": { "address": "127.0.0.1", "port": 5 } })" } },
    { "service file",
      CheckServiceFile,
      { R"({ "service": "shop", "objective": "recovery", "operations": {
             "book": { "importance": "protected", "idempotent": false,
                       "patience_ms": 5000, "attempts": 9,
                       "calls": ["shop/look"] },
             "look": { "importance": "low", "patience_ms": 50 } } })" } },
    { "store request",
      CheckStoreRequest,
      { EncodeStoreRequest(TransactRequest{
          { { { "t", "k" }, 3 } },
          { { { "t", "k" }, "v" }, { { "t", "l" }, std::nullopt } } }),
        EncodeStoreRequest(ScanRequest{ "t", "a", 5, "p" }),
        EncodeStoreRequest(ReadRequest{ { "t", "k" } }),
        EncodeStoreRequest(PutObjectRequest{ "n", "c" }) } },
    { "store answer",
      CheckStoreAnswer,
      { EncodeStoreAnswer(Committed{}),
        EncodeStoreAnswer(ConditionFailed{ { { { "t", "k" }, 3 } } }),
        EncodeStoreAnswer(RowPage{ { { "k", "v", 1 } }, true }),
        EncodeStoreAnswer(RowFound{ Row{ "k", "v", 1 } }),
        EncodeStoreAnswer(ObjectFound{ "content" }) } },
    { "rumour", CheckGossip, { GossipText() } },
    { "rpc", CheckRpc, { EncodeRpcCall("rumour", *ParseJson(GossipText())) } },
    { "publication rows",
      CheckPublicationRows,
      { EncodeHead({ 1, "m", "p", "o", 5 }),
        EncodeRecord({ { 1, "m", "p", "o", 5 }, 0, { "a" }, { "b" }, 1 }),
        EncodeManifest({ { { "shop", "object" } } }) } },
  };
}

/* Applies 1 to kMaxMutations random changes: overwrites, inserts, removes,
   duplicates or replaces bytes. */
std::string
Mutate(std::string aText, Random& aRandom)
{
  static const std::vector<std::string> tokens = {
    "null",  "-1",      "18446744073709551616",
    "1e999", "[",       "{",
    "\"",    "\\u0000", "true",
    ",",     ":",       "/*",
    "]",     "}",       "\n",
    "\xff"
  };
  const std::uint64_t count = 1 + aRandom.NextBelow(kMaxMutations);
  for (std::uint64_t step = 0; step < count && !aText.empty(); ++step) {
    const std::size_t at = aRandom.NextBelow(aText.size());
    const std::size_t length = 1 + aRandom.NextBelow(8);
    switch (aRandom.NextBelow(5)) {
      case 0:
        aText[at] = static_cast<char>(aRandom.NextBelow(256));
        break;
      case 1:
        aText.insert(at, tokens.at(aRandom.NextBelow(tokens.size())));
        break;
      case 2:
        aText.erase(at, length);
        break;
      case 3:
        aText.insert(at, aText.substr(at, length));
        break;
      default:
        aText.replace(at, length, tokens.at(aRandom.NextBelow(tokens.size())));
    }
  }
  return aText;
}

TEST(ParserFuzz, MutatedInputsAreParsedOrRejected)
{
  Random random(kSeed);
  for (const Target& target : Targets()) {
    for (const std::string& text : target.m_corpus) {
      EXPECT_EQ(target.m_check(text), "") << target.m_name;
    }
    for (int number = 0; number < kInputsPerParser; ++number) {
      const std::string input = Mutate(
        target.m_corpus.at(random.NextBelow(target.m_corpus.size())), random);
      std::string mismatch;
      ASSERT_NO_THROW(mismatch = target.m_check(input))
        << target.m_name << ": " << input;
      ASSERT_EQ(mismatch, "") << target.m_name << ": " << input;
    }
  }
}

}

}
