#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "cr_membership/cr_membership.h"

namespace cr {

namespace {

constexpr Instant kNow{ Seconds(100) };

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
    announcements.Announce(announcement, kNow);
  }
  RC_ASSERT(announcements.Server().m_id == last);
  RC_ASSERT(announcements.Server().m_state == ServerState::Ready);
}

TEST(ServerAnnouncements, LeavingServerStaysLeavingUntilRestart)
{
  ServerAnnouncements announcements;
  announcements.Announce(Announcement("a", 1000, 1), kNow);
  EXPECT_EQ(announcements.Announce(Announcement("a", 1000, 2, true), kNow),
            AnnouncementResult::Changed);
  EXPECT_EQ(announcements.Announce(Announcement("a", 1000, 3), kNow),
            AnnouncementResult::Unchanged);
  EXPECT_EQ(announcements.Server().m_state, ServerState::Leaving);
  announcements.OnHealthCheck({ "a", "pricing", 25, ServerState::Ready });
  EXPECT_EQ(announcements.Server().m_state, ServerState::Leaving);
  announcements.Announce(Announcement("a", 2000, 0), kNow);
  EXPECT_EQ(announcements.Server().m_state, ServerState::Ready);
}

TEST(ServerAnnouncements, ALateDepartureOfAnEarlierStartIsStale)
{
  ServerAnnouncements announcements;
  announcements.Announce(Announcement("a", 2000, 1), kNow);
  EXPECT_EQ(announcements.Leave("a", 1000, kNow), AnnouncementResult::Stale);
  EXPECT_EQ(announcements.Leave("b", std::nullopt, kNow),
            AnnouncementResult::Stale);
  EXPECT_EQ(announcements.Server().m_state, ServerState::Ready);
  EXPECT_EQ(announcements.Leave("a", 2000, kNow), AnnouncementResult::Changed);
  EXPECT_EQ(announcements.Server().m_state, ServerState::Leaving);
}

TEST(ServerAnnouncements,
     AnnouncementWithoutStartTimeDoesNotReplaceOneWithStartTime)
{
  ServerAnnouncements announcements;
  announcements.Announce(Announcement("a", 2000, 1), kNow);
  ServerAnnouncement foreign = Announcement("x", 0, 9, true);
  foreign.m_startTime.reset();
  EXPECT_EQ(announcements.Announce(foreign, kNow), AnnouncementResult::Stale);
  EXPECT_EQ(announcements.Server().m_id, "a");
}

TEST(ServerAnnouncements, UnreachableServerIsReadyAfterHealthCheck)
{
  ServerAnnouncements announcements;
  announcements.Announce(Announcement("a", 1000, 1), kNow);
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
  announcements.Announce(Announcement("a", 1000, 1), kNow);
  EXPECT_EQ(announcements.RestoreDeparture({ "a", 1000 }),
            AnnouncementResult::Changed);
  announcements.Announce(Announcement("a", 1000, 2), kNow);
  EXPECT_EQ(announcements.Departure(), (ServerStart{ "a", 1000 }));
  announcements.Announce(Announcement("a", 2000, 0), kNow);
  EXPECT_EQ(announcements.Departure(), std::nullopt);
  EXPECT_EQ(announcements.RestoreDeparture({ "a", 1000 }),
            AnnouncementResult::Stale);
  EXPECT_EQ(announcements.RestoreDeparture({ "b", std::nullopt }),
            AnnouncementResult::Stale);
  EXPECT_EQ(announcements.Server().m_state, ServerState::Ready);
  announcements.RestoreDeparture({ "b", 3000 });
  announcements.Announce(Announcement("a", 2000, 1), kNow);
  announcements.Announce(Announcement("b", 3000, 1), kNow);
  EXPECT_EQ(announcements.Departure(), (ServerStart{ "b", 3000 }));
}

/* DRAIN: a server leaves before its node has heard its first announcement,
   which arrives after the departure. */
TEST(ServerAnnouncements, DepartureOfAStartThatWasNotAnnouncedBeforeHolds)
{
  for (const char* name : { "a", "b" }) {
    ServerAnnouncements announcements;
    announcements.Announce(Announcement("a", 1000, 5), kNow);
    EXPECT_EQ(announcements.Leave(name, 2000, kNow),
              AnnouncementResult::Changed);
    announcements.Announce(Announcement(name, 2000, 1), kNow);
    EXPECT_EQ(announcements.Departure(), (ServerStart{ name, 2000 }));
  }
}

/* DRAIN: the clock of the host stepped back before the server started again. */
TEST(ServerAnnouncements, StartWithAnEarlierTimeIsTakenOnceTheKnownOneIsSilent)
{
  for (const char* name : { "a", "b" }) {
    ServerAnnouncements announcements;
    announcements.Announce(Announcement("a", 2000, 7), kNow);
    const auto announce = [&](std::uint64_t aSequence, Duration aAfter) {
      return announcements.Announce(Announcement(name, 1000, aSequence),
                                    kNow + aAfter);
    };
    EXPECT_EQ(announce(0, Seconds(1)), AnnouncementResult::Stale);
    EXPECT_TRUE(announcements.IsUnconfirmed({ name, 1000 }));
    EXPECT_EQ(announce(1, Milliseconds(2500)), AnnouncementResult::Stale);
    EXPECT_NE(announce(2, Seconds(4)), AnnouncementResult::Stale);
    EXPECT_FALSE(announcements.IsUnconfirmed({ name, 1000 }));
    EXPECT_EQ(announcements.Start(), (ServerStart{ name, 1000 }));
    EXPECT_EQ(announcements.Leave(name, 1000, kNow + Seconds(5)),
              AnnouncementResult::Changed);
  }
}

TEST(ServerAnnouncements, LateMessagesOfAnEarlierStartDoNotReplaceOneThatRuns)
{
  ServerAnnouncements announcements;
  announcements.Announce(Announcement("a", 2000, 1), kNow);
  std::uint64_t sequence = 1;
  for (int second = 1; second < 10; ++second) {
    const Instant now = kNow + Seconds(second);
    EXPECT_EQ(announcements.Announce(Announcement("a", 1000, ++sequence), now),
              AnnouncementResult::Stale);
    EXPECT_EQ(announcements.Leave("a", 1000, now), AnnouncementResult::Stale);
    if (second % 2 == 0) {
      announcements.Announce(Announcement("a", 2000, ++sequence), now);
    }
  }
  announcements.Announce(Announcement("a", 2000, ++sequence),
                         kNow + Seconds(59));
  // A partition delivers what it held up at once.
  for (int count = 0; count < 5; ++count) {
    EXPECT_EQ(announcements.Announce(Announcement("a", 1000, ++sequence),
                                     kNow + Seconds(60)),
              AnnouncementResult::Stale);
  }
  EXPECT_EQ(announcements.Start(), (ServerStart{ "a", 2000 }));
}

/* Another server at the address rejects what is meant for this one; a start of
   the same name would not. */
TEST(ServerAnnouncements, EarlierStartOfTheSameNameNeverReplacesOneThatLeaves)
{
  for (const char* name : { "a", "b" }) {
    ServerAnnouncements announcements;
    announcements.Announce(Announcement("a", 2000, 1), kNow);
    announcements.Leave("a", 2000, kNow);
    for (int second = 1; second < 10; ++second) {
      announcements.Announce(Announcement(name, 1000, second),
                             kNow + Seconds(second));
    }
    const bool isSame = announcements.Server().m_id == "a";
    EXPECT_EQ(announcements.Departure().has_value(), isSame) << name;
    // The first server may still answer its health path.
    announcements.MarkUnreachable();
    announcements.OnHealthCheck({ "a", "pricing", 25, ServerState::Ready });
    EXPECT_NE(announcements.Server().m_state, ServerState::Ready) << name;
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
