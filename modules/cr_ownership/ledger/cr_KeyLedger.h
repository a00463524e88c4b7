#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** Identifies a non-idempotent call in the ledger. */
struct KeyedCall
{
  IdempotencyKey m_key;
  OperationName m_operation;

  auto operator<=>(const KeyedCall&) const = default;
};

/** Limits of a ledger. At the limits new keys are refused as not run; records
    are never evicted before their retention ends. */
struct KeyLedgerLimits
{
  /** How long the outcome of a call is kept. */
  Duration m_retention = Seconds(1800);
  std::size_t m_records = 200'000;
  std::size_t m_bytes = 64U * 1024U * 1024U;
  /** Max number of duplicate calls that may wait for one run. */
  std::size_t m_waiters = 8;
};

/** The key is not recorded: run the call and report its end with End(). */
struct LedgerNewKey
{};

/** The call is queued or running; the duplicate may wait for its end. */
struct LedgerInProgress
{};

/** The call has ended; holds its stored answer or unknown outcome. */
struct LedgerEnded
{
  CallReport m_report;
  PayloadPointer m_payload;
};

/** The call is refused for the given reason. */
struct LedgerRefused
{
  Outcome m_outcome = Outcome::NotRun;
  Reason m_reason = Reason::None;
};

/** Result of looking a call up in the ledger. */
using LedgerResult =
  std::variant<LedgerNewKey, LedgerInProgress, LedgerEnded, LedgerRefused>;

/** Records the non-idempotent calls that an owner has accepted, so that no key
    runs twice and a duplicate gets the stored answer.

    Not thread safe. */
class KeyLedger
{
public:
  /** Creates an empty ledger. */
  explicit KeyLedger(KeyLedgerLimits aLimits = {});

  //==========================================================================
  /** Looks the key up without recording it. Returns LedgerNewKey when the key
      is not recorded. aFingerprint is a hash of the payload; a key that is
      reused with a different payload is refused. */
  LedgerResult Find(const KeyedCall& aCall, std::uint64_t aFingerprint) const;

  /** Records that the call is accepted. Returns the reason for a refusal when a
      limit is reached, or when a record whose key has the same or a later birth
      time was already removed, because it is then unknown whether this key ran.
      Precondition: Find() returned LedgerNewKey. */
  std::optional<LedgerRefused> Begin(const KeyedCall& aCall,
                                     std::uint64_t aFingerprint);

  /** Makes a duplicate call wait for the end of the run; returns false at the
      limit. Precondition: Find() returned LedgerInProgress. */
  bool Attach(const KeyedCall& aCall, CallId aWaiter);

  /** Removes a waiting duplicate. */
  void Detach(const KeyedCall& aCall, CallId aWaiter);

  /** Records the end of a call and returns the duplicates that waited for it.
      The record of a call that was not run is removed, so that a duplicate may
      run it. The retention counts from the last Advance(). Precondition:
      Begin() accepted the call and it has not ended. */
  std::vector<CallId> End(const KeyedCall& aCall,
                          const CallReport& aReport,
                          PayloadPointer aPayload);

  /** Removes records whose retention is over. From then on, keys with a birth
      time no later than that of a removed record are refused with an unknown
      outcome, unless they are still recorded. */
  void Advance(Instant aNow);

  //==========================================================================
  /** Returns whether duplicates wait for the call. */
  bool HasWaiters(const KeyedCall& aCall) const;

  /** Returns the number of records. */
  std::size_t Size() const { return m_records.size(); }

  /** Returns the size of all stored answers in bytes, including overhead. */
  std::size_t Bytes() const { return m_bytes; }

private:
  struct Hasher
  {
    std::size_t operator()(const KeyedCall& aCall) const noexcept
    {
      return std::hash<IdempotencyKey>()(aCall.m_key);
    }
  };

  struct Record
  {
    std::uint64_t m_fingerprint = 0;
    std::vector<CallId> m_waiters;
    bool m_hasEnded = false;
    CallReport m_report;
    PayloadPointer m_payload;
  };

  struct EndedCall
  {
    Instant m_expiresAt;
    KeyedCall m_call;
  };

  KeyLedgerLimits m_limits;
  std::unordered_map<KeyedCall, Record, Hasher> m_records;
  std::deque<EndedCall> m_ended;
  std::size_t m_bytes = 0;
  Instant m_now;
  /** Latest birth time among the removed records. */
  WallMilliseconds m_maxForgottenBirth = -1;
};

/** Returns the fingerprint of a payload; null counts as empty. Thread safe. */
std::uint64_t
FingerprintOf(const PayloadPointer& aPayload);

}
