#pragma once

#include <string>

#include "cr_node/cr_node.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Path prefix of calls: `/call/<service>/<operation>`. */
inline constexpr std::string_view kCallPrefix = "/call/";

/** Path to which a backend server sends its announcement. */
inline constexpr std::string_view kAnnouncePath = "/announce";

/** Path of JSON-RPC between nodes. */
inline constexpr std::string_view kRpcPath = "/rpc";

/** Header names shared by callers, backend servers and nodes. */
inline constexpr std::string_view kRequestHeader = "Cr-Request";
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kRemainingHeader = "Cr-Remaining-Ms";
inline constexpr std::string_view kTokenHeader = "Cr-Token";
inline constexpr std::string_view kOutcomeHeader = "Cr-Outcome";
inline constexpr std::string_view kReasonHeader = "Cr-Reason";

/** Parses the operation from a request target. Thread safe. */
Expected<OperationName>
ParseCallTarget(std::string_view aTarget);

/** Parses a customer's call. The fallback is the request identifier when the
    customer sent none. Thread safe. */
Expected<CustomerCall>
ParseCustomerCall(const HttpRequest& aRequest, const RequestId& aFallback);

/** Parses a child call from the backend server on this host. Thread safe. */
Expected<ChildCall>
ParseChildCall(const HttpRequest& aRequest);

/** Parses a call forwarded by another node. Thread safe. */
Expected<PeerCall>
ParsePeerCall(const HttpRequest& aRequest);

/** Writes a forwarded call. Thread safe. */
HttpRequest
WriteForwardCall(const ForwardCall& aCall);

/** Writes the request that dispatches a call to the backend server. Thread
    safe. */
HttpRequest
WriteDispatchCall(const DispatchCall& aCall);

/** Writes the answer of a call for a customer or a backend server. Thread
    safe. */
HttpResponse
WriteAnswer(const AnswerCall& aAnswer);

/** Writes the answer of a call for the node that forwarded it. Thread safe. */
HttpResponse
WritePeerAnswer(const AnswerCall& aAnswer);

/** Parses another node's answer to a forwarded call. Thread safe. */
Expected<AttemptAnswered>
ParsePeerAnswer(const AttemptId& aAttempt,
                const RequestId& aRequest,
                HttpResponse&& aResponse);

/** Parses a backend server's announcement. Thread safe. */
Expected<ServerAnnounced>
ParseAnnouncement(const HttpRequest& aRequest);

}
