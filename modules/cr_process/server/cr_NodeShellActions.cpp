#include "cr_process/server/cr_NodeShell.h"

#include "cr_process/report/cr_Log.h"
#include "cr_process/wire/cr_CallWire.h"
#include "cr_process/wire/cr_GossipWire.h"
#include "cr_rpc/cr_rpc.h"

/* Executes the actions of the decisions: sends requests and turns their
   responses into events. */

namespace cr {

namespace {

constexpr Duration kWithdrawTimeout = Milliseconds(500);
constexpr Duration kGossipTimeout = Milliseconds(500);

/* Options of a call, whose answer bears the identifier of its request. */
HttpSendOptions
CallOptions(const CallHeader& aHeader)
{
  HttpSendOptions options;
  options.m_timeout = aHeader.m_remaining;
  options.m_echoedHeader = kRequestHeader;
  return options;
}

}

void
NodeShell::Execute(const ForwardCall& aAction)
{
  const AttemptId attempt = aAction.m_attempt;
  const RequestId request = aAction.m_header.m_request;
  TrackExchange(m_attempts, attempt, [&] {
    return m_client.Send(
      aAction.m_peer,
      WriteForwardCall(aAction),
      CallOptions(aAction.m_header),
      [weak = weak_from_this(), attempt, request](HttpResult aResult) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        self->m_attempts.Extract(attempt);
        if (auto* response = std::get_if<HttpResponse>(&aResult)) {
          auto answer = ParsePeerAnswer(attempt, request, std::move(*response));
          answer ? self->HandleEvent(*answer)
                 : self->HandleEvent(AttemptFailed{ attempt, true, false });
          return;
        }
        const auto& failure = std::get<HttpFailure>(aResult);
        self->HandleEvent(
          AttemptFailed{ attempt, failure.m_sent, failure.m_timedOut });
      });
  });
}

void
NodeShell::Execute(const CancelAttempt& aAction)
{
  if (const auto exchange = m_attempts.Extract(aAction.m_attempt)) {
    exchange->Cancel();
  }
}

void
NodeShell::Execute(const RequestWithdrawal& aAction)
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
      self->HandleEvent(answered);
    });
}

void
NodeShell::Execute(const DispatchCall& aAction)
{
  const CallId call = aAction.m_call;
  HttpSendOptions options = CallOptions(aAction.m_header);
  // Backend servers need not repeat the identifier.
  options.m_isEchoOptional = true;
  TrackExchange(m_dispatches, call, [&] {
    return m_client.Send(
      aAction.m_server,
      WriteDispatchCall(aAction),
      options,
      [weak = weak_from_this(), call](HttpResult aResult) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        self->m_dispatches.Extract(call);
        if (auto* response = std::get_if<HttpResponse>(&aResult)) {
          auto payload = std::make_shared<Payload>(Payload{
            std::string(FindHeader(response->m_headers, "Content-Type")),
            std::move(response->m_body),
            response->m_memory });
          self->HandleEvent(
            ServerAnswered{ call, response->m_status, std::move(payload) });
          return;
        }
        const auto& failure = std::get<HttpFailure>(aResult);
        self->HandleEvent(ServerFailed{ call,
                                        failure.m_sent,
                                        !failure.m_sent && !failure.m_timedOut,
                                        failure.m_timedOut });
      });
  });
}

void
NodeShell::Execute(const CancelDispatch& aAction)
{
  if (const auto exchange = m_dispatches.Extract(aAction.m_call)) {
    exchange->Cancel();
  }
}

void
NodeShell::Execute(const AnswerCall& aAction)
{
  const auto call = m_calls.Extract(aAction.m_call);
  if (!call) {
    return;
  }
  call->m_responder.Send(call->m_fromPeer ? WritePeerAnswer(aAction)
                                          : WriteAnswer(aAction));
}

void
NodeShell::Execute(const AnswerWithdrawal& /*aAction*/)
{
  /* AnswerRpc() returns this answer to the requesting node. @see HandleRpc */
}

void
NodeShell::Execute(const SendGossip& aAction)
{
  m_client.Send(
    aAction.m_peer,
    { "POST",
      std::string(kRpcPath),
      { { "Content-Type", "application/json" } },
      EncodeRpcCall("rumour", EncodeGossip(aAction.m_message)) },
    kGossipTimeout,
    [weak = weak_from_this(), id = aAction.m_id](const HttpResult& aResult) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      GossipAnswered answered{ id, std::nullopt };
      if (const auto* response = std::get_if<HttpResponse>(&aResult)) {
        const RpcReply reply = DecodeRpcReply(response->m_body);
        auto message = DecodeGossip(reply.m_result);
        if (reply.m_ok && message) {
          answered.m_message = std::move(*message);
        }
      }
      self->HandleEvent(answered);
    });
}

void
NodeShell::Execute(const AnswerGossip& /*aAction*/)
{
  /* AnswerRpc() returns this answer to the sending node. @see HandleRpc */
}

void
NodeShell::Execute(const FetchObject& aAction)
{
  m_client.Send(
    aAction.m_peer,
    { "POST",
      std::string(kRpcPath),
      { { "Content-Type", "application/json" } },
      EncodeRpcCall("object", EncodeObjectRequest(aAction.m_name)) },
    kGossipTimeout,
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
      self->HandleEvent(answered);
    });
}

void
NodeShell::Execute(const AnswerObject& /*aAction*/)
{
  /* AnswerRpc() returns this answer to the requesting node. @see HandleRpc */
}

void
NodeShell::Execute(const CallStore& aAction)
{
  m_store.Send(
    aAction.m_request,
    [weak = weak_from_this(), call = aAction.m_call](StoreAnswer aAnswer) {
      if (const auto self = weak.lock()) {
        self->HandleEvent(StoreAnswered{ call, std::move(aAnswer) });
      }
    });
}

void
NodeShell::Execute(const WriteLog& aAction)
{
  Log(aAction.m_part, aAction.m_text);
}

}
