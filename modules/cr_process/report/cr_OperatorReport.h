#pragma once

#include "cr_process/report/cr_NodeMetrics.h"
#include "cr_process/report/cr_StatusReport.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Paths of the health checks on the operator port. */
inline constexpr std::string_view kLivePath = "/health/live";
inline constexpr std::string_view kReadyPath = "/health/ready";

/** Returns whether the node accepts calls for its backend server: it has a
    configuration, and the server is present and not leaving. Thread safe. */
bool
IsReady(const NodeStatus& aStatus);

/** Returns the response to a read-only request on the operator port: status,
    metrics or health. Thread safe. */
HttpResponse
AnswerOperator(std::string_view aTarget,
               const NodeStatus& aStatus,
               const NodeMetrics& aMetrics);

}
