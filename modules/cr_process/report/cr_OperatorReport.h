#pragma once

#include "cr_process/report/cr_NodeMetrics.h"
#include "cr_process/report/cr_StatusReport.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Paths of the health checks on the operator port. */
inline constexpr std::string_view kLivePath = "/health/live";
inline constexpr std::string_view kReadyPath = "/health/ready";

/** Returns whether the node takes work for its backend server: it has a
    configuration, and the server is there and not leaving. Thread safe. */
bool
IsReady(const NodeStatus& aStatus);

/** Answers an operator's read-only request: status, metrics and health. Thread
    safe. */
HttpResponse
AnswerOperator(std::string_view aTarget,
               const NodeStatus& aStatus,
               const NodeMetrics& aMetrics);

}
