#include <gtest/gtest.h>

#include "cr_process/cr_process.h"

namespace cr {

namespace {

constexpr Instant kStart{ Seconds(100) };
const OperationName kPrice{ "tarif", "price" };

bool
HasLine(const std::string& aText, const std::string& aLine)
{
  return ('\n' + aText).find('\n' + aLine + '\n') != std::string::npos;
}

PeerCall
ArrivalAtGate(std::uint64_t aCall)
{
  PeerCall call;
  call.m_call = CallId{ aCall };
  call.m_header.m_operation = kPrice;
  call.m_header.m_importance = Importance::Protected;
  return call;
}

DispatchCall
DispatchOf(std::uint64_t aCall)
{
  DispatchCall dispatch;
  dispatch.m_call = CallId{ aCall };
  dispatch.m_header.m_importance = Importance::Protected;
  return dispatch;
}

AnswerCall
AnswerOf(std::uint64_t aCall, Outcome aOutcome, Reason aReason)
{
  AnswerCall answer;
  answer.m_call = CallId{ aCall };
  answer.m_report.m_outcome = aOutcome;
  answer.m_report.m_reason = aReason;
  return answer;
}

TEST(NodeMetrics, TracksACallThroughTheGate)
{
  NodeMetrics metrics;
  const Actions none;
  const Actions dispatch{ DispatchOf(1) };
  const Actions answer{ AnswerOf(1, Outcome::Completed, Reason::None) };
  metrics.Observe(ArrivalAtGate(1), none, kStart);
  metrics.Observe(TimerDue{}, dispatch, kStart + Seconds(2));
  metrics.Observe(
    ServerAnswered{ CallId{ 1 }, 200, nullptr }, answer, kStart + Seconds(5));
  const std::string text = metrics.Write({});
  EXPECT_TRUE(HasLine(
    text, "corianderrack_gate_queue_seconds_sum{importance=\"protected\"} 2"));
  EXPECT_TRUE(
    HasLine(text, "corianderrack_server_seconds_sum{result=\"answered\"} 3"));
  EXPECT_TRUE(HasLine(text,
                      "corianderrack_call_seconds_sum{at=\"gate\",service="
                      "\"tarif\",operation=\"price\"} 5"));
  EXPECT_TRUE(HasLine(
    text,
    "corianderrack_answers_total{at=\"gate\",service=\"tarif\",operation="
    "\"price\",importance=\"protected\",outcome=\"completed\",reason=\"none\"} "
    "1"));
}

TEST(NodeMetrics, DistinguishesFirstAttemptsFromRetries)
{
  NodeMetrics metrics;
  ForwardCall forward;
  forward.m_header.m_operation = kPrice;
  const Actions actions{ forward };
  metrics.Observe(
    CustomerCall{ CallId{ 1 }, kPrice, {}, {}, {}, {} }, actions, kStart);
  metrics.Observe(AttemptFailed{ {}, false, true }, actions, kStart);
  const std::string text = metrics.Write({});
  EXPECT_TRUE(HasLine(text,
                      "corianderrack_attempts_total{service=\"tarif\","
                      "importance=\"normal\",retry=\"false\"} 1"));
  EXPECT_TRUE(HasLine(text,
                      "corianderrack_attempts_total{service=\"tarif\","
                      "importance=\"normal\",retry=\"true\"} 1"));
  EXPECT_TRUE(HasLine(text,
                      "corianderrack_attempt_failures_total{sent=\"false\","
                      "timed_out=\"true\"} 1"));
}

TEST(NodeMetrics, RemovesCallsWhoseCallerDisconnected)
{
  NodeMetrics metrics;
  const Actions none;
  const Actions answer{ AnswerOf(1, Outcome::NotRun, Reason::CallerGone) };
  metrics.Observe(ArrivalAtGate(1), none, kStart);
  metrics.Observe(CallerDisconnected{ CallId{ 1 } }, none, kStart);
  metrics.Observe(TimerDue{}, answer, kStart + Seconds(9));
  EXPECT_TRUE(HasLine(metrics.Write({}),
                      "corianderrack_call_seconds_sum{at=\"untracked\","
                      "service=\"\",operation=\"\"} 0"));
}

TEST(OperatorReport, ReadyOnlyWithConfigurationAndServer)
{
  const NodeMetrics metrics;
  NodeStatus status;
  EXPECT_EQ(AnswerOperator(kReadyPath, status, metrics).m_status, 503U);
  status.m_generation = 3;
  status.m_server.m_state = ServerState::Ready;
  EXPECT_EQ(AnswerOperator(kReadyPath, status, metrics).m_status, 200U);
  status.m_server.m_state = ServerState::Leaving;
  EXPECT_EQ(AnswerOperator(kReadyPath, status, metrics).m_status, 503U);
  EXPECT_EQ(AnswerOperator(kLivePath, status, metrics).m_status, 200U);
}

}

}
