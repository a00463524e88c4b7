#pragma once

#include <string>
#include <string_view>

#include "cr_store/table/cr_StoreRequest.h"

namespace cr {

/** Writes a store request as JSON. Thread safe. */
std::string
EncodeStoreRequest(const StoreRequest& aRequest);

/** Reads a store request; an error for any other text. Thread safe. */
Expected<StoreRequest>
DecodeStoreRequest(std::string_view aText);

/** Writes a store answer as JSON. Thread safe. */
std::string
EncodeStoreAnswer(const StoreAnswer& aAnswer);

/** Reads a store answer; StoreFailed for any other text. Thread safe. */
StoreAnswer
DecodeStoreAnswer(std::string_view aText);

}
