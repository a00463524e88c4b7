#pragma once

#include <string>

#include "cr_node/cr_node.h"

namespace cr {

/** Path of the status report on the operator port. */
inline constexpr std::string_view kStatusPath = "/status";

/** Writes a node's status as JSON. Thread safe. */
std::string
EncodeStatus(const NodeStatus& aStatus);

}
