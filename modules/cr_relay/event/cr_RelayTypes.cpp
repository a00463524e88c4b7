#include "cr_relay/event/cr_RelayTypes.h"

#include <array>

namespace cr {

namespace {

Reason
ReasonOf(DispatchResult aResult)
{
  switch (aResult) {
    case DispatchResult::RefusedNotRun:
      return Reason::ServerFailed;
    case DispatchResult::WrongServer:
    case DispatchResult::Unreachable:
      return Reason::NoServer;
    case DispatchResult::Broken:
      return Reason::ConnectionLost;
    case DispatchResult::TimedOut:
      return Reason::DeadlineTooShort;
    case DispatchResult::CallerLeft:
    case DispatchResult::Answered:
    case DispatchResult::AnsweredError:
      break;
  }
  return Reason::None;
}

}

std::string_view
ToText(DispatchResult aResult)
{
  constexpr std::array<std::string_view, 8> names = {
    "answered",    "answered-error", "refused-not-run", "wrong-server",
    "unreachable", "caller-left",    "broken",          "timed-out"
  };
  return names.at(static_cast<std::size_t>(aResult));
}

RelayReport
ReportOf(DispatchResult aResult)
{
  RelayReport report;
  report.m_reason = ReasonOf(aResult);
  switch (aResult) {
    case DispatchResult::Answered:
    case DispatchResult::AnsweredError:
      report.m_outcome = Outcome::Completed;
      report.m_isServerError = aResult == DispatchResult::AnsweredError;
      report.m_hasReachedServer = true;
      break;
    case DispatchResult::RefusedNotRun:
      report.m_outcome = Outcome::NotRun;
      report.m_hasReachedServer = true;
      break;
    case DispatchResult::WrongServer:
    case DispatchResult::Unreachable:
    case DispatchResult::CallerLeft:
      report.m_outcome = Outcome::NotRun;
      break;
    case DispatchResult::Broken:
    case DispatchResult::TimedOut:
      report.m_outcome = Outcome::Unknown;
      report.m_hasReachedServer = true;
      break;
  }
  return report;
}

RelayReport
NotRunReport(Reason aReason)
{
  RelayReport report;
  report.m_outcome = Outcome::NotRun;
  report.m_reason = aReason;
  return report;
}

}
