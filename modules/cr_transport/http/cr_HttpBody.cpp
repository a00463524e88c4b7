#include "cr_transport/http/cr_HttpBody.h"

#include <algorithm>

namespace cr {

namespace {

constexpr std::size_t kBlockBytes = std::size_t{ 128 } * 1024;

}

void
ReceivedBody::Expect(std::uint64_t aBytes)
{
  m_expected = aBytes;
  m_lastBlock.reserve(static_cast<std::size_t>(aBytes));
}

void
ReceivedBody::Append(std::string_view aBytes)
{
  m_size += aBytes.size();
  if (m_expected != 0) {
    m_lastBlock += aBytes;
    return;
  }
  while (!aBytes.empty()) {
    if (m_lastBlock.size() == kBlockBytes) {
      m_fullBlocks.push_back(std::move(m_lastBlock));
      m_lastBlock.clear();
      m_lastBlock.reserve(kBlockBytes);
    }
    const std::string_view part =
      aBytes.substr(0, kBlockBytes - m_lastBlock.size());
    m_lastBlock += part;
    aBytes.remove_prefix(part.size());
  }
}

std::string
ReceivedBody::Take()
{
  if (m_fullBlocks.empty()) {
    return std::move(m_lastBlock);
  }
  std::string whole;
  whole.reserve(static_cast<std::size_t>(m_size));
  for (std::string& block : m_fullBlocks) {
    whole += block;
    std::string().swap(block);
  }
  whole += m_lastBlock;
  std::string().swap(m_lastBlock);
  return whole;
}

/* A block below the full size has a capacity of up to twice its bytes. */
std::uint64_t
ReceivedBody::MemoryWith(std::uint64_t aMore) const
{
  const std::uint64_t bytes = m_size + aMore;
  const std::uint64_t spare = std::min<std::uint64_t>(bytes, kBlockBytes);
  return m_expected != 0 ? std::max(m_expected, m_size) : bytes + spare;
}

}
