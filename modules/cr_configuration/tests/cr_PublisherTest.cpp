#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cr_configuration/cr_configuration.h"

namespace cr {

namespace {

std::string
ServiceText(const std::string& aName, int aCallerTimeoutMs)
{
  return "{ \"service\": \"" + aName +
         "\", \"operations\": { \"look\": { \"importance\": \"low\", "
         "\"idempotent\": true, \"patience_ms\": " +
         std::to_string(aCallerTimeoutMs) + " } } }";
}

PublicationRequest
MakeRequest(const std::string& aPublication,
            const std::string& aService,
            int aCallerTimeoutMs)
{
  PublicationRequest request;
  request.m_files = { { aService + ".json",
                        ServiceText(aService, aCallerTimeoutMs) } };
  request.m_operator = "operator of " + aPublication;
  request.m_publicationId = aPublication;
  return request;
}

/* An in-process platform that can lose the answers of transactions and run
   callbacks before a transaction or after a lost answer. */
class Platform
{
public:
  PublicationResult Publish(const PublicationRequest& aRequest)
  {
    return cr::Publish(
      aRequest, [this](const StoreRequest& aStore) { return Execute(aStore); });
  }

  StoreAnswer Execute(const StoreRequest& aRequest)
  {
    if (!std::holds_alternative<TransactRequest>(aRequest)) {
      return m_table.Execute(aRequest);
    }
    if (const auto before = std::exchange(m_beforeTransaction, nullptr)) {
      before();
    }
    StoreAnswer answer = m_table.Execute(aRequest);
    if (m_lostAnswers == 0) {
      return answer;
    }
    --m_lostAnswers;
    if (const auto after = std::exchange(m_afterLostAnswer, nullptr)) {
      after();
    }
    return StoreFailed{ "lost" };
  }

  Generation Head()
  {
    const auto found =
      std::get<RowFound>(m_table.Execute(ReadRequest{ HeadRow() }));
    return found.m_row ? DecodeHead(found.m_row->m_value)->m_generation : 0;
  }

  /** Returns the object name of an active service; empty when there is none. */
  std::string ObjectOf(const std::string& aService)
  {
    const auto head =
      std::get<RowFound>(m_table.Execute(ReadRequest{ HeadRow() }));
    const std::string name = DecodeHead(head.m_row->m_value)->m_manifest;
    const auto text =
      std::get<ObjectFound>(m_table.Execute(GetObjectRequest{ name }));
    return DecodeManifest(*text.m_content)->m_objects[aService];
  }

  InProcessPlatform m_table;
  std::function<void()> m_beforeTransaction;
  std::function<void()> m_afterLostAnswer;
  int m_lostAnswers = 0;
};

Generation
PublishedGeneration(const PublicationResult& aResult)
{
  const auto* published = std::get_if<Published>(&aResult);
  return published == nullptr ? 0 : published->m_generation;
}

TEST(Publisher, LostAnswerIsSettledThoughAnotherPublicationFollowed)
{
  Platform platform;
  platform.m_lostAnswers = 1;
  platform.m_afterLostAnswer = [&] {
    EXPECT_EQ(
      PublishedGeneration(platform.Publish(MakeRequest("b", "beta", 2))), 2U);
  };
  EXPECT_EQ(PublishedGeneration(platform.Publish(MakeRequest("a", "alpha", 1))),
            1U);
  EXPECT_EQ(platform.Head(), 2U);
}

TEST(Publisher, RetryOfAnUnresolvedPublicationPublishesOnce)
{
  Platform platform;
  platform.m_lostAnswers = 1;
  platform.m_afterLostAnswer = [&] { platform.m_lostAnswers = 100; };
  PublicationRequest request = MakeRequest("a", "alpha", 1);
  platform.Publish(request);
  platform.m_lostAnswers = 0;
  platform.Publish(MakeRequest("b", "beta", 2));
  request.m_isRetry = true;
  EXPECT_EQ(PublishedGeneration(platform.Publish(request)), 1U);
  EXPECT_EQ(platform.Head(), 2U);
}

TEST(Publisher, RacingOperatorsOnOneBaseHaveOneWinner)
{
  Platform platform;
  platform.Publish(MakeRequest("0", "alpha", 1));
  PublicationRequest loser = MakeRequest("a", "alpha", 2);
  loser.m_baseGeneration = 1;
  PublicationRequest winner = MakeRequest("b", "beta", 3);
  winner.m_baseGeneration = 1;
  platform.m_beforeTransaction = [&] {
    EXPECT_EQ(PublishedGeneration(platform.Publish(winner)), 2U);
  };
  const auto result = platform.Publish(loser);
  const auto* conflict = std::get_if<PublicationConflict>(&result);
  ASSERT_NE(conflict, nullptr);
  EXPECT_EQ(conflict->m_head.m_operator, "operator of b");
  EXPECT_EQ(conflict->m_head.m_generation, 2U);
  EXPECT_EQ(platform.ObjectOf("alpha"), ObjectName(ServiceText("alpha", 1)));
}

TEST(Publisher, PartialPublicationKeepsWhatAnotherTeamPublishedMeanwhile)
{
  Platform platform;
  platform.m_beforeTransaction = [&] {
    platform.Publish(MakeRequest("b", "beta", 2));
  };
  EXPECT_EQ(PublishedGeneration(platform.Publish(MakeRequest("a", "alpha", 1))),
            2U);
  EXPECT_EQ(platform.ObjectOf("alpha"), ObjectName(ServiceText("alpha", 1)));
  EXPECT_EQ(platform.ObjectOf("beta"), ObjectName(ServiceText("beta", 2)));
}

TEST(Publisher, RacingChangesOfOneServiceConflictWithoutABase)
{
  Platform platform;
  platform.m_beforeTransaction = [&] {
    platform.Publish(MakeRequest("b", "alpha", 2));
  };
  const auto result = platform.Publish(MakeRequest("a", "alpha", 1));
  EXPECT_TRUE(std::holds_alternative<PublicationConflict>(result));
  EXPECT_EQ(platform.ObjectOf("alpha"), ObjectName(ServiceText("alpha", 2)));
}

TEST(Publisher, RejectedAndDryPublicationsWriteNothing)
{
  Platform platform;
  platform.m_beforeTransaction = [] {
    ADD_FAILURE() << "a transaction was sent";
  };
  PublicationRequest wrong = MakeRequest("a", "alpha", 1);
  wrong.m_files.front().m_text.replace(0, 1, "[");
  EXPECT_TRUE(
    std::holds_alternative<PublicationRejected>(platform.Publish(wrong)));
  PublicationRequest dry = MakeRequest("a", "alpha", 1);
  dry.m_dryRun = true;
  const auto result = platform.Publish(dry);
  const auto* checked = std::get_if<PublicationChecked>(&result);
  ASSERT_NE(checked, nullptr);
  EXPECT_EQ(checked->m_changed, std::vector<std::string>{ "alpha" });
  EXPECT_EQ(platform.Head(), 0U);
}

TEST(Publisher, OlderContentIsPublishedAsANewGeneration)
{
  Platform platform;
  platform.Publish(MakeRequest("1", "alpha", 1));
  platform.Publish(MakeRequest("2", "alpha", 2));
  platform.Publish(MakeRequest("3", "beta", 3));
  PublicationRequest earlier;
  earlier.m_publicationId = "4";
  earlier.m_sourceGeneration = 1;
  EXPECT_EQ(PublishedGeneration(platform.Publish(earlier)), 4U);
  EXPECT_EQ(platform.ObjectOf("alpha"), ObjectName(ServiceText("alpha", 1)));
  EXPECT_EQ(platform.ObjectOf("beta"), "");
  earlier.m_publicationId = "5";
  earlier.m_sourceGeneration = 9;
  EXPECT_EQ(PublishedGeneration(platform.Publish(earlier)), 0U);
}

/* Concurrent publications with lost answers: all reported generations are
   distinct, and each service has the content of the change with the highest
   published generation. */
RC_GTEST_PROP(PublisherProperty, NoPublishedChangeIsLost, ())
{
  Platform platform;
  Random random(*rc::gen::inRange(1U, 1000000U));
  std::map<Generation, std::pair<std::string, int>> published;
  int number = 0;
  const std::function<void(int)> publishOne = [&](int aDepth) {
    const std::string service =
      "service-" + std::to_string(random.NextBelow(4));
    const int callerTimeoutMs = ++number;
    if (aDepth < 3 && random.NextBelow(2) == 0) {
      platform.m_beforeTransaction = [&, aDepth] { publishOne(aDepth + 1); };
    }
    platform.m_lostAnswers = static_cast<int>(random.NextBelow(3));
    const Generation generation = PublishedGeneration(platform.Publish(
      MakeRequest(std::to_string(number), service, callerTimeoutMs)));
    if (generation != 0) {
      RC_ASSERT(
        published.emplace(generation, std::pair(service, callerTimeoutMs))
          .second);
    }
  };
  for (int round = 0; round < 8; ++round) {
    publishOne(0);
  }
  std::map<std::string, int> newest;
  for (const auto& [generation, change] : published) {
    newest[change.first] = change.second;
  }
  RC_ASSERT(published.rbegin()->first == platform.Head());
  RC_ASSERT(published.size() == platform.Head());
  for (const auto& [service, callerTimeoutMs] : newest) {
    RC_ASSERT(platform.ObjectOf(service) ==
              ObjectName(ServiceText(service, callerTimeoutMs)));
  }
}

TEST(ConfigurationCheck, AllFindingsComeAtOnceWithTheirPlaces)
{
  const std::vector<ServiceFileText> files = {
    { "a.json",
      "{ \"service\": \"a\", \"operations\": {\n"
      "  \"one\": { \"importance\": \"low\", \"idempotent\": true,\n"
      "    \"patience_ms\": 100, \"calls\": [\"b/two\", \"b/none\"] } } }" },
    { "b.json",
      "{ \"service\": \"b\", \"operations\": {\n"
      "  \"two\": { \"importance\": \"low\", \"attempts\": 1,\n"
      "    \"patience_ms\": 200, \"calls\": [\"a/one\"] } } }" }
  };
  const std::string text = ToText(CheckFiles(files));
  EXPECT_THAT(text, testing::HasSubstr("a.json:3:35: b/two is not idempotent"));
  EXPECT_THAT(text, testing::HasSubstr("a.json:3:35: b/two is waited for"));
  EXPECT_THAT(text, testing::HasSubstr("a.json:3:44: b/none is not an"));
  EXPECT_THAT(text, testing::HasSubstr("b.json:3:35: a/one closes a cycle"));
}

}

}
