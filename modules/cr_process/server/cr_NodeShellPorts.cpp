#include "cr_process/server/cr_NodeShell.h"

#include "cr_process/wire/cr_CallWire.h"
#include "cr_process/wire/cr_GossipWire.h"
#include "cr_rpc/cr_rpc.h"

/* Turns requests that arrive at the ports of a node into events. */

namespace cr {

void
NodeShell::HandleCaller(HttpRequest&& aRequest, const HttpResponder& aResponder)
{
  if (aRequest.m_target == kAnnouncePath) {
    HandleAnnouncement(aRequest, aResponder);
    return;
  }
  if (!FindHeader(aRequest.m_headers, kTokenHeader).empty()) {
    auto call = ParseChildCall(aRequest);
    if (!call) {
      aResponder.Send(
        MakeTextResponse(kHttpBadRequest, call.error().m_text + "\n"));
      return;
    }
    call->m_call = NextCallId(ShardOf(call->m_parent.m_low));
    RegisterCall(call->m_call, aResponder, false);
    HandleEvent(*call);
    return;
  }
  auto call = ParseCustomerCall(aRequest, MakeRequestId());
  if (!call) {
    const unsigned status = call.error().m_code == ErrorCode::NotFound
                              ? kHttpNotFound
                              : kHttpBadRequest;
    aResponder.Send(MakeTextResponse(status, call.error().m_text + "\n"));
    return;
  }
  call->m_call = NextCallId(ShardOf(call->m_request));
  RegisterCall(call->m_call, aResponder, false);
  HandleEvent(*call);
}

void
NodeShell::HandlePeer(HttpRequest&& aRequest, const HttpResponder& aResponder)
{
  if (aRequest.m_target == kRpcPath) {
    HandleRpc(aRequest, aResponder);
    return;
  }
  auto call = ParsePeerCall(aRequest);
  if (!call) {
    aResponder.Send(
      MakeTextResponse(kHttpBadRequest, call.error().m_text + "\n"));
    return;
  }
  call->m_call = NextCallId(0);
  RegisterCall(call->m_call, aResponder, true);
  HandleEvent(*call);
}

void
NodeShell::HandleOperator(const HttpRequest& aRequest,
                          const HttpResponder& aResponder)
{
  aResponder.Send(
    AnswerOperator(aRequest.m_target, m_decisions.Status(), m_metrics));
}

void
NodeShell::HandleAnnouncement(const HttpRequest& aRequest,
                              const HttpResponder& aResponder)
{
  const auto announced = ParseAnnouncement(aRequest);
  if (!announced) {
    aResponder.Send(
      MakeTextResponse(kHttpBadRequest, announced.error().m_text + "\n"));
    return;
  }
  HandleEvent(*announced);
  aResponder.Send(MakeTextResponse(kHttpOk, "{}", "application/json"));
}

/* Handles an event whose actions include its answer, and returns the answer as
   JSON; the other actions are executed. */
template<typename Answer>
Json::Value
NodeShell::AnswerRpc(const Event& aEvent)
{
  Actions actions;
  const Moment moment = Now();
  m_decisions.Handle(aEvent, moment, actions);
  m_metrics.Observe(aEvent, actions, moment.m_now);
  Json::Value result(Json::objectValue);
  for (const Action& action : actions) {
    if (const auto* answer = std::get_if<Answer>(&action)) {
      result = EncodeAnswer(*answer);
    } else {
      std::visit([this](const auto& aTyped) { this->Execute(aTyped); }, action);
    }
  }
  ArmTimer();
  return result;
}

void
NodeShell::HandleRpc(const HttpRequest& aRequest,
                     const HttpResponder& aResponder)
{
  RpcServer server;
  server.Bind("withdraw", [this](const Json::Value& aParameters) {
    return AnswerRpc<AnswerWithdrawal>(
      ParseWithdrawal(aParameters, NextCallId(0)));
  });
  server.Bind("rumour", [this](const Json::Value& aParameters) {
    auto message = DecodeGossip(aParameters);
    if (!message) {
      throw Json::RuntimeError(message.error().m_text);
    }
    return AnswerRpc<AnswerGossip>(
      GossipReceived{ NextCallId(0), std::move(*message) });
  });
  server.Bind("object", [this](const Json::Value& aParameters) {
    return AnswerRpc<AnswerObject>(
      ParseObjectRequest(aParameters, NextCallId(0)));
  });
  aResponder.Send(MakeTextResponse(
    kHttpOk, server.Answer(aRequest.m_body), "application/json"));
}

}
