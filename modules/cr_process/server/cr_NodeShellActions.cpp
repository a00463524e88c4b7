#include "cr_process/server/cr_NodeShell.h"

#include "cr_process/report/cr_Log.h"
#include "cr_process/wire/cr_CallWire.h"
#include "cr_process/wire/cr_RumourWire.h"
#include "cr_rpc/cr_rpc.h"

/* What the decisions ask for is sent, and its answers become events. */

namespace cr {

namespace {

constexpr Duration kWithdrawTimeout = Milliseconds(500);
constexpr Duration kRumourTimeout = Milliseconds(500);

}

void
NodeShell::Do(const ForwardCall& aAction)
{
  const AttemptId attempt = aAction.m_attempt;
  const RequestId request = aAction.m_header.m_request;
  Track(m_attempts, attempt, [&] {
    return m_client.Send(
      aAction.m_peer,
      WriteForwardCall(aAction),
      aAction.m_header.m_remaining,
      [weak = weak_from_this(), attempt, request](HttpResult aResult) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        self->m_attempts.Take(attempt);
        if (auto* response = std::get_if<HttpResponse>(&aResult)) {
          auto answer = ParsePeerAnswer(attempt, request, std::move(*response));
          answer ? self->Feed(*answer)
                 : self->Feed(AttemptFailed{ attempt, true, false });
          return;
        }
        const auto& failure = std::get<HttpFailure>(aResult);
        self->Feed(
          AttemptFailed{ attempt, failure.m_sent, failure.m_timedOut });
      });
  });
}

void
NodeShell::Do(const CancelAttempt& aAction)
{
  if (const auto exchange = m_attempts.Take(aAction.m_attempt)) {
    exchange->Cancel();
  }
}

void
NodeShell::Do(const RequestWithdrawal& aAction)
{
  Json::Value parameters(Json::objectValue);
  parameters["attempt"] = ToText(aAction.m_attempt);
  parameters["incarnation"] =
    Json::UInt64(static_cast<std::uint64_t>(aAction.m_incarnation));
  m_client.SendOnNewConnection(
    aAction.m_peer,
    { "POST",
      std::string(kRpcPath),
      { { "Content-Type", "application/json" } },
      EncodeRpcCall("withdraw", parameters) },
    kWithdrawTimeout,
    [weak = weak_from_this(),
     attempt = aAction.m_attempt](const HttpResult& aResult) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      WithdrawalAnswered answered{ attempt, WithdrawalResult::Unknown };
      if (const auto* response = std::get_if<HttpResponse>(&aResult)) {
        const RpcReply reply = DecodeRpcReply(response->m_body);
        if (reply.m_ok && reply.m_result["result"].isInt()) {
          answered.m_result =
            static_cast<WithdrawalResult>(reply.m_result["result"].asInt());
        }
      }
      self->Feed(answered);
    });
}

void
NodeShell::Do(const DispatchCall& aAction)
{
  const CallId call = aAction.m_call;
  Track(m_handOvers, call, [&] {
    return m_client.Send(
      aAction.m_server,
      WriteHandOver(aAction),
      aAction.m_header.m_remaining,
      [weak = weak_from_this(), call](HttpResult aResult) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        self->m_handOvers.Take(call);
        if (auto* response = std::get_if<HttpResponse>(&aResult)) {
          auto payload = std::make_shared<Payload>(Payload{
            std::string(FindHeader(response->m_headers, "Content-Type")),
            std::move(response->m_body) });
          self->Feed(
            ServerAnswered{ call, response->m_status, std::move(payload) });
          return;
        }
        const auto& failure = std::get<HttpFailure>(aResult);
        self->Feed(ServerFailed{ call,
                                 failure.m_sent,
                                 !failure.m_sent && !failure.m_timedOut,
                                 failure.m_timedOut });
      });
  });
}

void
NodeShell::Do(const CancelDispatch& aAction)
{
  if (const auto exchange = m_handOvers.Take(aAction.m_call)) {
    exchange->Cancel();
  }
}

void
NodeShell::Do(const AnswerCall& aAction)
{
  const auto call = m_calls.Take(aAction.m_call);
  if (!call) {
    return;
  }
  call->m_responder.Send(call->m_fromPeer ? WritePeerAnswer(aAction)
                                          : WriteAnswer(aAction));
}

void
NodeShell::Do(const AnswerWithdrawal& /*aAction*/)
{
  /* Answered where the withdrawal was asked. @see HandleRpc */
}

void
NodeShell::Do(const SendGossip& aAction)
{
  m_client.Send(
    aAction.m_peer,
    { "POST",
      std::string(kRpcPath),
      { { "Content-Type", "application/json" } },
      EncodeRpcCall("rumour", EncodeRumour(aAction.m_message)) },
    kRumourTimeout,
    [weak = weak_from_this(), id = aAction.m_id](const HttpResult& aResult) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      GossipAnswered answered{ id, std::nullopt };
      if (const auto* response = std::get_if<HttpResponse>(&aResult)) {
        const RpcReply reply = DecodeRpcReply(response->m_body);
        auto rumour = DecodeRumour(reply.m_result);
        if (reply.m_ok && rumour) {
          answered.m_message = std::move(*rumour);
        }
      }
      self->Feed(answered);
    });
}

void
NodeShell::Do(const AnswerGossip& /*aAction*/)
{
  /* Answered where the rumour arrived. @see HandleRpc */
}

void
NodeShell::Do(const FetchObject& aAction)
{
  m_client.Send(
    aAction.m_peer,
    { "POST",
      std::string(kRpcPath),
      { { "Content-Type", "application/json" } },
      EncodeRpcCall("object", EncodeObjectAsked(aAction.m_name)) },
    kRumourTimeout,
    [weak = weak_from_this(), id = aAction.m_id](const HttpResult& aResult) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      ObjectFetched answered{ id, std::nullopt };
      if (const auto* response = std::get_if<HttpResponse>(&aResult)) {
        const RpcReply reply = DecodeRpcReply(response->m_body);
        if (reply.m_ok) {
          answered.m_content = ParseObjectAnswer(reply.m_result);
        }
      }
      self->Feed(answered);
    });
}

void
NodeShell::Do(const AnswerObject& /*aAction*/)
{
  /* Answered where the object was asked for. @see HandleRpc */
}

void
NodeShell::Do(const CallStore& aAction)
{
  m_store.Send(
    aAction.m_request,
    [weak = weak_from_this(), call = aAction.m_call](StoreAnswer aAnswer) {
      if (const auto self = weak.lock()) {
        self->Feed(StoreAnswered{ call, std::move(aAnswer) });
      }
    });
}

void
NodeShell::Do(const WriteLog& aAction)
{
  Log(aAction.m_part, aAction.m_text);
}

}
