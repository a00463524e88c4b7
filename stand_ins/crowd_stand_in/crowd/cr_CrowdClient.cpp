#include "crowd_stand_in/crowd/cr_CrowdClient.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr std::size_t kLargeChunkBytes = 256 * 1024;
/* Bytes at the end of a body that are not sent. */
constexpr std::size_t kMissingBytes = 8;
constexpr std::size_t kPieces = 64;
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::size_t kSlowReadBytes = 1024;
constexpr Duration kPause = Milliseconds(20);

std::string
Head(const CrowdRequest& aRequest, const std::string& aBodyField)
{
  return fmt::format("\r\n{}{}\r\n\r\n", aRequest.m_fields, aBodyField);
}

std::string
WithLength(const CrowdRequest& aRequest, std::size_t aBodyBytes)
{
  return Head(aRequest, fmt::format("Content-Length: {}", aBodyBytes)) +
         std::string(aBodyBytes, 'x');
}

std::string
InChunks(const CrowdRequest& aRequest, std::size_t aChunkBytes)
{
  std::string bytes = Head(aRequest, "Transfer-Encoding: chunked");
  for (std::size_t sent = 0; sent < aRequest.m_bodyBytes;) {
    const std::size_t size = std::min(aChunkBytes, aRequest.m_bodyBytes - sent);
    fmt::format_to(std::back_inserter(bytes), "{:x}\r\n", size);
    bytes.append(size, 'x').append("\r\n");
    sent += size;
  }
  return bytes;
}

std::string
Bytes(CrowdForm aForm, const CrowdRequest& aRequest)
{
  switch (aForm) {
    case CrowdForm::LargeChunks:
      return InChunks(aRequest, kLargeChunkBytes);
    case CrowdForm::SmallChunks:
      return InChunks(aRequest, 1);
    case CrowdForm::SlowReader:
    case CrowdForm::NoReader:
      return WithLength(aRequest, 0);
    default:
      return WithLength(aRequest, aRequest.m_bodyBytes);
  }
}

}

CrowdClient
MakeCrowdClient(CrowdForm aForm, const CrowdRequest& aRequest)
{
  CrowdClient client;
  std::string bytes = Bytes(aForm, aRequest);
  if (aForm == CrowdForm::LargeChunks || aForm == CrowdForm::SmallChunks ||
      aForm == CrowdForm::PiecesWithoutEnd) {
    bytes.resize(bytes.size() - kMissingBytes);
  }
  client.m_readBytes = kReadBytes;
  client.m_hasSmallBuffer =
    aForm == CrowdForm::SlowReader || aForm == CrowdForm::NoReader;
  if (aForm == CrowdForm::SlowReader) {
    client.m_readBytes = kSlowReadBytes;
    client.m_pause = kPause;
  } else if (aForm == CrowdForm::NoReader) {
    client.m_readBytes = 0;
  } else if (aForm == CrowdForm::Pieces ||
             aForm == CrowdForm::PiecesWithoutEnd) {
    client.m_pieceBytes = bytes.size() / kPieces;
    client.m_pause = kPause;
  }
  client.m_start = fmt::format(
    "POST {} HTTP/1.1\r\n{}: ", aRequest.m_target, aRequest.m_idField);
  client.m_bytes = std::make_shared<const std::string>(std::move(bytes));
  return client;
}

}
