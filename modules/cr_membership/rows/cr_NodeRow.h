#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cr_membership/announcement/cr_ServerCondition.h"
#include "cr_settings/cr_settings.h"
#include "cr_store/cr_store.h"

namespace cr {

/** State of a host's backend server, as its node announces it. */
enum class ServerState : std::uint8_t
{
  /** No backend server has announced itself. */
  Absent,
  /** The server accepts new calls. */
  Ready,
  /** The server or the node is shutting down and accepts no new calls. */
  Leaving
};

/** What a node publishes about itself. */
struct NodeRow
{
  HostName m_host;
  Incarnation m_incarnation{};
  /** Increases with every change within an incarnation. */
  std::uint64_t m_revision = 0;
  std::string m_region;
  std::string m_dataCentre;
  Endpoint m_peer;
  std::string m_service;
  ServerState m_state = ServerState::Absent;
  /** The start of the backend server that is known to leave; a node that
      restarts learns it from the row of its former process. */
  std::optional<ServerStart> m_departure{};

  bool operator==(const NodeRow&) const = default;
};

/** Returns whether aRow is of a later incarnation of its host than aOther, or
    of a later revision of the same incarnation. Thread safe. */
bool
IsNewer(const NodeRow& aRow, const NodeRow& aOther);

/** Returns the name of the state as used in reports. Thread safe. */
std::string_view
ToText(ServerState aState);

/** Name of the table that holds one row per node. */
inline constexpr std::string_view kNodeTable = "nodes";

/** Encodes a node's row as a JSON list without member names, the form in which
    rows are sent. The list is longer only if the row has a departure. Thread
    safe. */
Json::Value
ToJson(const NodeRow& aRow);

/** Decodes a node's row from its JSON list. Thread safe. */
Expected<NodeRow>
ParseNodeRow(const Json::Value& aValue);

/** Encodes a node's row as text. Thread safe. */
std::string
EncodeNodeRow(const NodeRow& aRow);

/** Decodes a node's row from text. Thread safe. */
Expected<NodeRow>
DecodeNodeRow(std::string_view aText);

}
