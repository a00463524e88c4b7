#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cr_relay/cr_relay.h"
#include "cr_relay_server/protocol/cr_RelayProtocolAdapter.h"

namespace cr {

/** HTTP header that carries a RelayHeader in a request between nodes. */
inline constexpr std::string_view kRelayHeaderName = "Cr-Relay";

/** HTTP header that carries a RelayReport in an answer between nodes. */
inline constexpr std::string_view kReportHeaderName = "Cr-Report";

/** HTTP header of a request for routes, and of the answer, with the suspects
    that the sender knows, as EncodeSuspects() writes them. */
inline constexpr std::string_view kSuspectsHeaderName = "Cr-Suspects";

/** Path at which a node takes the suspects of another one, in the body of a
    request. */
inline constexpr std::string_view kSuspectsPath = "/suspects";

/** Path at which a node serves its active operator document to other nodes. */
inline constexpr std::string_view kRoutesPath = "/routes";
/** Generation that the asking node already has; the document is sent only if it
    is newer. */
inline constexpr std::string_view kNewerThanHeaderName = "Cr-Newer-Than";

/** Reads the condition that a backend server reports in the headers of an
    answer. Returns ErrorCode::Malformed when the rate limit isn't a finite
    number, 0 or more. Thread safe. */
Expected<ServerCondition>
ReadServerCondition(const HttpHeaders& aHeaders,
                    const RelayHeaderNames& aNames);

/** Writes the suspects in one line. Thread safe. */
std::string
EncodeSuspects(std::span<const Suspect> aSuspects);

/** Decodes the output of EncodeSuspects(). Returns ErrorCode::Malformed when a
    suspect is malformed. Thread safe. */
Expected<std::vector<Suspect>>
DecodeSuspects(std::string_view aText);

/** Writes the header as HTTP parameters (RFC 7231, section 3.1.1.1), which are
    cheap to parse. Thread safe. */
std::string
EncodeRelayHeader(const RelayHeader& aHeader);

/** Decodes the output of EncodeRelayHeader(). Ignores unknown parameters, so
    that nodes of different versions interoperate. Returns ErrorCode::Malformed
    when a parameter is missing or malformed. Thread safe. */
Expected<RelayHeader>
DecodeRelayHeader(std::string_view aText);

/** Writes the report as HTTP parameters. Thread safe. */
std::string
EncodeRelayReport(const RelayReport& aReport);

/** Decodes the output of EncodeRelayReport(), with the same rules as
    DecodeRelayHeader(). Thread safe. */
Expected<RelayReport>
DecodeRelayReport(std::string_view aText);

}
