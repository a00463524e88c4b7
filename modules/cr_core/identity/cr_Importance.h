#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cr {

/** Importance of a customer request. It is set where the request enters, by the
    service file of the entry operation, and every call below inherits it.
    A greater value is refused later. */
enum class Importance : std::uint8_t
{
  Low = 0,
  Normal = 1,
  High = 2,
  Protected = 3
};

/** Number of importance levels. */
inline constexpr std::size_t kImportanceCount = 4;

/** All levels, least important first. */
inline constexpr std::array<Importance, kImportanceCount> kImportances = {
  Importance::Low,
  Importance::Normal,
  Importance::High,
  Importance::Protected
};

/** Returns the level's name in service files and headers. Thread safe. */
constexpr std::string_view
ToText(Importance aImportance)
{
  constexpr std::array<std::string_view, kImportanceCount> names = {
    "low", "normal", "high", "protected"
  };
  return names.at(static_cast<std::size_t>(aImportance));
}

/** Parses a level's name; nothing if there is no such level. Thread safe. */
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
