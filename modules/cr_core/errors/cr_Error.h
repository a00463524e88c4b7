#pragma once

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace cr {

/** Kind of a failed operation. */
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

/** A failed operation: its kind and a sentence for people. */
struct Error
{
  ErrorCode m_code = ErrorCode::Malformed;
  std::string m_text;
};

/** A value, or the error that took its place. */
template<typename Value>
using Expected = tl::expected<Value, Error>;

/** Builds the failed side of an Expected. Thread safe. */
inline tl::unexpected<Error>
Failure(ErrorCode aCode, std::string aText)
{
  return tl::unexpected<Error>(Error{ aCode, std::move(aText) });
}

}
