#pragma once

#include <string_view>

namespace cr {

/** Writes one line to standard error: the component's name in brackets, then
   the text. Thread safe. */
void
Log(std::string_view aComponent, std::string_view aText);

}
