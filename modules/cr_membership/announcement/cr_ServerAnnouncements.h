#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "cr_membership/announcement/cr_ServerCondition.h"
#include "cr_membership/rows/cr_NodeRow.h"

namespace cr {

/** An announcement that a backend server sends to its node. */
struct ServerAnnouncement
{
  /** Name of the server. It may be reused after a restart. */
  std::string m_id;
  std::string m_service;
  std::uint32_t m_slots = 0;
  bool m_isLeaving = false;
  /** Start time of the server, which tells restarts apart; empty when the
      server does not report it. */
  std::optional<WallMilliseconds> m_startTime;
  /** Sequence number; increases with each announcement since the start. */
  std::uint64_t m_sequence = 0;
};

/** The backend server of a node, as last announced. */
struct AnnouncedServer
{
  std::string m_id;
  std::string m_service;
  std::uint32_t m_slots = 0;
  ServerState m_state = ServerState::Absent;
};

/** Result of processing an announcement, a departure or a health check. */
enum class AnnouncementResult : std::uint8_t
{
  /** The known state of the server changed. */
  Changed,
  /** The message is the latest one and matches the known state. */
  Unchanged,
  /** The message is out of date or from an earlier start; the known state is
      kept. */
  Stale
};

/** Tracks the state of a host's backend server from announcements that may
    arrive late, out of order, or from earlier starts of the server.

    A server that is leaving can't become ready again; only another start makes
    the host available.

    Start times are read from a clock that may step back, so the present start
    may seem to be an earlier one. Its messages are stale until it has been
    heard again after a while in which the known start was silent. A start that
    leaves is never replaced in this way by one of the same name, because
    requests that are sent to one would reach the other. Not thread safe. */
class ServerAnnouncements
{
public:
  /** Processes an announcement. */
  AnnouncementResult Announce(const ServerAnnouncement& aAnnouncement,
                              Instant aNow);

  /** Marks the named server as leaving, whether or not it was announced before.
      Stale if the start time is earlier than the known one and not confirmed,
      or if another server is known and the start time is not later. */
  AnnouncementResult Leave(const std::string& aId,
                           std::optional<WallMilliseconds> aStartTime,
                           Instant aNow);

  /** Processes a health check answer in which the server gave its name and is
      not leaving. Has an effect only while the known server is absent or has
      another name. */
  AnnouncementResult OnHealthCheck(const AnnouncedServer& aServer);

  /** Adopts a departure that a former process of the node has recorded. Stale
      if a later start is known. */
  AnnouncementResult RestoreDeparture(const ServerStart& aStart);

  /** Marks a ready server as absent because it can't be reached. It stays
      absent until the next announcement or successful health check. */
  AnnouncementResult MarkUnreachable();

  //==========================================================================
  /** Returns the last known state of the server. */
  const AnnouncedServer& Server() const { return m_server; }

  /** Returns the start of the known server; its name is empty if there is
      none. */
  ServerStart Start() const;

  /** Returns whether the start was ignored as an earlier one but may be the
      present one. */
  bool IsUnconfirmed(const ServerStart& aStart) const
  {
    return m_unconfirmed && m_unconfirmed->m_start == aStart;
  }

  /** Returns the start that is leaving; empty if the server is not. */
  std::optional<ServerStart> Departure() const;

private:
  /* A start with an earlier start time than the known one, heard since the
     known one was. */
  struct UnconfirmedStart
  {
    ServerStart m_start;
    Instant m_since;
    std::uint64_t m_sequence = 0;
  };

  bool IsEarlier(const ServerStart& aStart) const;
  bool IsKnown(const ServerStart& aStart) const;
  bool Confirm(const ServerStart& aStart,
               std::optional<std::uint64_t> aSequence,
               Instant aNow);
  void Adopt(const ServerStart& aStart);
  void RecordDeparture(const ServerStart& aStart);
  bool HasDeparted(const ServerStart& aStart) const;
  bool HasDeparted(const std::string& aId) const;
  AnnouncementResult Replace(AnnouncedServer aServer);

  AnnouncedServer m_server;
  /* Start time of the known server, or of the one before if a health check has
     identified the known one, and the server that reported it. */
  std::optional<WallMilliseconds> m_startTime;
  std::string m_startTimeServer;
  std::optional<std::uint64_t> m_sequence;
  std::optional<UnconfirmedStart> m_unconfirmed;
  /* The latest starts that left. */
  std::deque<ServerStart> m_departures;
};

}
