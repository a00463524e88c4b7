#include "cr_core/identity/cr_Identifier.h"

#include <array>
#include <cassert>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr int kDigitsPerHalf = 16;
constexpr int kBitsPerDigit = 4;
constexpr int kTimestampShift = 16;
constexpr std::uint64_t kVersionSeven = 0x7000U;
constexpr std::uint64_t kVersionMask = 0xF000U;
constexpr std::uint64_t kRandomHighMask = 0x0FFFU;
constexpr std::uint64_t kVariant = 0x8000000000000000U;
constexpr std::uint64_t kVariantRandomMask = 0x3FFFFFFFFFFFFFFFU;

std::optional<std::uint64_t>
DigitValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return static_cast<std::uint64_t>(aDigit - '0');
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return static_cast<std::uint64_t>(aDigit - 'a') + 10U;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return static_cast<std::uint64_t>(aDigit - 'A') + 10U;
  }
  return std::nullopt;
}

}

std::string
ToHexadecimal(std::uint64_t aHigh, std::uint64_t aLow)
{
  return fmt::format("{:016x}{:016x}", aHigh, aLow);
}

std::optional<Identifier<void>>
ParseHexadecimal(std::string_view aText)
{
  std::array<std::uint64_t, 2> halves{};
  int digits = 0;
  for (const char character : aText) {
    if (character == '-') {
      continue;
    }
    const auto value = DigitValue(character);
    if (!value || digits >= 2 * kDigitsPerHalf) {
      return std::nullopt;
    }
    auto& half = digits < kDigitsPerHalf ? halves.front() : halves.back();
    half = (half << kBitsPerDigit) | *value;
    ++digits;
  }
  if (digits != 2 * kDigitsPerHalf) {
    return std::nullopt;
  }
  return Identifier<void>{ halves.front(), halves.back() };
}

std::optional<WallMilliseconds>
KeyTimestamp(const IdempotencyKey& aKey)
{
  if ((aKey.m_high & kVersionMask) != kVersionSeven) {
    return std::nullopt;
  }
  return static_cast<WallMilliseconds>(aKey.m_high >> kTimestampShift);
}

IdempotencyKey
MakeIdempotencyKey(WallMilliseconds aTimestamp,
                   std::uint64_t aRandomHigh,
                   std::uint64_t aRandomLow)
{
  assert(aTimestamp >= 0);
  const std::uint64_t timestamp = static_cast<std::uint64_t>(aTimestamp)
                                  << kTimestampShift;
  return { timestamp | kVersionSeven | (aRandomHigh & kRandomHighMask),
           kVariant | (aRandomLow & kVariantRandomMask) };
}

}
