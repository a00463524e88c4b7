#pragma once

#include <initializer_list>
#include <string_view>

#include "cr_core/cr_core.h"

namespace cr {

/** Identifies a request in the records about crashes. */
using RequestKey = Identifier<struct RequestKeyTag>;

/** Returns the key of a request whose callers keep its identifier when they
    send it again. Child calls share their request's identifier, but a crash in
    one operation does not make the request's other calls suspects. Thread
    safe. */
RequestKey
MakeRequestKey(const RequestId& aRequest, const OperationName& aOperation);

/** Returns the key of a request whose callers send it again under another
    identifier: it depends on the given parts only, which are what a backend
    server reads, and their order. Thread safe. */
RequestKey
MakeContentKey(std::initializer_list<std::string_view> aParts);

}
