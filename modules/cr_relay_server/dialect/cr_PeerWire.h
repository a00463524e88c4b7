#pragma once

#include <string>
#include <string_view>

#include "cr_relay/cr_relay.h"

namespace cr {

/** Header of a request between nodes that carries a RelayHeader. */
inline constexpr std::string_view kRelayHeaderName = "Cr-Relay";

/** Header of an answer between nodes that carries a RelayReport. */
inline constexpr std::string_view kReportHeaderName = "Cr-Report";

/** Path under which a node gives the operator's document that it has in
    force. */
inline constexpr std::string_view kRoutesPath = "/routes";

/** Writes the header as HTTP parameters (RFC 7231, section 3.1.1.1), which cost
    little to read. Thread safe. */
std::string
EncodeRelayHeader(const RelayHeader& aHeader);

/** Reads what EncodeRelayHeader() wrote; parameters that are not known are left
    out, so that nodes of two versions understand each other. Thread safe. */
Expected<RelayHeader>
DecodeRelayHeader(std::string_view aText);

/** Writes the report as HTTP parameters. Thread safe. */
std::string
EncodeRelayReport(const RelayReport& aReport);

/** Reads what EncodeRelayReport() wrote, as DecodeRelayHeader() does. Thread
    safe. */
Expected<RelayReport>
DecodeRelayReport(std::string_view aText);

}
