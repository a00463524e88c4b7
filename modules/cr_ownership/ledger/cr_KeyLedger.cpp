#include "cr_ownership/ledger/cr_KeyLedger.h"

#include <algorithm>
#include <cassert>

namespace cr {

namespace {

/* Estimated bytes of a record's map node, queue entry and names. */
constexpr std::size_t kRecordOverhead = 400;

std::size_t
BytesOf(const PayloadPointer& aPayload)
{
  return aPayload ? aPayload->m_body.size() + aPayload->m_contentType.size()
                  : 0;
}

/* Records have a limit of their own. */
PayloadPointer
WithoutReservation(PayloadPointer aPayload)
{
  if (!aPayload || !aPayload->m_memory) {
    return aPayload;
  }
  return std::make_shared<Payload>(
    Payload{ aPayload->m_contentType, aPayload->m_body });
}

}

KeyLedger::KeyLedger(KeyLedgerLimits aLimits)
  : m_limits(aLimits)
{
}

LedgerResult
KeyLedger::Find(const KeyedCall& aCall, std::uint64_t aFingerprint) const
{
  const auto found = m_records.find(aCall);
  if (found == m_records.end()) {
    return LedgerNewKey{};
  }
  const Record& record = found->second;
  if (record.m_fingerprint != aFingerprint) {
    return LedgerRefused{ Outcome::NotRun, Reason::KeyReused };
  }
  if (!record.m_hasEnded) {
    return LedgerInProgress{};
  }
  return LedgerEnded{ record.m_report, record.m_payload };
}

std::optional<LedgerRefused>
KeyLedger::Begin(const KeyedCall& aCall, std::uint64_t aFingerprint)
{
  if (KeyTimestamp(aCall.m_key).value_or(-1) <= m_maxForgottenBirth) {
    return LedgerRefused{ Outcome::Unknown, Reason::OwnerGone };
  }
  if (m_records.size() >= m_limits.m_records ||
      m_bytes + kRecordOverhead > m_limits.m_bytes) {
    return LedgerRefused{ Outcome::NotRun, Reason::Overloaded };
  }
  assert(!m_records.contains(aCall));
  m_records[aCall].m_fingerprint = aFingerprint;
  m_bytes += kRecordOverhead;
  return std::nullopt;
}

bool
KeyLedger::Attach(const KeyedCall& aCall, CallId aWaiter)
{
  Record& record = m_records.at(aCall);
  if (record.m_waiters.size() >= m_limits.m_waiters) {
    return false;
  }
  record.m_waiters.push_back(aWaiter);
  return true;
}

void
KeyLedger::Detach(const KeyedCall& aCall, CallId aWaiter)
{
  const auto found = m_records.find(aCall);
  if (found != m_records.end()) {
    std::erase(found->second.m_waiters, aWaiter);
  }
}

std::vector<CallId>
KeyLedger::End(const KeyedCall& aCall,
               const CallReport& aReport,
               PayloadPointer aPayload)
{
  const auto found = m_records.find(aCall);
  assert(found != m_records.end());
  Record& record = found->second;
  std::vector<CallId> waiters = std::move(record.m_waiters);
  if (aReport.m_outcome == Outcome::NotRun) {
    m_records.erase(found);
    m_bytes -= kRecordOverhead;
    return waiters;
  }
  record.m_waiters.clear();
  record.m_hasEnded = true;
  record.m_report = aReport;
  record.m_payload = WithoutReservation(std::move(aPayload));
  m_bytes += BytesOf(record.m_payload);
  m_ended.push_back({ m_now + m_limits.m_retention, aCall });
  return waiters;
}

void
KeyLedger::Advance(Instant aNow)
{
  m_now = aNow;
  while (!m_ended.empty() && m_ended.front().m_expiresAt <= aNow) {
    const KeyedCall& call = m_ended.front().m_call;
    const auto found = m_records.find(call);
    m_bytes -= kRecordOverhead + BytesOf(found->second.m_payload);
    m_records.erase(found);
    m_maxForgottenBirth =
      std::max(m_maxForgottenBirth,
               KeyTimestamp(call.m_key).value_or(m_maxForgottenBirth));
    m_ended.pop_front();
  }
}

bool
KeyLedger::HasWaiters(const KeyedCall& aCall) const
{
  const auto found = m_records.find(aCall);
  return found != m_records.end() && !found->second.m_waiters.empty();
}

std::uint64_t
FingerprintOf(const PayloadPointer& aPayload)
{
  return aPayload ? Hash(aPayload->m_body, Hash(aPayload->m_contentType)) : 0;
}

}
