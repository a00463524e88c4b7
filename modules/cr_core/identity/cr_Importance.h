#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cr {

/** Importance of a customer request. The service file of the entry operation
    sets it, and every call made for the request inherits it. Under overload,
    calls of lower importance are refused first. */
enum class Importance : std::uint8_t
{
  Low = 0,
  Normal = 1,
  High = 2,
  Protected = 3
};

/** Number of importance levels. */
inline constexpr std::size_t kImportanceCount = 4;

/** All levels in ascending order of importance. */
inline constexpr std::array<Importance, kImportanceCount> kImportances = {
  Importance::Low,
  Importance::Normal,
  Importance::High,
  Importance::Protected
};

/** Returns the name that service files and headers use. Thread safe. */
constexpr std::string_view
ToText(Importance aImportance)
{
  constexpr std::array<std::string_view, kImportanceCount> names = {
    "low", "normal", "high", "protected"
  };
  return names.at(static_cast<std::size_t>(aImportance));
}

/** Parses a level's name. Returns nullopt for an unknown name. Thread safe. */
constexpr std::optional<Importance>
ParseImportance(std::string_view aText)
{
  for (const Importance importance : kImportances) {
    if (ToText(importance) == aText) {
      return importance;
    }
  }
  return std::nullopt;
}

}
