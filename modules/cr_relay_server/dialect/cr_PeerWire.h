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

/** Writes the header as a JSON list without keys. Thread safe. */
std::string
EncodeRelayHeader(const RelayHeader& aHeader);

/** Reads what EncodeRelayHeader() wrote. Thread safe. */
Expected<RelayHeader>
DecodeRelayHeader(std::string_view aText);

/** Writes the report as a JSON list without keys. Thread safe. */
std::string
EncodeRelayReport(const RelayReport& aReport);

/** Reads what EncodeRelayReport() wrote. Thread safe. */
Expected<RelayReport>
DecodeRelayReport(std::string_view aText);

}
