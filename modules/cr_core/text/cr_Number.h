#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace cr {

/** Returns the whole number that the text is, to the base; nothing when it is
    anything else, or does not fit the type. Thread safe. */
template<std::integral Number>
std::optional<Number>
ParseNumber(std::string_view aText, int aBase = 10)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number, aBase);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}
