#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "cr_membership/cr_membership.h"

namespace cr {

namespace {

ServerAnnouncement
Announcement(std::string aId,
             WallMilliseconds aStartTime,
             std::uint64_t aSequence,
             bool aIsLeaving = false)
{
  ServerAnnouncement announcement;
  announcement.m_id = std::move(aId);
  announcement.m_service = "pricing";
  announcement.m_slots = 25;
  announcement.m_startTime = aStartTime;
  announcement.m_sequence = aSequence;
  announcement.m_isLeaving = aIsLeaving;
  return announcement;
}

/* Regardless of the order in which announcements arrive, the final state is
   that of the last announcement of the latest start. */
RC_GTEST_PROP(ServerAnnouncements, AnyOrderEndsWithTheLatestStart, ())
{
  std::vector<ServerAnnouncement> sent;
  for (WallMilliseconds start = 1; start <= 3; ++start) {
    const bool sameName = *rc::gen::arbitrary<bool>();
    const std::string name = sameName ? "a" : "a" + std::to_string(start);
    for (std::uint64_t sequence = 0; sequence < 4; ++sequence) {
      sent.push_back(
        Announcement(name, start * 1000, sequence, start < 3 && sequence == 3));
    }
  }
  const std::string last = sent.back().m_id;
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  for (std::size_t index = sent.size() - 1; index > 0; --index) {
    std::swap(sent.at(index), sent.at(random.NextBelow(index + 1)));
  }
  ServerAnnouncements announcements;
  for (const ServerAnnouncement& announcement : sent) {
    announcements.Announce(announcement);
  }
  RC_ASSERT(announcements.Server().m_id == last);
  RC_ASSERT(announcements.Server().m_state == ServerState::Ready);
}

TEST(ServerAnnouncements, LeavingServerStaysLeavingUntilRestart)
{
  ServerAnnouncements announcements;
  announcements.Announce(Announcement("a", 1000, 1));
  EXPECT_EQ(announcements.Announce(Announcement("a", 1000, 2, true)),
            AnnouncementResult::Changed);
  EXPECT_EQ(announcements.Announce(Announcement("a", 1000, 3)),
            AnnouncementResult::Unchanged);
  EXPECT_EQ(announcements.Server().m_state, ServerState::Leaving);
  announcements.OnHealthCheck({ "a", "pricing", 25, ServerState::Ready });
  EXPECT_EQ(announcements.Server().m_state, ServerState::Leaving);
  announcements.Announce(Announcement("a", 2000, 0));
  EXPECT_EQ(announcements.Server().m_state, ServerState::Ready);
}

TEST(ServerAnnouncements, ALateDepartureOfAnEarlierStartIsStale)
{
  ServerAnnouncements announcements;
  announcements.Announce(Announcement("a", 2000, 1));
  EXPECT_EQ(announcements.Leave("a", 1000), AnnouncementResult::Stale);
  EXPECT_EQ(announcements.Leave("b", std::nullopt), AnnouncementResult::Stale);
  EXPECT_EQ(announcements.Server().m_state, ServerState::Ready);
  EXPECT_EQ(announcements.Leave("a", 2000), AnnouncementResult::Changed);
  EXPECT_EQ(announcements.Server().m_state, ServerState::Leaving);
}

TEST(ServerAnnouncements,
     AnnouncementWithoutStartTimeDoesNotReplaceOneWithStartTime)
{
  ServerAnnouncements announcements;
  announcements.Announce(Announcement("a", 2000, 1));
  ServerAnnouncement foreign = Announcement("x", 0, 9, true);
  foreign.m_startTime.reset();
  EXPECT_EQ(announcements.Announce(foreign), AnnouncementResult::Stale);
  EXPECT_EQ(announcements.Server().m_id, "a");
}

TEST(ServerAnnouncements, UnreachableServerIsReadyAfterHealthCheck)
{
  ServerAnnouncements announcements;
  announcements.Announce(Announcement("a", 1000, 1));
  EXPECT_EQ(announcements.MarkUnreachable(), AnnouncementResult::Changed);
  EXPECT_EQ(announcements.Server().m_state, ServerState::Absent);
  announcements.OnHealthCheck({ "a", "pricing", 0, ServerState::Ready });
  EXPECT_EQ(announcements.Server().m_state, ServerState::Ready);
  EXPECT_EQ(announcements.Server().m_slots, 25U);
}

/* DRAIN: a restarted node may hear an earlier announcement first. */
TEST(ServerAnnouncements, RestoredDepartureHoldsForItsStartOnly)
{
  ServerAnnouncements announcements;
  announcements.Announce(Announcement("a", 1000, 1));
  EXPECT_EQ(announcements.RestoreDeparture({ "a", 1000 }),
            AnnouncementResult::Changed);
  announcements.Announce(Announcement("a", 1000, 2));
  EXPECT_EQ(announcements.Departure(), (ServerStart{ "a", 1000 }));
  announcements.Announce(Announcement("a", 2000, 0));
  EXPECT_EQ(announcements.Departure(), std::nullopt);
  EXPECT_EQ(announcements.RestoreDeparture({ "a", 1000 }),
            AnnouncementResult::Stale);
  EXPECT_EQ(announcements.RestoreDeparture({ "b", std::nullopt }),
            AnnouncementResult::Stale);
  EXPECT_EQ(announcements.Server().m_state, ServerState::Ready);
  announcements.RestoreDeparture({ "b", 3000 });
  announcements.Announce(Announcement("a", 2000, 1));
  announcements.Announce(Announcement("b", 3000, 1));
  EXPECT_EQ(announcements.Departure(), (ServerStart{ "b", 3000 }));
}

/* DRAIN: a server leaves before its node has heard its first announcement,
   which arrives after the departure. */
TEST(ServerAnnouncements, DepartureOfAStartThatWasNotAnnouncedBeforeHolds)
{
  for (const char* name : { "a", "b" }) {
    ServerAnnouncements announcements;
    announcements.Announce(Announcement("a", 1000, 5));
    EXPECT_EQ(announcements.Leave(name, 2000), AnnouncementResult::Changed);
    announcements.Announce(Announcement(name, 2000, 1));
    EXPECT_EQ(announcements.Departure(), (ServerStart{ name, 2000 }));
  }
}

TEST(NodeRow, DepartureIsReadFromTheRowOfALeavingServer)
{
  NodeRow row;
  row.m_host = "host-1";
  row.m_peer = { "127.0.0.1", 1 };
  row.m_state = ServerState::Leaving;
  EXPECT_EQ(EncodeNodeRow(row), R"(["host-1",0,0,"","","127.0.0.1",1,"",2])");
  EXPECT_EQ(DecodeNodeRow(EncodeNodeRow(row)).value(), row);
  for (const ServerStart& start :
       { ServerStart{ "i-\"1", 1796522401911 }, { "i-1", std::nullopt } }) {
    row.m_departure = start;
    EXPECT_EQ(DecodeNodeRow(EncodeNodeRow(row)).value(), row);
  }
  for (const char* text :
       { R"(["host-1",0,0,"","","127.0.0.1",1,"",2,"a"])",
         R"(["host-1",0,0,"","","127.0.0.1",1,"",2,"a",1,2])",
         R"(["host-1",0,0,"","","127.0.0.1",1,"",2,"",1])",
         R"(["host-1",0,0,"","","127.0.0.1",1,"",2,"a","x"])" }) {
    EXPECT_FALSE(DecodeNodeRow(text)) << text;
  }
}

TEST(FleetDirectory, ChangesReplaceRowsAndUnreadableRowsAreLeftOut)
{
  FleetDirectory directory;
  NodeRow row;
  row.m_host = "host-1";
  row.m_peer = { "127.0.0.1", 1 };
  row.m_service = "pricing";
  row.m_state = ServerState::Ready;
  const auto unreadable =
    directory.Apply({ { { { "host-1", EncodeNodeRow(row), 3 }, false },
                        { { "host-2", "no row", 4 }, false },
                        { { "host-3", EncodeNodeRow(row), 5 }, false } },
                      true });
  EXPECT_EQ(unreadable.size(), 2U);
  EXPECT_EQ(directory.Size(), 1U);
  EXPECT_EQ(directory.VersionOf("host-1"), 3U);
  EXPECT_EQ(directory.ReadyByService().at("pricing").size(), 1U);
  directory.Apply({ { { { "host-1", "", 6 }, true } }, false });
  EXPECT_EQ(directory.Size(), 0U);
}

}

}
