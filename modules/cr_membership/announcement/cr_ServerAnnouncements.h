#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cr_membership/rows/cr_NodeRow.h"

namespace cr {

/** What a backend server says of itself. */
struct ServerAnnouncement
{
  /** Name of the server; it may be used again after a restart. */
  std::string m_id;
  std::string m_service;
  std::uint32_t m_slots = 0;
  bool m_isLeaving = false;
  /** Time of its start, which tells restarts apart; nothing when it does not
      say. */
  std::optional<WallMilliseconds> m_born;
  /** Rises with each announcement since the start. */
  std::uint64_t m_sequence = 0;
};

/** The backend server that a node stands before. */
struct AnnouncedServer
{
  std::string m_id;
  std::string m_service;
  std::uint32_t m_slots = 0;
  ServerState m_state = ServerState::Absent;
};

/** What an announcement, a departure or a health answer was found to be. */
enum class AnnouncementVerdict : std::uint8_t
{
  /** It changed what is known of the server. */
  Changed,
  /** It is the latest, and says what was known. */
  Unchanged,
  /** It is late, or of an earlier start; what is known holds. */
  Stale
};

/** Keeps what is known of a host's backend server from announcements that may
    come late, in any order, and from earlier starts.

    A server that leaves can't come back: only a later start opens the host
    again. Not thread safe. */
class ServerAnnouncements
{
public:
  /** Takes in an announcement. */
  AnnouncementVerdict Announce(const ServerAnnouncement& aAnnouncement);

  /** The server with the name says that it has left. The time of its start, if
      it says it, must not be earlier than the known one. */
  AnnouncementVerdict Leave(const std::string& aId,
                            std::optional<WallMilliseconds> aBorn);

  /** The server itself gave its name in a health answer, and is not leaving.
      Counts only while no announcement has come since the node's start, or
      while the server was taken for absent. */
  AnnouncementVerdict Observe(const AnnouncedServer& aServer);

  /** The server can't be reached. It is absent until it is heard of. */
  AnnouncementVerdict Lose();

  //==========================================================================
  /** Returns what is known of the server. */
  const AnnouncedServer& Server() const { return m_server; }

private:
  AnnouncementVerdict Replace(AnnouncedServer aServer);

  AnnouncedServer m_server;
  std::optional<WallMilliseconds> m_born;
  std::optional<std::uint64_t> m_sequence;
};

}
