#include "cr_membership/announcement/cr_ServerAnnouncements.h"

#include <algorithm>

namespace cr {

namespace {

/* Longer than the usual time between two announcements of a server. */
constexpr Duration kConfirmationTime = Seconds(2);
constexpr std::size_t kMaxDepartures = 8;

bool
IsSame(const AnnouncedServer& aFirst, const AnnouncedServer& aSecond)
{
  return aFirst.m_id == aSecond.m_id && aFirst.m_service == aSecond.m_service &&
         aFirst.m_slots == aSecond.m_slots && aFirst.m_state == aSecond.m_state;
}

/* Returns the server under the given name, as it leaves. */
AnnouncedServer
Leaving(AnnouncedServer aServer, const std::string& aId)
{
  aServer.m_id = aId;
  aServer.m_state = ServerState::Leaving;
  return aServer;
}

}

AnnouncementResult
ServerAnnouncements::Announce(const ServerAnnouncement& aAnnouncement,
                              Instant aNow)
{
  const ServerStart start{ aAnnouncement.m_id, aAnnouncement.m_startTime };
  if (IsEarlier(start)) {
    if (!Confirm(start, aAnnouncement.m_sequence, aNow)) {
      return AnnouncementResult::Stale;
    }
  } else if (IsKnown(start) && m_sequence &&
             *m_sequence >= aAnnouncement.m_sequence) {
    return AnnouncementResult::Stale;
  }
  const bool isLeaving =
    aAnnouncement.m_isLeaving || (start.m_startTime && HasDeparted(start)) ||
    (IsKnown(start) && m_server.m_state == ServerState::Leaving);
  Adopt(start);
  m_sequence = aAnnouncement.m_sequence;
  if (isLeaving) {
    RecordDeparture(start);
  }
  return Replace({ aAnnouncement.m_id,
                   aAnnouncement.m_service,
                   aAnnouncement.m_slots,
                   isLeaving ? ServerState::Leaving : ServerState::Ready });
}

AnnouncementResult
ServerAnnouncements::Leave(const std::string& aId,
                           std::optional<WallMilliseconds> aStartTime,
                           Instant aNow)
{
  const bool isOtherServer = !m_server.m_id.empty() && m_server.m_id != aId;
  ServerStart start{ aId, aStartTime };
  if (!aStartTime) {
    if (isOtherServer) {
      return AnnouncementResult::Stale;
    }
    start.m_startTime = Start().m_startTime;
  } else if (IsEarlier(start)) {
    if (!Confirm(start, std::nullopt, aNow)) {
      return AnnouncementResult::Stale;
    }
  } else if (isOtherServer && !(m_startTime && *aStartTime > *m_startTime)) {
    return AnnouncementResult::Stale;
  }
  if (start.m_startTime) {
    Adopt(start);
  }
  RecordDeparture(start);
  return Replace(Leaving(m_server, aId));
}

AnnouncementResult
ServerAnnouncements::OnHealthCheck(const AnnouncedServer& aServer)
{
  const bool isOtherServer = m_server.m_id != aServer.m_id;
  if (m_server.m_state == ServerState::Leaving && !isOtherServer) {
    return AnnouncementResult::Stale;
  }
  // The answer does not tell which start of the other server it is from.
  if (isOtherServer && HasDeparted(aServer.m_id)) {
    return AnnouncementResult::Stale;
  }
  if (m_server.m_state == ServerState::Ready && !isOtherServer) {
    return AnnouncementResult::Unchanged;
  }
  if (isOtherServer) {
    m_sequence.reset();
  }
  AnnouncedServer server = aServer;
  if (server.m_slots == 0) {
    server.m_slots = m_server.m_slots;
  }
  return Replace(std::move(server));
}

AnnouncementResult
ServerAnnouncements::RestoreDeparture(const ServerStart& aStart)
{
  RecordDeparture(aStart);
  const bool isLater =
    aStart.m_startTime && m_startTime && *aStart.m_startTime > *m_startTime;
  if (!m_server.m_id.empty() && !isLater && !MayBeSame(aStart, Start())) {
    return AnnouncementResult::Stale;
  }
  if (isLater || !m_startTime) {
    Adopt(aStart);
  }
  return Replace(Leaving(m_server, aStart.m_id));
}

AnnouncementResult
ServerAnnouncements::MarkUnreachable()
{
  if (m_server.m_state != ServerState::Ready) {
    return AnnouncementResult::Unchanged;
  }
  m_server.m_state = ServerState::Absent;
  return AnnouncementResult::Changed;
}

ServerStart
ServerAnnouncements::Start() const
{
  return { m_server.m_id,
           m_startTimeServer == m_server.m_id ? m_startTime : std::nullopt };
}

std::optional<ServerStart>
ServerAnnouncements::Departure() const
{
  return m_server.m_state == ServerState::Leaving ? std::optional(Start())
                                                  : std::nullopt;
}

//==============================================================================
/* A known server without a start time may have any. */
bool
ServerAnnouncements::IsEarlier(const ServerStart& aStart) const
{
  const bool isIdentifiedByHealth =
    m_server.m_id == aStart.m_id && m_startTimeServer != m_server.m_id;
  return m_startTime && !isIdentifiedByHealth &&
         (!aStart.m_startTime || *aStart.m_startTime < *m_startTime);
}

bool
ServerAnnouncements::IsKnown(const ServerStart& aStart) const
{
  return MayBeSame(aStart, Start());
}

/* Returns whether the start, whose start time is earlier than the known one, is
   the present one. Messages that were held up arrive together, and a known
   server that still runs announces itself meanwhile. */
bool
ServerAnnouncements::Confirm(const ServerStart& aStart,
                             std::optional<std::uint64_t> aSequence,
                             Instant aNow)
{
  const bool isDeparted =
    m_server.m_state == ServerState::Leaving && m_server.m_id == aStart.m_id;
  if (!aStart.m_startTime || isDeparted) {
    return false;
  }
  if (!IsUnconfirmed(aStart)) {
    m_unconfirmed = { aStart, aNow, aSequence.value_or(0) };
    return false;
  }
  return (!aSequence || *aSequence > m_unconfirmed->m_sequence) &&
         aNow - m_unconfirmed->m_since >= kConfirmationTime;
}

/* Makes it the known start. */
void
ServerAnnouncements::Adopt(const ServerStart& aStart)
{
  m_unconfirmed.reset();
  if (!IsKnown(aStart)) {
    m_sequence.reset();
  }
  m_startTime = aStart.m_startTime;
  m_startTimeServer = aStart.m_id;
}

void
ServerAnnouncements::RecordDeparture(const ServerStart& aStart)
{
  if (HasDeparted(aStart)) {
    return;
  }
  m_departures.push_back(aStart);
  if (m_departures.size() > kMaxDepartures) {
    m_departures.pop_front();
  }
}

bool
ServerAnnouncements::HasDeparted(const ServerStart& aStart) const
{
  return std::find(m_departures.begin(), m_departures.end(), aStart) !=
         m_departures.end();
}

bool
ServerAnnouncements::HasDeparted(const std::string& aId) const
{
  return std::any_of(
    m_departures.begin(), m_departures.end(), [&](const ServerStart& aStart) {
      return aStart.m_id == aId;
    });
}

AnnouncementResult
ServerAnnouncements::Replace(AnnouncedServer aServer)
{
  const bool isSame = IsSame(m_server, aServer);
  m_server = std::move(aServer);
  return isSame ? AnnouncementResult::Unchanged : AnnouncementResult::Changed;
}

}
