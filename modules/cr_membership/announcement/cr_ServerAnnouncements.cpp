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

AnnouncementVerdict
ServerAnnouncements::Announce(const ServerAnnouncement& aAnnouncement)
{
  const bool isKnownStart = m_server.m_id == aAnnouncement.m_id &&
                            (!m_born || m_born == aAnnouncement.m_born);
  const bool isEarlierStart =
    m_born && (!aAnnouncement.m_born || *aAnnouncement.m_born < *m_born);
  if (isEarlierStart) {
    return AnnouncementVerdict::Stale;
  }
  if (isKnownStart && m_sequence && *m_sequence >= aAnnouncement.m_sequence) {
    return AnnouncementVerdict::Stale;
  }
  const bool hasLeft = isKnownStart && m_server.m_state == ServerState::Leaving;
  m_born = aAnnouncement.m_born;
  m_sequence = aAnnouncement.m_sequence;
  return Replace({ aAnnouncement.m_id,
                   aAnnouncement.m_service,
                   aAnnouncement.m_slots,
                   aAnnouncement.m_isLeaving || hasLeft ? ServerState::Leaving
                                                        : ServerState::Ready });
}

AnnouncementVerdict
ServerAnnouncements::Leave(const std::string& aId,
                           std::optional<WallMilliseconds> aBorn)
{
  const bool isOther = !m_server.m_id.empty() && m_server.m_id != aId;
  const bool isEarlierStart = m_born && aBorn && *aBorn < *m_born;
  if (isOther || isEarlierStart) {
    return AnnouncementVerdict::Stale;
  }
  AnnouncedServer left = m_server;
  left.m_id = aId;
  left.m_state = ServerState::Leaving;
  return Replace(std::move(left));
}

AnnouncementVerdict
ServerAnnouncements::Observe(const AnnouncedServer& aServer)
{
  const bool isOther = m_server.m_id != aServer.m_id;
  if (m_server.m_state == ServerState::Leaving && !isOther) {
    return AnnouncementVerdict::Stale;
  }
  if (m_server.m_state == ServerState::Ready && !isOther) {
    return AnnouncementVerdict::Unchanged;
  }
  if (isOther) {
    m_sequence.reset();
  }
  AnnouncedServer server = aServer;
  if (server.m_slots == 0) {
    server.m_slots = m_server.m_slots;
  }
  return Replace(std::move(server));
}

AnnouncementVerdict
ServerAnnouncements::Lose()
{
  if (m_server.m_state != ServerState::Ready) {
    return AnnouncementVerdict::Unchanged;
  }
  m_server.m_state = ServerState::Absent;
  return AnnouncementVerdict::Changed;
}

AnnouncementVerdict
ServerAnnouncements::Replace(AnnouncedServer aServer)
{
  const bool isSame = IsSame(m_server, aServer);
  m_server = std::move(aServer);
  return isSame ? AnnouncementVerdict::Unchanged : AnnouncementVerdict::Changed;
}

}
