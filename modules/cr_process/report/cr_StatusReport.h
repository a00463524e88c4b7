#pragma once

#include <string>

#include "cr_node/cr_node.h"
#include "cr_process/report/cr_NodeMetrics.h"

namespace cr {

/** Path of the status report on the operator port. */
inline constexpr std::string_view kStatusPath = "/status";

/** Writes a node's status and resource usage as JSON. Thread safe. */
std::string
EncodeStatus(const NodeStatus& aStatus, const NodeUsage& aUsage);

}
