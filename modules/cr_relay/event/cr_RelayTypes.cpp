#include "cr_relay/event/cr_RelayTypes.h"

#include <array>

namespace cr {

std::string_view
ToText(DispatchResult aResult)
{
  constexpr std::array<std::string_view, 8> names = {
    "answered",    "answered-error", "refused-not-run", "wrong-server",
    "unreachable", "caller-left",    "broken",          "timed-out"
  };
  return names.at(static_cast<std::size_t>(aResult));
}

}
