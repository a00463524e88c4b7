#include "cr_node/flow/cr_GateFlow.h"

namespace cr {

namespace {

/* Maximum clock skew by which a customer's clock may be ahead, in ms. */
constexpr WallMilliseconds kClockTolerance = 60'000;

Reason
ReasonFor(OwnershipStatus aResult)
{
  return aResult == OwnershipStatus::TooEarly ? Reason::KeyTooEarly
                                              : Reason::NotOwner;
}

}

bool
GateFlow::IsKeyed(const CallHeader& aHeader) const
{
  if (aHeader.m_key) {
    return true;
  }
  const OperationDescription* operation =
    m_shared.m_configuration.Current()->Find(aHeader.m_operation);
  return operation != nullptr && !operation->m_idempotent;
}

bool
GateFlow::AdmitKeyed(const PeerCall& aEvent,
                     Moment aMoment,
                     FlowOutput& aOutput)
{
  if (!aEvent.m_header.m_key) {
    Refuse(aEvent.m_call, Reason::KeyMissing, aOutput);
    return false;
  }
  m_keyLedger.Advance(aMoment.m_now);
  const KeyedCall keyed{ *aEvent.m_header.m_key, aEvent.m_header.m_operation };
  const std::uint64_t fingerprint = FingerprintOf(aEvent.m_payload);
  const LedgerResult lookup = m_keyLedger.Find(keyed, fingerprint);
  if (std::holds_alternative<LedgerNewKey>(lookup)) {
    return StartKeyed(aEvent, aMoment, aOutput);
  }
  Call& call = m_calls.at(aEvent.m_call);
  if (std::holds_alternative<LedgerInProgress>(lookup)) {
    if (m_keyLedger.Attach(keyed, aEvent.m_call)) {
      call.m_keyed = keyed;
      call.m_isAttached = true;
      m_attempts.emplace(aEvent.m_attempt, aEvent.m_call);
      return false;
    }
    Answer(aEvent.m_call,
           { Outcome::Unknown, Reason::Overloaded },
           nullptr,
           aOutput);
  } else if (const auto* answered = std::get_if<LedgerEnded>(&lookup)) {
    CallReport report = answered->m_report;
    report.m_unusedAttempts = call.m_attemptBudget.Available();
    Answer(aEvent.m_call, report, answered->m_payload, aOutput);
  } else if (const auto* refused = std::get_if<LedgerRefused>(&lookup)) {
    Answer(aEvent.m_call,
           { refused->m_outcome, refused->m_reason },
           nullptr,
           aOutput);
  }
  return false;
}

bool
GateFlow::StartKeyed(const PeerCall& aEvent,
                     Moment aMoment,
                     FlowOutput& aOutput)
{
  const CallHeader& header = aEvent.m_header;
  const OwnershipStatus holding =
    m_shared.m_owners.Accept(header.m_operation.m_service,
                             *header.m_key,
                             aMoment.m_wall + kClockTolerance);
  if (holding != OwnershipStatus::Owned) {
    m_shared.m_owners.RequestRefresh(header.m_operation.m_service);
    Refuse(aEvent.m_call, ReasonFor(holding), aOutput);
    return false;
  }
  const KeyedCall keyed{ *header.m_key, header.m_operation };
  const auto refused =
    m_keyLedger.Begin(keyed, FingerprintOf(aEvent.m_payload));
  if (refused) {
    Answer(aEvent.m_call,
           { refused->m_outcome, refused->m_reason },
           nullptr,
           aOutput);
    return false;
  }
  m_calls.at(aEvent.m_call).m_keyed = keyed;
  return true;
}

void
GateFlow::EndKeyed(CallId aCall,
                   const CallReport& aReport,
                   const PayloadPointer& aPayload,
                   FlowOutput& aOutput)
{
  const KeyedCall keyed = *m_calls.at(aCall).m_keyed;
  for (const CallId waiter : m_keyLedger.End(keyed, aReport, aPayload)) {
    CallReport report = aReport;
    report.m_unusedAttempts = m_calls.at(waiter).m_attemptBudget.Available();
    Answer(waiter, report, aPayload, aOutput);
  }
}

bool
GateFlow::ContinueWithoutCaller(CallId aCall)
{
  const Call& call = m_calls.at(aCall);
  if (call.m_isAttached) {
    m_keyLedger.Detach(*call.m_keyed, aCall);
    RemoveCall(aCall);
    return true;
  }
  return call.m_isDispatched || m_keyLedger.HasWaiters(*call.m_keyed);
}

}
