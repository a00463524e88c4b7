#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "cr_core/time/cr_Time.h"

namespace cr {

/** A 128-bit identifier, written as 32 hexadecimal digits.

    The tag makes identifiers of different kinds distinct types; use the aliases
    below. Value type without shared state. @see RequestId, AttemptId */
template<typename Tag>
struct Identifier
{
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  auto operator<=>(const Identifier&) const = default;
};

/** Identifies one customer request. All calls made for the request, and all
    retries of it, carry the same identifier. */
using RequestId = Identifier<struct RequestTag>;

/** Identifies one attempt between two nodes. It consists of the calling node's
    incarnation and a sequence number, so it is unique. */
using AttemptId = Identifier<struct AttemptTag>;

/** Idempotency key of a non-idempotent call: a UUID version 7 (RFC 9562), whose
    first 48 bits are its creation time. */
using IdempotencyKey = Identifier<struct IdempotencyTag>;

/** Identifies a call within one node, from its arrival to its answer. */
enum class CallId : std::uint64_t
{
};

/** Identifies one run of a node process on a host. Each run has a greater
    number than all earlier runs on that host. */
enum class Incarnation : std::uint64_t
{
};

/** Name of a host, as configured in its settings. */
using HostName = std::string;

/** Formats both halves as 32 lower-case hexadecimal digits. Thread safe. */
std::string
ToHexadecimal(std::uint64_t aHigh, std::uint64_t aLow);

/** Parses 32 hexadecimal digits and ignores dashes, so that the usual UUID form
    is accepted. Returns nullopt for any other text. Thread safe. */
std::optional<Identifier<void>>
ParseHexadecimal(std::string_view aText);

/** Returns the identifier as text. Thread safe. */
template<typename Tag>
std::string
ToText(const Identifier<Tag>& aIdentifier)
{
  return ToHexadecimal(aIdentifier.m_high, aIdentifier.m_low);
}

/** Parses an identifier. Returns nullopt if the text is not one. Thread safe.
    @see ParseHexadecimal */
template<typename Tag>
std::optional<Identifier<Tag>>
ParseIdentifier(std::string_view aText)
{
  const auto parsed = ParseHexadecimal(aText);
  if (!parsed) {
    return std::nullopt;
  }
  return Identifier<Tag>{ parsed->m_high, parsed->m_low };
}

/** Returns the creation time in a UUID version 7 (RFC 9562, section 5.7), or
    nullopt when the version field is not 7. Thread safe. */
std::optional<WallMilliseconds>
KeyTimestamp(const IdempotencyKey& aKey);

/** Builds a UUID version 7 from a creation time and random bits. Precondition:
    the creation time is not negative. Thread safe. */
IdempotencyKey
MakeIdempotencyKey(WallMilliseconds aTimestamp,
                   std::uint64_t aRandomHigh,
                   std::uint64_t aRandomLow);

}

template<typename Tag>
struct std::hash<cr::Identifier<Tag>>
{
  std::size_t operator()(const cr::Identifier<Tag>& aIdentifier) const noexcept
  {
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15U;
    return static_cast<std::size_t>(
      (aIdentifier.m_high ^ (aIdentifier.m_low * multiplier)) * multiplier);
  }
};
