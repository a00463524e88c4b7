#pragma once

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace cr {

/** Category of an error. */
enum class ErrorCode : std::uint8_t
{
  Malformed,
  NotFound,
  Conflict,
  Unavailable,
  TimedOut,
  LimitReached,
  Refused
};

/** An error: its category and a human-readable message. */
struct Error
{
  ErrorCode m_code = ErrorCode::Malformed;
  std::string m_text;
};

/** A value, or the error that prevented it. */
template<typename Value>
using Expected = tl::expected<Value, Error>;

/** Returns an error that converts to any Expected. Thread safe. */
inline tl::unexpected<Error>
Failure(ErrorCode aCode, std::string aText)
{
  return tl::unexpected<Error>(Error{ aCode, std::move(aText) });
}

}
