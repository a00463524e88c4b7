#pragma once

#include <string_view>
#include <type_traits>
#include <utility>

#include "cr_settings/json/cr_JsonDocument.h"

namespace cr {

/** Wraps a result type in Expected, unless it is an Expected already. */
template<typename Result>
struct AsExpected
{
  using Type = Expected<Result>;
};

template<typename Result>
struct AsExpected<Expected<Result>>
{
  using Type = Expected<Result>;
};

/** Return type of DecodeJson() for a decode function. */
template<typename Decode>
using JsonDecoded =
  typename AsExpected<std::invoke_result_t<Decode, const Json::Value&>>::Type;

/** Decodes a JSON value with the given function. Returns an error when a member
    is missing or has the wrong type, for which the JSON library throws. Thread
    safe if the function is. */
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

/** Parses a text and decodes it with the given function. Also returns an error
    when the text is not exactly one JSON value. Thread safe if the function is.
    @see DecodeJson, ParseJson */
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
