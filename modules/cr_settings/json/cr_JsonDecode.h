#pragma once

#include <string_view>
#include <type_traits>
#include <utility>

#include "cr_settings/json/cr_JsonDocument.h"

namespace cr {

/** The result of a function, with the possibility of an error, which it may
    have already. */
template<typename Result>
struct WithError
{
  using Type = Expected<Result>;
};

template<typename Result>
struct WithError<Expected<Result>>
{
  using Type = Expected<Result>;
};

/** What a function makes of a JSON value, or an error. */
template<typename Decode>
using JsonDecoded =
  typename WithError<std::invoke_result_t<Decode, const Json::Value&>>::Type;

/** Returns what the function makes of the value, or the error that a member is
    missing or of the wrong type, for which the library throws. Thread safe if
    the function is. */
template<typename Decode>
JsonDecoded<Decode>
DecodeJson(const Json::Value& aValue, Decode aDecode)
{
  try {
    return aDecode(aValue);
  } catch (const Json::Exception& exception) {
    return Failure(ErrorCode::Malformed, exception.what());
  }
}

/** Does the same with a text; one that is not exactly one JSON value is an
   error too. @see ParseJson */
template<typename Decode>
JsonDecoded<Decode>
DecodeJsonText(std::string_view aText, Decode aDecode)
{
  const auto value = ParseJson(aText);
  if (!value) {
    return tl::unexpected(value.error());
  }
  return DecodeJson(*value, std::move(aDecode));
}

}
