#include "cr_core/identity/cr_Outcome.h"

namespace cr {

namespace {

constexpr std::array<std::string_view, 21> kReasonNames = {
  "none",
  "malformed",
  "unknown-service",
  "overloaded",
  "evicted",
  "deadline-too-short",
  "attempts-spent",
  "no-server",
  "leaving",
  "withdrawn",
  "suspect",
  "caller-gone",
  "connection-lost",
  "not-owner",
  "owner-gone",
  "key-missing",
  "store-unavailable",
  "server-failed",
  "key-too-early",
  "key-reused",
  "rate-limited"
};

}

std::string_view
ToText(Reason aReason)
{
  return kReasonNames.at(static_cast<std::size_t>(aReason));
}

std::optional<Reason>
ParseReason(std::string_view aText)
{
  for (std::size_t index = 0; index < kReasonNames.size(); ++index) {
    if (kReasonNames.at(index) == aText) {
      return static_cast<Reason>(index);
    }
  }
  return std::nullopt;
}

}
