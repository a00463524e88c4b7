#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "cr_relay_server/protocol/cr_RelayCodec.h"
#include "tests/cr_RelayFleet.h"
#include "tests/cr_ScriptedBackend.h"

namespace cr {

namespace {

constexpr std::string_view kRejectedTarget = "/booking/rejected";
constexpr Duration kLatency = Milliseconds(100);
/* Rejects also what the entry sends again within its retry budget. */
constexpr int kRejectAll = 1000;

/* Writes the rejection of a request. */
using RejectionWriter = std::function<std::string(const ScriptedRequest&)>;

/* Writes the complete answer to a request that was run. */
using AnswerWriter = std::function<std::string(const ScriptedRequest&)>;

/* Rejects requests to kRejectedTarget, or runs them. The answer to a request
   that comes again on the connection of its rejection follows a copy of the
   rejection. */
class RejectionCopier
{
public:
  RejectionCopier(RejectionWriter aRejection, AnswerWriter aAnswer)
    : m_rejection(std::move(aRejection))
    , m_answer(std::move(aAnswer))
  {
  }

  ScriptedAnswer Answer(const ScriptedRequest& aRequest)
  {
    ScriptedAnswer answer;
    if (!TargetOf(aRequest).starts_with(kRejectedTarget)) {
      answer.m_bytes = m_answer(aRequest);
      return answer;
    }
    const std::pair key(aRequest.m_connection,
                        std::string(FindField(aRequest, "Cr-Request")));
    if (m_remainingRejections > 0) {
      --m_remainingRejections;
      ++m_rejections;
      answer.m_bytes = m_rejection(aRequest);
      m_sent.WithLock([&](Rejections& aSent) { aSent[key] = answer.m_bytes; });
      return answer;
    }
    ++m_runs;
    const std::string copy = m_sent.WithLock([&](Rejections& aSent) {
      const auto sent = aSent.find(key);
      return sent != aSent.end() ? sent->second : std::string();
    });
    answer.m_bytes = copy + m_answer(aRequest);
    return answer;
  }

  std::atomic<int> m_remainingRejections{ 0 };
  std::atomic<int> m_rejections{ 0 };
  std::atomic<int> m_runs{ 0 };

private:
  using Rejections = std::map<std::pair<std::size_t, std::string>, std::string>;

  RejectionWriter m_rejection;
  AnswerWriter m_answer;
  Guarded<Rejections> m_sent;
};

std::string
RejectAsBusy(const ScriptedRequest& aRequest)
{
  return EmptyAnswer("503 Busy", NotRunFields(aRequest));
}

std::string
RejectAsMisdirected(const ScriptedRequest& aRequest)
{
  return EmptyAnswer("421 Misdirected Request", NotRunFields(aRequest));
}

std::string
ServerAnswer(const ScriptedRequest& aRequest)
{
  return SoundForm(aRequest).m_bytes;
}

/* Returns the answer of a gate, without a body. */
std::string
GateAnswer(const ScriptedRequest& aRequest,
           std::string_view aStatus,
           DispatchResult aResult)
{
  RelayReport report = ReportOf(aResult);
  report.m_generation = 1;
  return EmptyAnswer(
    aStatus,
    "Cr-Request: " + std::string(FindField(aRequest, "Cr-Request")) + "\r\n" +
      std::string(kReportHeaderName) + ": " + EncodeRelayReport(report) +
      "\r\n");
}

std::string
RejectAsGate(const ScriptedRequest& aRequest)
{
  return GateAnswer(
    aRequest, "503 Service Unavailable", DispatchResult::RefusedNotRun);
}

/* Other requests of nodes have no relay header. */
std::string
AnswerAsGate(const ScriptedRequest& aRequest)
{
  return FindField(aRequest, kRelayHeaderName).empty()
           ? EmptyAnswer("404 Not Found", "")
           : GateAnswer(aRequest, "200 OK", DispatchResult::Answered);
}

using Sender = std::function<HttpResponse()>;

/* Sends a request that is rejected whenever a server gets it, and once more. */
void
ExpectTheSecondSendingRunsOnce(RejectionCopier& aCopier,
                               const Sender& aFirst,
                               const Sender& aSecond)
{
  aCopier.m_runs = 0;
  aCopier.m_rejections = 0;
  aCopier.m_remainingRejections = kRejectAll;
  EXPECT_EQ(aFirst().m_status, kHttpUnavailable);
  EXPECT_GE(aCopier.m_rejections, 1);
  aCopier.m_remainingRejections = 0;
  EXPECT_EQ(aSecond().m_status, kHttpOk);
  std::this_thread::sleep_for(kLatency);
  EXPECT_EQ(aCopier.m_runs, 1);
}

/* Sends a request that is rejected once, and that the entry sends again. */
void
ExpectTheRepeatRunsOnce(RejectionCopier& aCopier, const Sender& aSend)
{
  aCopier.m_runs = 0;
  aCopier.m_rejections = 0;
  aCopier.m_remainingRejections = 1;
  EXPECT_EQ(aSend().m_status, kHttpOk);
  EXPECT_EQ(aCopier.m_rejections, 1);
  EXPECT_EQ(aCopier.m_runs, 1);
}

/* Two nodes; the server of the first one, for bookings, copies rejections. */
class CopiedRejection : public testing::Test
{
protected:
  explicit CopiedRejection(RejectionWriter aRejection = RejectAsBusy)
    : m_copier(std::move(aRejection), ServerAnswer)
    , m_server(
        m_fleet.ReplaceServer(0, [this](const ScriptedRequest& aRequest) {
          return m_copier.Answer(aRequest);
        }))
  {
  }

  void SetUp() override
  {
    m_fleet.WriteRoutes(1, { "booking", "status" });
    for (const std::size_t host : { 0U, 1U }) {
      ASSERT_EQ(m_fleet.SendUntil(host, "/booking/7", kHttpOk), kHttpOk);
    }
  }

  HttpResponse Send(std::size_t aHost, const std::string& aId)
  {
    return m_fleet.SendWithId(aHost, std::string(kRejectedTarget), aId);
  }

  /* Sends a request that the server rejects through the first node, and once
     more through the second one. */
  void SendThrough(std::size_t aFirst,
                   std::size_t aSecond,
                   const std::string& aId)
  {
    ExpectTheSecondSendingRunsOnce(
      m_copier,
      [&] { return Send(aFirst, aId); },
      [&] { return Send(aSecond, aId); });
  }

  /* A node's request to the gate, without the mark of a repeated one. */
  HttpResponse SendToGate(const std::string& aId)
  {
    RelayHeader header;
    header.m_service = "booking";
    header.m_route = "booking";
    header.m_remaining = Seconds(3);
    header.m_maxWait = Seconds(1);
    header.m_generation = 1;
    return m_fleet.SendTo(
      0,
      RelayFleet::kPeerPort,
      { "POST",
        std::string(kRejectedTarget),
        { { "Host", "shop" },
          { "Cr-Request", aId },
          { "Cr-Remaining-Ms", "3000" },
          { "Cr-Caller-Service", "status" },
          { std::string(kRelayHeaderName), EncodeRelayHeader(header) } },
        "body" });
  }

  RejectionCopier m_copier;
  RelayFleet m_fleet{ { "booking", "status" } };
  std::unique_ptr<ScriptedServer> m_server;
};

TEST_F(CopiedRejection, OfARequestThatCameThroughAnotherEntryIsNoAnswer)
{
  for (int round = 0; round < 3; ++round) {
    SendThrough(0, 1, "entries-" + std::to_string(round));
  }
}

TEST_F(CopiedRejection, OfARequestThatTheCallerSentBeforeIsNoAnswer)
{
  for (int round = 0; round < 3; ++round) {
    SendThrough(0, 0, "caller-" + std::to_string(round));
  }
}

TEST_F(CopiedRejection, OfARequestWithoutTheMarkOfARepeatedOneIsNoAnswer)
{
  for (int round = 0; round < 3; ++round) {
    const std::string id = "unmarked-" + std::to_string(round);
    m_copier.m_runs = 0;
    m_copier.m_remainingRejections = 1;
    const auto rejected = DecodeRelayReport(
      FindHeader(SendToGate(id).m_headers, kReportHeaderName));
    ASSERT_TRUE(rejected);
    EXPECT_EQ(rejected->m_outcome, Outcome::NotRun);
    EXPECT_EQ(m_copier.m_runs, 0);
    const HttpResponse answer = SendToGate(id);
    const auto report =
      DecodeRelayReport(FindHeader(answer.m_headers, kReportHeaderName));
    ASSERT_TRUE(report);
    EXPECT_EQ(report->m_outcome, Outcome::Completed);
    EXPECT_EQ(answer.m_status, kHttpOk);
    EXPECT_EQ(m_copier.m_runs, 1);
  }
}

/* The gate that has refused the request sends it to its server once more. */
TEST_F(CopiedRejection, OfARequestThatTheEntrySentBeforeIsNoAnswer)
{
  m_fleet.FillRetryBudget("/booking/7");
  for (int round = 0; round < 3; ++round) {
    ExpectTheRepeatRunsOnce(
      m_copier, [&] { return Send(0, "entry-" + std::to_string(round)); });
  }
}

class CopiedMisdirection : public CopiedRejection
{
protected:
  CopiedMisdirection()
    : CopiedRejection(RejectAsMisdirected)
  {
  }
};

/* The gate is closed after a 421 until a health check succeeds. */
TEST_F(CopiedMisdirection, OfARequestThatTheCallerSentBeforeIsNoAnswer)
{
  for (int round = 0; round < 3; ++round) {
    const std::string id = "misdirected-" + std::to_string(round);
    m_copier.m_runs = 0;
    m_copier.m_rejections = 0;
    m_copier.m_remainingRejections = kRejectAll;
    EXPECT_EQ(Send(0, id).m_status, kHttpUnavailable);
    EXPECT_GE(m_copier.m_rejections, 1);
    m_copier.m_remainingRejections = 0;
    unsigned status = 0;
    for (int sending = 0; sending < 200 && m_copier.m_runs == 0; ++sending) {
      std::this_thread::sleep_for(Milliseconds(10));
      status = Send(0, id).m_status;
    }
    EXPECT_EQ(status, kHttpOk);
    EXPECT_EQ(m_copier.m_runs, 1);
    ASSERT_EQ(m_fleet.SendUntil(0, "/booking/7", kHttpOk), kHttpOk);
  }
}

/* A node of which the second host's gate is a stand-in that copies refusals. */
class CopiedRefusalOfAGate : public testing::Test
{
protected:
  void SetUp() override
  {
    m_fleet.WriteRoutes(1, { "status", "booking" });
    ASSERT_EQ(m_fleet.SendUntil(0, "/booking/7", kHttpOk), kHttpOk);
    m_fleet.At(1).m_node.reset();
    ScriptedServerSettings settings;
    settings.m_endpoint = { m_fleet.At(1).m_address, RelayFleet::kPeerPort };
    m_gate = std::make_unique<ScriptedServer>(
      [this](const ScriptedRequest& aRequest) {
        return m_copier.Answer(aRequest);
      },
      settings);
    ASSERT_EQ(m_fleet.SendUntil(0, "/booking/7", kHttpOk), kHttpOk);
  }

  HttpResponse Send(const std::string& aId)
  {
    return m_fleet.SendWithId(0, std::string(kRejectedTarget), aId);
  }

  RejectionCopier m_copier{ RejectAsGate, AnswerAsGate };
  RelayFleet m_fleet{ { "status", "booking" } };
  std::unique_ptr<ScriptedServer> m_gate;
};

TEST_F(CopiedRefusalOfAGate, OfARequestThatTheCallerSentBeforeIsNoAnswer)
{
  for (int round = 0; round < 3; ++round) {
    const auto send = [&] { return Send("caller-" + std::to_string(round)); };
    ExpectTheSecondSendingRunsOnce(m_copier, send, send);
  }
}

TEST_F(CopiedRefusalOfAGate, OfARequestThatTheEntrySentBeforeIsNoAnswer)
{
  m_fleet.FillRetryBudget("/booking/7");
  for (int round = 0; round < 3; ++round) {
    ExpectTheRepeatRunsOnce(
      m_copier, [&] { return Send("entry-" + std::to_string(round)); });
  }
}

}

}
