#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "tests/cr_RelayFleet.h"
#include "tests/cr_ScriptedBackend.h"

namespace cr {

namespace {

/* The retry budget is a ratio of the requests. */
void
FillRetryBudget(RelayFleet& aFleet, const std::string& aTarget)
{
  ASSERT_EQ(aFleet.SendUntil(0, aTarget, kHttpOk), kHttpOk);
  for (int request = 0; request < 60; ++request) {
    ASSERT_EQ(aFleet.Send(0, aTarget).m_status, kHttpOk);
  }
}

std::string
NotRunFields(const ScriptedRequest& aRequest)
{
  return ServerFields(aRequest) + "Cr-Not-Run: 1\r\n";
}

/* Review 11, TWICE: the only server rejects a request, gets it again, and sends
   a copy of the rejection before it runs the request. The copy was taken for
   the answer. */
TEST(RelaySending, LateCopyOfARejectionIsNoAnswerToTheNextSending)
{
  std::atomic<int> rejections{ 0 };
  std::atomic<int> runs{ 0 };
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
        answer.m_bytes = rejection;
        return answer;
      }
      ++runs;
      const bool isOnConnectionOfRejection = aRequest.m_earlier > 0;
      if (isOnConnectionOfRejection) {
        answer.m_bytes.insert(0, rejection);
      }
      return answer;
    });
  fleet.WriteRoutes(1, { "booking" });
  FillRetryBudget(fleet, "/booking/7");
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

}

}
