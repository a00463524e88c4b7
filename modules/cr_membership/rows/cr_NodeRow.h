#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cr_platform/cr_platform.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** State of a host's backend server, as its node announces it. */
enum class ServerState : std::uint8_t
{
  /** No backend server has announced itself. */
  Absent,
  /** New work is taken. */
  Ready,
  /** The server or the node is leaving; no new work is taken. */
  Leaving
};

/** What a node tells others of itself. */
struct NodeRow
{
  HostName m_host;
  Incarnation m_incarnation{};
  /** Raised with every change within an incarnation. */
  std::uint64_t m_revision = 0;
  std::string m_region;
  std::string m_dataCentre;
  Endpoint m_peer;
  std::string m_service;
  ServerState m_state = ServerState::Absent;
  /** Wall-clock time at which the row lapses unless renewed. */
  WallMilliseconds m_lapses = 0;
};

/** Name of the table that holds a row for each node. */
inline constexpr std::string_view kNodeTable = "nodes";

/** Writes a node's row as JSON. Thread safe. */
std::string
EncodeNodeRow(const NodeRow& aRow);

/** Reads a node's row. Thread safe. */
Expected<NodeRow>
DecodeNodeRow(std::string_view aText);

}
