#pragma once

#include <initializer_list>
#include <string_view>

#include "cr_core/cr_core.h"

namespace cr {

/** Identifies a request by what a backend server reads of it, so that a caller
    that sends it again under another identifier is recognised. */
using ContentKey = Identifier<struct ContentTag>;

/** Returns the key of a request with these parts, in this order. The key is the
    same on all hosts. Thread safe. */
ContentKey
MakeContentKey(std::initializer_list<std::string_view> aParts);

}
