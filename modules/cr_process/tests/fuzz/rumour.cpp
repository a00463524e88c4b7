#include <cstdint>
#include <cstdlib>

#include "tests/fuzz/cr_ParserInputs.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  if (!cr::CheckGossip(text).empty()) {
    std::abort();
  }
  return 0;
}
