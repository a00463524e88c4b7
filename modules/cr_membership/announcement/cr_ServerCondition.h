#pragma once

#include <optional>

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

}
