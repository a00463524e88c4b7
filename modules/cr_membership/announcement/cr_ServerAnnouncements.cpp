#include "cr_membership/announcement/cr_ServerAnnouncements.h"

namespace cr {

namespace {

bool
IsSame(const AnnouncedServer& aFirst, const AnnouncedServer& aSecond)
{
  return aFirst.m_id == aSecond.m_id && aFirst.m_service == aSecond.m_service &&
         aFirst.m_slots == aSecond.m_slots && aFirst.m_state == aSecond.m_state;
}

}

AnnouncementResult
ServerAnnouncements::Announce(const ServerAnnouncement& aAnnouncement)
{
  const bool isCurrentStart =
    m_server.m_id == aAnnouncement.m_id &&
    (!m_startTime || m_startTime == aAnnouncement.m_startTime);
  const bool isFromEarlierStart =
    m_startTime &&
    (!aAnnouncement.m_startTime || *aAnnouncement.m_startTime < *m_startTime);
  if (isFromEarlierStart) {
    return AnnouncementResult::Stale;
  }
  if (isCurrentStart && m_sequence && *m_sequence >= aAnnouncement.m_sequence) {
    return AnnouncementResult::Stale;
  }
  const bool hasLeft =
    isCurrentStart && m_server.m_state == ServerState::Leaving;
  m_startTime = aAnnouncement.m_startTime;
  m_startTimeServer = aAnnouncement.m_id;
  m_sequence = aAnnouncement.m_sequence;
  return Replace({ aAnnouncement.m_id,
                   aAnnouncement.m_service,
                   aAnnouncement.m_slots,
                   aAnnouncement.m_isLeaving || hasLeft ? ServerState::Leaving
                                                        : ServerState::Ready });
}

AnnouncementResult
ServerAnnouncements::Leave(const std::string& aId,
                           std::optional<WallMilliseconds> aStartTime)
{
  const bool isOtherServer = !m_server.m_id.empty() && m_server.m_id != aId;
  const bool isFromEarlierStart =
    m_startTime && aStartTime && *aStartTime < *m_startTime;
  const bool isFromLaterStart =
    m_startTime && aStartTime && *aStartTime > *m_startTime;
  if ((isOtherServer && !isFromLaterStart) || isFromEarlierStart) {
    return AnnouncementResult::Stale;
  }
  if ((!m_startTime && aStartTime) || isFromLaterStart) {
    m_startTime = aStartTime;
    m_startTimeServer = aId;
    m_sequence.reset();
  }
  AnnouncedServer left = m_server;
  left.m_id = aId;
  left.m_state = ServerState::Leaving;
  return Replace(std::move(left));
}

AnnouncementResult
ServerAnnouncements::OnHealthCheck(const AnnouncedServer& aServer)
{
  const bool isOtherServer = m_server.m_id != aServer.m_id;
  if (m_server.m_state == ServerState::Leaving && !isOtherServer) {
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
  const bool isLater =
    aStart.m_startTime && m_startTime && *aStart.m_startTime > *m_startTime;
  if (!m_server.m_id.empty() && !isLater && !MayBeSame(aStart, Start())) {
    return AnnouncementResult::Stale;
  }
  if (isLater || !m_startTime) {
    m_startTime = aStart.m_startTime;
    m_startTimeServer = aStart.m_id;
    m_sequence.reset();
  }
  AnnouncedServer left = m_server;
  left.m_id = aStart.m_id;
  left.m_state = ServerState::Leaving;
  return Replace(std::move(left));
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
AnnouncementResult
ServerAnnouncements::Replace(AnnouncedServer aServer)
{
  const bool isSame = IsSame(m_server, aServer);
  m_server = std::move(aServer);
  return isSame ? AnnouncementResult::Unchanged : AnnouncementResult::Changed;
}

}
