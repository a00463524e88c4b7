#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** A non-idempotent call as the ledger knows it. */
struct KeyedCall
{
  IdempotencyKey m_key;
  OperationName m_operation;

  auto operator<=>(const KeyedCall&) const = default;
};

/** Limits of a ledger. At the limits new keys are refused as not run; records
    are never forgotten early. */
struct KeyLedgerLimits
{
  /** How long the outcome of a run is kept. */
  Duration m_retention = Seconds(1800);
  std::size_t m_records = 200'000;
  std::size_t m_bytes = 64U * 1024U * 1024U;
  /** Resends that may wait for one run. */
  std::size_t m_waiters = 8;
};

/** The key was never seen: run the call, and report its end with End(). */
struct LedgerRun
{};

/** The call runs or waits already; the resend waits for its end. */
struct LedgerAttached
{};

/** The call ran before; this was its answer, or its unknown outcome. */
struct LedgerAnswered
{
  CallReport m_report;
  PayloadPointer m_payload;
};

/** The call is refused for the reason. */
struct LedgerRefused
{
  Outcome m_outcome = Outcome::NotRun;
  Reason m_reason = Reason::None;
};

/** What the ledger decides on a call. */
using LedgerVerdict =
  std::variant<LedgerRun, LedgerAttached, LedgerAnswered, LedgerRefused>;

/** What an owner remembers of the non-idempotent calls it decided on, so that
   no key runs twice and a resend gets the stored answer.

    Not thread safe. */
class KeyLedger
{
public:
  /** Starts empty. */
  explicit KeyLedger(KeyLedgerLimits aLimits = {});

  //==========================================================================
  /** Looks the key up without recording it. Returns LedgerRun when the key was
      never seen; aFingerprint is a hash of the payload, so that a key used for
      two different payloads is refused. */
  LedgerVerdict Find(const KeyedCall& aCall, std::uint64_t aFingerprint) const;

  /** Records that the call is taken. Returns why not when it cannot be: a limit
      is reached, or a record of a key born as late was forgotten already, so
      that nobody can tell any more whether this one ran. Precondition: Find()
      returned LedgerRun. */
  std::optional<LedgerRefused> Begin(const KeyedCall& aCall,
                                     std::uint64_t aFingerprint);

  /** Lets a resend wait for the end of the run; returns false at the limit.
      Precondition: Find() returned LedgerAttached. */
  bool Attach(const KeyedCall& aCall, CallId aWaiter);

  /** Takes a waiting resend out. */
  void Detach(const KeyedCall& aCall, CallId aWaiter);

  /** Records the end of a run and returns the resends that waited for it. A
     call that was not run is forgotten, so that a resend may run it. The
     retention counts from the last Advance(). Precondition: the call was begun
     and has not ended. */
  std::vector<CallId> End(const KeyedCall& aCall,
                          const CallReport& aReport,
                          PayloadPointer aPayload);

  /** Forgets records whose retention is over. Keys born no later than a
      forgotten one are refused as unknown from then on, unless still
      recorded. */
  void Advance(Instant aNow);

  //==========================================================================
  /** Returns whether resends wait for the call. */
  bool HasWaiters(const KeyedCall& aCall) const;

  /** Returns the number of records. */
  std::size_t Size() const { return m_records.size(); }

  /** Returns the bytes of all stored answers, with overhead. */
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

  struct Ended
  {
    Instant m_until;
    KeyedCall m_call;
  };

  KeyLedgerLimits m_limits;
  std::unordered_map<KeyedCall, Record, Hasher> m_records;
  std::deque<Ended> m_ended;
  std::size_t m_bytes = 0;
  Instant m_now;
  /** Greatest birth time of a forgotten record. */
  WallMilliseconds m_forgotten = -1;
};

/** Returns the fingerprint of a payload; null counts as empty. Thread safe. */
std::uint64_t
FingerprintOf(const PayloadPointer& aPayload);

}
