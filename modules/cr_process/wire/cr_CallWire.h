#pragma once

#include <string>

#include "cr_node/cr_node.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Path prefix of calls: `/call/<service>/<operation>`. */
inline constexpr std::string_view kCallPrefix = "/call/";

/** Path at which a backend server announces itself to its node. */
inline constexpr std::string_view kAnnouncePath = "/announce";

/** Path of JSON-RPC between nodes. */
inline constexpr std::string_view kRpcPath = "/rpc";

/** Header names that callers, backend servers and nodes use. */
inline constexpr std::string_view kRequestHeader = "Cr-Request";
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kRemainingHeader = "Cr-Remaining-Ms";
inline constexpr std::string_view kTokenHeader = "Cr-Token";
inline constexpr std::string_view kOutcomeHeader = "Cr-Outcome";
inline constexpr std::string_view kReasonHeader = "Cr-Reason";

/** Reads the operation that a target names. Thread safe. */
Expected<OperationName>
ParseCallTarget(std::string_view aTarget);

/** Reads a customer's call. The request identifier is made from the fallback
    when the customer gave none. Thread safe. */
Expected<CustomerCall>
ParseCustomerCall(const HttpRequest& aRequest, const RequestId& aFallback);

/** Reads a child call of the host's own backend server. Thread safe. */
Expected<ChildCall>
ParseChildCall(const HttpRequest& aRequest);

/** Reads a call that another node forwards. Thread safe. */
Expected<PeerCall>
ParsePeerCall(const HttpRequest& aRequest);

/** Writes a forwarded call. Thread safe. */
HttpRequest
WriteForwardCall(const ForwardCall& aCall);

/** Writes a call for the backend server. Thread safe. */
HttpRequest
WriteHandOver(const DispatchCall& aCall);

/** Writes the answer of a call for a customer or a backend server. Thread
    safe. */
HttpResponse
WriteAnswer(const AnswerCall& aAnswer);

/** Writes the answer of a call for the node that forwarded it. Thread safe. */
HttpResponse
WritePeerAnswer(const AnswerCall& aAnswer);

/** Reads another node's answer to a forwarded call. Thread safe. */
Expected<AttemptAnswered>
ParsePeerAnswer(const AttemptId& aAttempt,
                const RequestId& aRequest,
                HttpResponse&& aResponse);

/** Reads a backend server's announcement. Thread safe. */
Expected<ServerAnnounced>
ParseAnnouncement(const HttpRequest& aRequest);

}
