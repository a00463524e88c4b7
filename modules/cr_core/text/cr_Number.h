#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace cr {

/** Parses the whole text as an integer in the given base. Returns nullopt when
    the text is not an integer or the value does not fit the type. Thread
    safe. */
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
