#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cr_core/cr_core.h"

namespace cr {

/** Writes structured log lines to standard output, one JSON object each.

    Never blocks the caller: lines go through a ring buffer that a separate
    thread writes out. When the buffer is full, the oldest line is dropped.
    Lines above the rate limit are suppressed. Both are counted. Thread safe. */
class RelayLog
{
public:
  /** Max average rate of written lines per second; applies separately to lines
      about requests and to all others. */
  static constexpr std::uint32_t kMaxLinesPerSecond = 100;

  /** The host's name is added to each line. */
  explicit RelayLog(std::string aHost);
  ~RelayLog();
  RelayLog(const RelayLog&) = delete;
  RelayLog& operator=(const RelayLog&) = delete;

  //==========================================================================
  /** Writes a line. The event is a constant name; the members are JSON members
      without the enclosing braces and may be empty. */
  void Write(std::string_view aEvent, std::string_view aMembers);

  /** Writes a line about the request with the given identifier. */
  void Write(std::string_view aEvent,
             std::string_view aRequest,
             std::string_view aMembers);

  /** Writes the lines in the ring buffer and waits for completion. */
  void Flush();

  //==========================================================================
  /** Returns the number of lines that were dropped or suppressed. */
  std::uint64_t LostLines() const;

private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
