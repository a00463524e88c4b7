#pragma once

#include <cstdint>
#include <string_view>

namespace cr {

/** Returns the 64-bit xxHash (XXH64) of the bytes. The hash is the same on all
    hosts and in all releases. Thread safe. */
std::uint64_t
Hash(std::string_view aBytes, std::uint64_t aSeed = 0);

/** Returns the XXH64 hash of two words. The hash is the same in all releases,
    and on all hosts of equal byte order. Thread safe. */
std::uint64_t
Hash(std::uint64_t aFirst, std::uint64_t aSecond);

}
