#pragma once

#include <optional>
#include <string>

#include "cr_core/cr_core.h"

namespace cr {

/** What a backend server reports about itself in an answer. It holds until the
    server answers otherwise. */
struct ServerCondition
{
  /** Max number of requests per second that the server accepts from all nodes
      together; empty if it has no limit. */
  std::optional<double> m_rateLimit;
  /** The server is shutting down. */
  bool m_isLeaving = false;

  bool operator==(const ServerCondition&) const = default;
};

/** Identifies one start of a backend server. */
struct ServerStart
{
  /** Name of the server; may be reused after a restart. */
  std::string m_id;
  /** Start time; empty when it is not known. */
  std::optional<WallMilliseconds> m_startTime;

  bool operator==(const ServerStart&) const = default;
};

/** Returns whether both may be the same start: the names are equal, and so are
    the start times as far as they are known. Thread safe. */
inline bool
MayBeSame(const ServerStart& aFirst, const ServerStart& aSecond)
{
  return aFirst.m_id == aSecond.m_id &&
         (!aFirst.m_startTime || !aSecond.m_startTime ||
          aFirst.m_startTime == aSecond.m_startTime);
}

/** The condition of a backend server as one node reports it to another. */
struct ServerReport
{
  ServerStart m_start;
  ServerCondition m_condition;

  bool operator==(const ServerReport&) const = default;
};

}
