#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "cr_core/cr_core.h"

namespace cr {

/** How a client misbehaves. */
enum class CrowdForm
{
  /** A body in large chunks, without its end. */
  LargeChunks,
  /** A body in chunks of one byte, without its end. */
  SmallChunks,
  /** A request whose answer is read slowly. */
  SlowReader,
  /** A request whose answer is never read. */
  NoReader,
  /** A body with a length, sent whole at once. */
  WholeBody,
  /** A body with a length, sent in pieces. */
  Pieces,
  /** A body with a length, sent in pieces, without its end. */
  PiecesWithoutEnd
};

/** The request of a crowd's client. */
struct CrowdRequest
{
  std::string m_target;
  /** Name of the header that identifies a request. */
  std::string m_idField;
  /** Header lines, each with CRLF, without those of the body. */
  std::string m_fields;
  std::size_t m_bodyBytes = 0;
};

/** What a client sends and how it reads. */
struct CrowdClient
{
  /** The start of the request, up to its 32-digit identifier. */
  std::string m_start;
  /** What follows the identifier; shared by the clients that send the same. */
  std::shared_ptr<const std::string> m_bytes;
  /** Bytes in one write; 0 for no limit. */
  std::size_t m_pieceBytes = 0;
  /** Bytes in one read; 0 to read nothing. */
  std::size_t m_readBytes = 0;
  /** Time between two pieces, and between two reads. */
  Duration m_pause = Duration::zero();
  /** Receives into a small buffer, so that the server has to keep an answer. */
  bool m_hasSmallBuffer = false;
};

/** Returns a client of the form. Thread safe. */
CrowdClient
MakeCrowdClient(CrowdForm aForm, const CrowdRequest& aRequest);

}
