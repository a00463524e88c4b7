#include "cr_core/random/cr_Hash.h"

#include <array>

#include <xxhash.h>

namespace cr {

std::uint64_t
Hash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t
Hash(std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::array<std::uint64_t, 2> words = { aFirst, aSecond };
  return XXH64(words.data(), sizeof(words), 0);
}

}
