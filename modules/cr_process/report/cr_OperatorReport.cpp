#include "cr_process/report/cr_OperatorReport.h"

namespace cr {

namespace {

constexpr auto kExpositionType = "text/plain; version=0.0.4; charset=utf-8";

std::string
ReadinessText(const NodeStatus& aStatus)
{
  if (aStatus.m_generation == 0) {
    return "no configuration\n";
  }
  switch (aStatus.m_server.m_state) {
    case ServerState::Absent:
      return "no backend server\n";
    case ServerState::Leaving:
      return "leaving\n";
    case ServerState::Ready:
      break;
  }
  return "ready\n";
}

}

bool
IsReady(const NodeStatus& aStatus)
{
  return aStatus.m_generation > 0 &&
         aStatus.m_server.m_state == ServerState::Ready;
}

HttpResponse
AnswerOperator(std::string_view aTarget,
               const NodeStatus& aStatus,
               const NodeMetrics& aMetrics)
{
  if (aTarget == kStatusPath) {
    return MakeTextResponse(
      kHttpOk, EncodeStatus(aStatus, aMetrics.Usage()), "application/json");
  }
  if (aTarget == kMetricsPath) {
    return MakeTextResponse(kHttpOk, aMetrics.Write(aStatus), kExpositionType);
  }
  if (aTarget == kLivePath) {
    return MakeTextResponse(kHttpOk, "live\n");
  }
  if (aTarget == kReadyPath) {
    return MakeTextResponse(IsReady(aStatus) ? kHttpOk : kHttpUnavailable,
                            ReadinessText(aStatus));
  }
  return MakeTextResponse(kHttpNotFound, "no such path\n");
}

}
