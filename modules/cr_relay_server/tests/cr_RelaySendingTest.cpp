#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include "tests/cr_RelayFleet.h"
#include "tests/cr_ScriptedBackend.h"

namespace cr {

namespace {

/* Review 11, TWICE: the only server rejects a request, gets it again, and sends
   a copy of the rejection before it runs the request. The copy was taken for
   the answer. */
TEST(RelaySending, LateCopyOfARejectionIsNoAnswerToTheNextSending)
{
  std::atomic<int> rejections{ 0 };
  std::atomic<int> runs{ 0 };
  std::atomic<std::size_t> connectionOfRejection{ 0 };
  RelayFleet fleet({ "booking" });
  const auto server =
    fleet.ReplaceServer(0, [&](const ScriptedRequest& aRequest) {
      ScriptedAnswer answer = MakeAnswer(SoundForm(aRequest));
      if (!TargetOf(aRequest).starts_with("/booking/rejected")) {
        return answer;
      }
      const std::string rejection =
        EmptyAnswer("503 Busy", NotRunFields(aRequest));
      if (rejections == 0) {
        ++rejections;
        connectionOfRejection = aRequest.m_connection;
        answer.m_bytes = rejection;
        return answer;
      }
      ++runs;
      if (aRequest.m_connection == connectionOfRejection) {
        answer.m_bytes.insert(0, rejection);
      }
      return answer;
    });
  fleet.WriteRoutes(1, { "booking" });
  fleet.FillRetryBudget("/booking/7");
  for (int round = 0; round < 3; ++round) {
    rejections = 0;
    runs = 0;
    EXPECT_EQ(fleet.Send(0, "/booking/rejected").m_status, kHttpOk);
    EXPECT_EQ(rejections, 1);
    EXPECT_EQ(runs, 1);
  }
}

/* Review 11, REFUSED: an answer to a health check has no identifier, and a late
   copy of a rejected one was taken for the answer to a request. */
TEST(RelaySending, LateCopyOfARejectedHealthCheckIsNoAnswerToARequest)
{
  std::atomic<int> checks{ 0 };
  std::atomic<int> runs{ 0 };
  RelayFleet fleet({ "booking" });
  const auto server =
    fleet.ReplaceServer(0, [&](const ScriptedRequest& aRequest) {
      ScriptedAnswer answer = MakeAnswer(SoundForm(aRequest));
      const std::string rejection =
        EmptyAnswer("503 Busy", "Cr-Server: server\r\nCr-Not-Run: 1\r\n");
      if (IsHealthCheck(aRequest)) {
        if (++checks == 1) {
          answer.m_bytes = rejection;
        }
        return answer;
      }
      const bool isOnConnectionOfRejection =
        runs == 0 && aRequest.m_earlier > 0;
      ++runs;
      if (isOnConnectionOfRejection) {
        answer.m_bytes.insert(0, rejection);
      }
      return answer;
    });
  fleet.WriteRoutes(1, { "booking" });
  unsigned status = kHttpUnavailable;
  for (int attempt = 0; attempt < 300 && runs == 0; ++attempt) {
    status = fleet.Send(0, "/booking/7").m_status;
    std::this_thread::sleep_for(Milliseconds(10));
  }
  EXPECT_GE(checks, 2);
  EXPECT_EQ(runs, 1);
  EXPECT_EQ(status, kHttpOk);
}

/* Review 7, DRAIN: the server runs a request, announces that it leaves, and
   resets the connection. The node sent the request to it again. */
TEST(RelaySending, LostAnswerIsNotSentAgainToALeavingServer)
{
  constexpr Duration workTime = Milliseconds(400);
  std::atomic<int> runs{ 0 };
  RelayFleet fleet({ "status" });
  const auto server =
    fleet.ReplaceServer(0, [&](const ScriptedRequest& aRequest) {
      ScriptedAnswer answer = MakeAnswer(SoundForm(aRequest));
      if (TargetOf(aRequest) == "/status/lost") {
        ++runs;
        answer.m_bytes.clear();
        answer.m_pause = workTime;
        answer.m_ending = ConnectionEnding::Reset;
      }
      return answer;
    });
  fleet.WriteRoutes(1, { "status" });
  fleet.FillRetryBudget("/status/7");
  ASSERT_EQ(fleet.Announce(0, 1), kHttpOk);
  auto answer = std::async(std::launch::async,
                           [&] { return fleet.Send(0, "/status/lost"); });
  while (runs == 0) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
  ASSERT_EQ(fleet.Announce(0, 2, true), kHttpOk);
  EXPECT_EQ(answer.get().m_status, kHttpBadGateway);
  std::this_thread::sleep_for(workTime);
  EXPECT_EQ(runs, 1);
}

/* Review 7: what was sent again had the time of the first sending left. */
TEST(RelaySending, RequestWithALostAnswerIsSentElsewhereWithTheTimeThatIsLeft)
{
  constexpr Duration workTime = Milliseconds(400);
  struct Record
  {
    int m_runs = 0;
    std::vector<std::int64_t> m_remaining;
  };
  Guarded<Record> record;
  const auto handler = [&](const ScriptedRequest& aRequest) {
    ScriptedAnswer answer = MakeAnswer(SoundForm(aRequest));
    if (TargetOf(aRequest) != "/status/lost") {
      return answer;
    }
    const int run = record.WithLock([&](Record& aRecord) {
      aRecord.m_remaining.push_back(
        ParseNumber<std::int64_t>(FindField(aRequest, "Cr-Remaining-Ms"))
          .value_or(0));
      return ++aRecord.m_runs;
    });
    if (run == 1) {
      answer.m_bytes.clear();
      answer.m_pause = workTime;
      answer.m_ending = ConnectionEnding::Reset;
    }
    return answer;
  };
  RelayFleet fleet({ "status", "status" });
  const auto first = fleet.ReplaceServer(0, handler);
  const auto second = fleet.ReplaceServer(1, handler);
  fleet.WriteRoutes(1, { "status" });
  fleet.FillRetryBudget("/status/7");
  EXPECT_EQ(fleet.Send(0, "/status/lost").m_status, kHttpOk);
  const auto remaining =
    record.WithLock([](Record& aRecord) { return aRecord.m_remaining; });
  ASSERT_EQ(remaining.size(), 2U);
  EXPECT_LE(remaining[1], remaining[0] - ToMilliseconds(workTime));
}

/* Review 10, BUDGET: repeats after lost answers on kept connections drew on no
   budget. */
TEST(RelaySending, RepeatsAfterLostAnswersDrawOnTheRetryBudget)
{
  constexpr int lost = 60;
  std::atomic<int> requests{ 0 };
  std::atomic<int> arrivals{ 0 };
  const auto handler = [&](const ScriptedRequest& aRequest) {
    ScriptedAnswer answer = MakeAnswer(SoundForm(aRequest));
    arrivals += IsHealthCheck(aRequest) ? 0 : 1;
    if (TargetOf(aRequest) == "/status/lost" && aRequest.m_earlier > 0) {
      answer.m_bytes.clear();
      answer.m_ending = ConnectionEnding::Reset;
    }
    return answer;
  };
  RelayFleet fleet({ "status", "status" });
  const auto first = fleet.ReplaceServer(0, handler);
  const auto second = fleet.ReplaceServer(1, handler);
  fleet.WriteRoutes(1, { "status" });
  ASSERT_EQ(fleet.SendUntil(0, "/status/7", kHttpOk), kHttpOk);
  std::this_thread::sleep_for(Milliseconds(50));
  arrivals = 0;
  for (requests = 0; requests < 2 * lost; ++requests) {
    fleet.Send(0, requests % 2 == 0 ? "/status/7" : "/status/lost");
  }
  const double ratio = fleet.At(0).m_settings.m_relay.m_retryRatio;
  EXPECT_LE(arrivals - requests, ratio * (requests + 1));
}

}

}
