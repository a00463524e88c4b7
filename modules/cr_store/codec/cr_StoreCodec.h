#pragma once

#include <string>
#include <string_view>

#include "cr_store/table/cr_StoreRequest.h"

namespace cr {

/** Encodes a store request as JSON. Thread safe. */
std::string
EncodeStoreRequest(const StoreRequest& aRequest);

/** Decodes a store request; returns an error for any other text. Thread
    safe. */
Expected<StoreRequest>
DecodeStoreRequest(std::string_view aText);

/** Encodes a store answer as JSON. Thread safe. */
std::string
EncodeStoreAnswer(const StoreAnswer& aAnswer);

/** Decodes a store answer; returns StoreFailed for any other text. Thread
    safe. */
StoreAnswer
DecodeStoreAnswer(std::string_view aText);

}
