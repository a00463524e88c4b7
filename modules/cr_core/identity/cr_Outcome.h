#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cr {

/** Final state of a call, as far as it is known. */
enum class Outcome : std::uint8_t
{
  /** The backend server ran the call and its complete answer was received. */
  Completed,
  /** No backend server ran the call, and none will run it; a retry is safe. */
  NotRun,
  /** A backend server may have run the call. */
  Unknown
};

/** Returns the name that headers and reports use. Thread safe. */
constexpr std::string_view
ToText(Outcome aOutcome)
{
  constexpr std::array<std::string_view, 3> names = { "completed",
                                                      "not-run",
                                                      "unknown" };
  return names.at(static_cast<std::size_t>(aOutcome));
}

/** Parses an outcome's name. Returns nullopt for an unknown name. Thread
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

/** Why a call was refused or abandoned; sent together with the outcome. */
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
  /** The creation time of the idempotency key is too far in the future. */
  KeyTooEarly,
  /** The idempotency key was already used with a different payload. */
  KeyReused,
  /** The request is above the rate limit that the backend server named. */
  RateLimited
};

/** Returns the name that headers and reports use. Thread safe. */
std::string_view
ToText(Reason aReason);

/** Parses a reason's name. Returns nullopt for an unknown name. Thread safe. */
std::optional<Reason>
ParseReason(std::string_view aText);

}
