#pragma once

#include <cstdint>
#include <string_view>

namespace cr {

/** Returns the 64-bit xxHash of the bytes: stable over hosts and releases.
    Thread safe. */
std::uint64_t
Hash(std::string_view aBytes, std::uint64_t aSeed = 0);

/** Returns a 64-bit hash of two words, stable over hosts and releases. Thread
    safe. */
std::uint64_t
Hash(std::uint64_t aFirst, std::uint64_t aSecond);

}
