#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cr_core/cr_core.h"

namespace cr {

/** Writes structured lines to standard output, one JSON object each.

    Never blocks the caller: lines go through a ring that a thread of its own
    empties; when the ring is full the oldest line is dropped, and beyond a rate
    lines are suppressed. Both are counted. Thread safe. */
class RelayLog
{
public:
  /** Lines a second that are written at most, on average. */
  static constexpr std::uint32_t kLinesPerSecond = 100;

  /** The host's name is part of each line. */
  explicit RelayLog(std::string aHost);
  ~RelayLog();
  RelayLog(const RelayLog&) = delete;
  RelayLog& operator=(const RelayLog&) = delete;

  //==========================================================================
  /** Writes a line. The event is a fixed word; the members are JSON members
      without braces, and may be empty. */
  void Write(std::string_view aEvent, std::string_view aMembers);

  /** Writes a line about a request. */
  void Write(std::string_view aEvent,
             std::string_view aRequest,
             std::string_view aMembers);

  /** Writes what is in the ring and waits for it. */
  void Flush();

  //==========================================================================
  /** Returns the number of lines that were not written. */
  std::uint64_t Lost() const;

private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
