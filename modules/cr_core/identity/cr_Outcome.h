#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cr {

/** What is known of a call once it has ended. */
enum class Outcome : std::uint8_t
{
  /** The backend server ran the call and its whole answer is at hand. */
  Completed,
  /** It is certain that no backend server ran the call, nor ever will. */
  NotRun,
  /** The call may have run. */
  Unknown
};

/** Returns the outcome's name in headers and reports. Thread safe. */
constexpr std::string_view
ToText(Outcome aOutcome)
{
  constexpr std::array<std::string_view, 3> names = { "completed",
                                                      "not-run",
                                                      "unknown" };
  return names.at(static_cast<std::size_t>(aOutcome));
}

/** Parses an outcome's name; nothing if there is no such outcome. Thread
    safe. */
constexpr std::optional<Outcome>
ParseOutcome(std::string_view aText)
{
  for (const Outcome outcome :
       { Outcome::Completed, Outcome::NotRun, Outcome::Unknown }) {
    if (ToText(outcome) == aText) {
      return outcome;
    }
  }
  return std::nullopt;
}

/** Why a call was refused or given up; travels beside the outcome. */
enum class Reason : std::uint8_t
{
  None,
  Malformed,
  UnknownService,
  Overloaded,
  Evicted,
  DeadlineTooShort,
  AttemptsSpent,
  NoServer,
  Leaving,
  Withdrawn,
  Suspect,
  CallerGone,
  ConnectionLost,
  NotOwner,
  OwnerGone,
  KeyMissing,
  StoreUnavailable,
  ServerFailed,
  /** The idempotency key's birth time lies too far in the future. */
  KeyTooEarly,
  /** The idempotency key was used before with another payload. */
  KeyReused
};

/** Returns the reason's name in headers and reports. Thread safe. */
std::string_view
ToText(Reason aReason);

/** Parses a reason's name; nothing if there is no such reason. Thread safe. */
std::optional<Reason>
ParseReason(std::string_view aText);

}
