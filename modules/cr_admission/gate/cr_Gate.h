#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** What the gate needs to know of a call. */
struct GateCall
{
  CallId m_call{};
  RequestId m_request;
  OperationName m_operation;
  Importance m_importance = Importance::Normal;
  /** Work for the same request has begun at another service. */
  bool m_begun = false;
  /** The caller gives up at this time. */
  Instant m_deadline;
};

/** Hand the call over to the backend server now. */
struct GateHandOver
{
  CallId m_call{};
};

/** Refuse the call; it was not handed over and never will be. */
struct GateRefusal
{
  CallId m_call{};
  Reason m_reason = Reason::Overloaded;
};

/** A decision of the gate. */
using GateDecision = std::variant<GateHandOver, GateRefusal>;

/** Decisions in the order in which they are to be carried out. */
using GateDecisions = std::vector<GateDecision>;

/** The gate in front of one backend server: all of the server's work passes
    it, so it alone knows what runs and what waits.

    Not thread safe. Every call offered gets exactly one decision, unless it is
    withdrawn first. */
class Gate
{
public:
  /** Starts closed; calls wait for a server until their deadline. */
  Gate() = default;

  //==========================================================================
  /** Opens the gate with the server's slots, or changes their number.
      Precondition: aSlots > 0. */
  void Open(std::uint32_t aSlots, Instant aNow, GateDecisions& aDecisions);

  /** Closes the gate: waiting calls are refused with the reason, running ones
      go on. */
  void Close(Reason aReason, GateDecisions& aDecisions);

  /** Offers a call. Precondition: its identifier is not in the gate. */
  void Offer(const GateCall& aCall, Instant aNow, GateDecisions& aDecisions);

  /** Takes out a call that ended or failed in the server. */
  void Finish(CallId aCall, Instant aNow, GateDecisions& aDecisions);

  /** Takes out a waiting call without a decision. Returns false when it does
      not wait. */
  bool Withdraw(CallId aCall);

  /** Refuses waiting calls whose time ran out. */
  void Advance(Instant aNow, GateDecisions& aDecisions);

  //==========================================================================
  /** Returns whether the gate is open. */
  bool IsOpen() const { return m_slots > 0; }

  /** Returns the present admission threshold. @see RankOf */
  AdmissionLevel Level() const;

  /** Returns the number of calls in the server. */
  std::size_t Running() const { return m_running.size(); }

  /** Returns the number of waiting calls. */
  std::size_t Waiting() const { return m_waiting.size(); }

  /** Returns the time of the next deadline of a waiting call. */
  std::optional<Instant> NextDue() const;

private:
  struct Order
  {
    Rank m_rank = 0;
    bool m_begun = false;
    std::uint64_t m_arrival = 0;

    auto operator<=>(const Order&) const = default;
  };

  void Fill(Instant aNow, GateDecisions& aDecisions);
  void EvictBeyondLimit(GateDecisions& aDecisions);

  std::uint32_t m_slots = 0;
  std::uint64_t m_arrivals = 0;
  std::unordered_map<CallId, Importance> m_running;
  std::map<Order, GateCall> m_waiting;
  std::unordered_map<CallId, Order> m_orders;
};

/** Returns the cohort of a request: the same at every gate, so that a refused
    cohort is refused everywhere. Thread safe. */
std::uint8_t
CohortOf(const RequestId& aRequest);

}
