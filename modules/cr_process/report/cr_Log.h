#pragma once

#include <string_view>

namespace cr {

/** Writes one line to standard error: the part's name, then a short sentence.
    Thread safe. */
void
Log(std::string_view aPart, std::string_view aText);

}
