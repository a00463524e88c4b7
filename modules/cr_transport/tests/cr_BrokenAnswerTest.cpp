#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "cr_transport/cr_transport.h"
#include "scripted_stand_in/scripted_stand_in.h"

namespace cr {

namespace {

constexpr std::string_view kFields = "Echo: x\r\n";
constexpr Duration kTimeout = Seconds(10);

/* Returns the answer with the identifier of the request, which has one letter,
   in place of that of the forms. */
ScriptedAnswer
Identified(ScriptedAnswer aAnswer, const ScriptedRequest& aRequest)
{
  const std::size_t field = aAnswer.m_bytes.find(kFields);
  if (field != std::string::npos) {
    aAnswer.m_bytes.at(aAnswer.m_bytes.find('x', field)) =
      FindField(aRequest, "Echo").front();
  }
  return aAnswer;
}

struct Client
{
  HttpResult Send(const Endpoint& aEndpoint, char aId = 'x')
  {
    return Send(aEndpoint, { "GET", "/", {}, "" }, aId);
  }

  HttpResult Send(const Endpoint& aEndpoint,
                  HttpRequest aRequest,
                  char aId = 'x')
  {
    aRequest.m_headers = { { "Echo", std::string(1, aId) } };
    HttpSendOptions options;
    options.m_echoedHeader = "Echo";
    options.m_timeout = kTimeout;
    auto promise = std::make_shared<std::promise<HttpResult>>();
    m_client.Send(aEndpoint, aRequest, options, [promise](HttpResult aResult) {
      promise->set_value(std::move(aResult));
    });
    return promise->get_future().get();
  }

  explicit Client(std::uint32_t aThreads = 1)
    : m_threads(aThreads)
  {
  }

  IoThreads m_threads;
  HttpClient m_client{ m_threads, {} };
};

/* Returns the body; "no answer" after a failure. */
std::string
BodyOf(const HttpResult& aResult)
{
  const auto* response = std::get_if<HttpResponse>(&aResult);
  return response != nullptr ? response->m_body : "no answer";
}

/* Whether the exchange failed, as one whose request may have run. */
testing::AssertionResult
IsBroken(const HttpResult& aResult)
{
  if (const auto* response = std::get_if<HttpResponse>(&aResult)) {
    return testing::AssertionFailure()
           << "status " << response->m_status << " and "
           << response->m_body.size() << " bytes were taken for an answer";
  }
  const auto& failure = std::get<HttpFailure>(aResult);
  if (!failure.m_sent || failure.m_timedOut || failure.m_unreachable) {
    return testing::AssertionFailure() << "failed with: " << failure.m_text;
  }
  return testing::AssertionSuccess();
}

std::string
NameOf(const testing::TestParamInfo<AnswerForm>& aInfo)
{
  return aInfo.param.m_name;
}

class BrokenAnswer : public testing::TestWithParam<AnswerForm>
{};

TEST_P(BrokenAnswer, IsAFailureOnAFreshConnection)
{
  for (const std::size_t pieceBytes : { 0, 1 }) {
    ScriptedServer server([&](const ScriptedRequest& /*aRequest*/) {
      ScriptedAnswer answer = MakeAnswer(GetParam());
      answer.m_pieceBytes = pieceBytes;
      return answer;
    });
    Client client;
    EXPECT_TRUE(IsBroken(client.Send(server.Address())));
  }
}

TEST_P(BrokenAnswer, IsAFailureOnAKeptConnectionWhichIsThenClosed)
{
  const AnswerForm sound = SoundAnswers(kFields).front();
  ScriptedServer server([&](const ScriptedRequest& aRequest) {
    return Identified(MakeAnswer(aRequest.m_earlier == 0 ? sound : GetParam()),
                      aRequest);
  });
  Client client;
  EXPECT_EQ(BodyOf(client.Send(server.Address(), 'a')), kFormBody);
  EXPECT_TRUE(IsBroken(client.Send(server.Address(), 'b')));
  EXPECT_EQ(server.Connections(), 1U);
  EXPECT_EQ(BodyOf(client.Send(server.Address(), 'c')), kFormBody);
  EXPECT_EQ(server.Connections(), 2U);
}

TEST_P(BrokenAnswer, IsNoReasonToSendTheRequestAgain)
{
  const AnswerForm sound = SoundAnswers(kFields).front();
  std::atomic<int> requests{ 0 };
  ScriptedServer server([&](const ScriptedRequest& aRequest) {
    ++requests;
    return Identified(MakeAnswer(aRequest.m_earlier == 0 ? sound : GetParam()),
                      aRequest);
  });
  Client client;
  EXPECT_EQ(BodyOf(client.Send(server.Address(), 'a')), kFormBody);
  EXPECT_TRUE(IsBroken(client.Send(server.Address(), 'b')));
  EXPECT_EQ(requests, 2);
}

TEST_P(BrokenAnswer, OfTheStoreIsAFailure)
{
  ScriptedServer server([&](const ScriptedRequest& /*aRequest*/) {
    return MakeAnswer(GetParam());
  });
  IoThreads threads(1);
  HttpClient client(threads, {});
  StoreConnection store(client, server.Address(), kTimeout);
  const StoreAnswer answer = store.SendAndWait(ReadRequest{ { "t", "k" } });
  ASSERT_TRUE(std::holds_alternative<StoreFailed>(answer));
  EXPECT_NE(std::get<StoreFailed>(answer).m_text, "timed out");
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         BrokenAnswer,
                         testing::ValuesIn(BrokenAnswers(kFields)),
                         NameOf);

class SoundAnswer : public testing::TestWithParam<AnswerForm>
{};

TEST_P(SoundAnswer, IsPassedOnWhole)
{
  for (const std::size_t pieceBytes : { 0, 1 }) {
    ScriptedServer server([&](const ScriptedRequest& aRequest) {
      ScriptedAnswer answer = Identified(MakeAnswer(GetParam()), aRequest);
      answer.m_pieceBytes = pieceBytes;
      // A reset discards what the kernel has not sent yet.
      answer.m_pause = pieceBytes == 0 ? Duration::zero() : Milliseconds(50);
      return answer;
    });
    Client client;
    for (std::size_t request = 0; request < 2; ++request) {
      // A connection that the server ends must have ended, so that it is not
      // reused.
      while (server.Answers() < request) {
        std::this_thread::sleep_for(Milliseconds(1));
      }
      const char id = request == 0 ? 'a' : 'b';
      const HttpResult result = client.Send(server.Address(), id);
      ASSERT_TRUE(std::holds_alternative<HttpResponse>(result))
        << std::get<HttpFailure>(result).m_text;
      const auto& response = std::get<HttpResponse>(result);
      EXPECT_EQ(response.m_body, kFormBody);
      EXPECT_EQ(FindHeader(response.m_headers, "Echo"), std::string(1, id));
      const std::string status = std::to_string(response.m_status);
      EXPECT_TRUE(status == "200" || GetParam().m_name == "Status" + status);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         SoundAnswer,
                         testing::ValuesIn(SoundAnswers(kFields)),
                         NameOf);

/* An answer to a long upload that the server does not read to its end. */
struct EarlyAnswer
{
  const char* m_name;
  std::string m_bytes;
  ConnectionEnding m_ending;
  bool m_isWhole;
};

const std::string kOk = "HTTP/1.1 200 OK\r\nEcho: x\r\n";

std::vector<EarlyAnswer>
EarlyAnswers()
{
  constexpr auto reset = ConnectionEnding::Reset;
  constexpr auto finish = ConnectionEnding::Finish;
  constexpr auto finishThenReset = ConnectionEnding::FinishThenReset;
  const std::string length = kOk + "Content-Length: 5\r\n\r\n";
  const std::string chunks = kOk + "Transfer-Encoding: chunked\r\n\r\n5\r\n";
  const std::string http10 = "HTTP/1.0 200 OK\r\nEcho: x\r\n\r\n";
  return {
    { "NoLengthThenReset", kOk + "\r\nwho", reset, false },
    { "NoLengthNoBodyThenReset", kOk + "\r\n", reset, false },
    { "Http10ThenReset", http10 + "who", reset, false },
    { "LengthCutByReset", length + "who", reset, false },
    { "ChunksCutByReset", chunks + "whole\r\n", reset, false },
    { "NothingThenReset", "", reset, false },
    { "LengthCutByFinish", length + "who", finish, false },
    { "ChunksCutByFinish", chunks + "whole\r\n", finish, false },
    { "Length", length + "whole", ConnectionEnding::Keep, true },
    { "LengthThenReset", length + "whole", reset, true },
    { "ChunksThenReset", chunks + "whole\r\n0\r\n\r\n", reset, true },
    { "NoLengthThenFinish", kOk + "\r\nwhole", finish, true },
    { "Http10ThenFinish", http10 + "whole", finish, true },
    { "NoLengthThenFinishAndReset", kOk + "\r\nwhole", finishThenReset, true },
  };
}

class LongUpload : public testing::TestWithParam<EarlyAnswer>
{
protected:
  static constexpr std::size_t kUploadBytes = std::size_t{ 16 } * 1024 * 1024;
  static constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;

  static ScriptedServerSettings Settings()
  {
    ScriptedServerSettings settings;
    settings.m_unreadBytes = kUploadBytes - kReadBytes;
    return settings;
  }

  static ScriptedAnswer Answer()
  {
    ScriptedAnswer answer;
    answer.m_bytes = GetParam().m_bytes;
    answer.m_ending = GetParam().m_ending;
    return answer;
  }

  static HttpRequest Upload()
  {
    return { "POST", "/", {}, std::string(kUploadBytes, 'u') };
  }

  static void Check(const HttpResult& aResult)
  {
    if (GetParam().m_isWhole) {
      EXPECT_EQ(BodyOf(aResult), kFormBody);
    } else {
      EXPECT_TRUE(IsBroken(aResult));
    }
  }
};

/* The server answers, and ends the connection a moment later. */
TEST_P(LongUpload, GetsOnlyAWholeAnswer)
{
  ScriptedServer server(
    [](const ScriptedRequest& /*aRequest*/) {
      ScriptedAnswer answer = Answer();
      answer.m_pause = Milliseconds(50);
      return answer;
    },
    Settings());
  Client client;
  Check(client.Send(server.Address(), Upload()));
}

TEST_P(LongUpload, GetsOnlyAWholeAnswerOnAKeptConnection)
{
  const AnswerForm sound = SoundAnswers(kFields).front();
  ScriptedServer server(
    [&](const ScriptedRequest& aRequest) {
      ScriptedAnswer answer = Identified(
        aRequest.m_earlier == 0 ? MakeAnswer(sound) : Answer(), aRequest);
      answer.m_pause = Milliseconds(50);
      return answer;
    },
    Settings());
  Client client;
  EXPECT_EQ(BodyOf(client.Send(server.Address(), 'a')), kFormBody);
  Check(client.Send(server.Address(), Upload(), 'b'));
  EXPECT_EQ(server.Connections(), 1U);
}

/* The client's thread learns of the answer and of the end of the connection at
   once, as a busy one does. */
TEST_P(LongUpload, GetsOnlyAWholeAnswerWhenTheClientIsBusy)
{
  Client client;
  std::promise<void> unblock;
  auto isUnblocked = unblock.get_future().share();
  ScriptedServer server(
    [&](const ScriptedRequest& /*aRequest*/) {
      std::promise<void> blocked;
      client.m_threads.Post([&] {
        blocked.set_value();
        isUnblocked.wait();
      });
      blocked.get_future().wait();
      return Answer();
    },
    Settings());
  auto result = std::async(std::launch::async, [&] {
    return client.Send(server.Address(), Upload());
  });
  while (server.Answers() == 0) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
  std::this_thread::sleep_for(Milliseconds(20));
  unblock.set_value();
  Check(result.get());
}

/* The ends of the read and of the write may be seen in any order. */
TEST_P(LongUpload, GetsOnlyAWholeAnswerWithSeveralThreads)
{
  ScriptedServer server(
    [](const ScriptedRequest& /*aRequest*/) { return Answer(); }, Settings());
  Client client(4);
  for (int round = 0; round < 10; ++round) {
    Check(client.Send(server.Address(), Upload()));
  }
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         LongUpload,
                         testing::ValuesIn(EarlyAnswers()),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

TEST(BrokenAnswers, SuccessWithAnyStatusNeedsTheId)
{
  for (const char* status : { "200", "226", "250", "299" }) {
    ScriptedServer server({ std::string("HTTP/1.1 ") + status +
                            " X\r\nContent-Length: 5\r\n\r\nwhole" });
    Client client;
    EXPECT_TRUE(IsBroken(client.Send(server.Address()))) << status;
  }
}

TEST(BrokenAnswers, TrailerIsNoPartOfTheHeader)
{
  ScriptedServer server({ kOk + "Transfer-Encoding: chunked\r\n\r\n"
                                "5\r\nwhole\r\n0\r\nNot-Run: 1\r\n\r\n" });
  Client client;
  const HttpResult result = client.Send(server.Address());
  EXPECT_EQ(BodyOf(result), kFormBody);
  EXPECT_EQ(FindHeader(std::get<HttpResponse>(result).m_headers, "Not-Run"),
            "");
}

/* A length below the body's cannot be told from a complete answer with bytes
   behind it; these bytes begin no other answer. */
TEST(BrokenAnswers, BytesBeyondTheLengthAreNoAnswer)
{
  const std::string other = kOk + "Content-Length: 5\r\n\r\nother";
  ScriptedServer server({ kOk + "Content-Length: 5\r\n\r\nwhole" + other,
                          kOk + "Content-Length: 5\r\n\r\nthird" });
  Client client;
  for (std::size_t request = 1; request <= 3; ++request) {
    EXPECT_EQ(BodyOf(client.Send(server.Address())), kFormBody);
    EXPECT_EQ(server.Connections(), request);
  }
}

TEST(BrokenAnswers, EmptyChunkedBodyMayComeInPieces)
{
  ScriptedServer server([](const ScriptedRequest& aRequest) {
    ScriptedAnswer answer;
    answer.m_bytes = kOk + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    answer.m_pieceBytes = 1;
    return Identified(answer, aRequest);
  });
  Client client;
  for (char id = 'a'; id < 'a' + 20; ++id) {
    EXPECT_EQ(BodyOf(client.Send(server.Address(), id)), "");
  }
  EXPECT_EQ(server.Connections(), 1U);
}

TEST(BrokenAnswers, AnswersWithoutABodyEndWithTheirHeader)
{
  for (const char* status : { "204", "304" }) {
    ScriptedServer server([&](const ScriptedRequest& aRequest) {
      return Identified(
        { std::string("HTTP/1.1 ") + status + " X\r\nEcho: x\r\n\r\n" },
        aRequest);
    });
    Client client;
    EXPECT_EQ(BodyOf(client.Send(server.Address(), 'a')), "");
    EXPECT_EQ(BodyOf(client.Send(server.Address(), 'b')), "");
    EXPECT_EQ(server.Connections(), 1U);
  }
  ScriptedServer server([&](const ScriptedRequest& /*aRequest*/) {
    return ScriptedAnswer{ kOk + "Content-Length: 5\r\n\r\n" };
  });
  Client client;
  EXPECT_EQ(BodyOf(client.Send(server.Address(), { "HEAD", "/", {}, "" })), "");
}

}

}
