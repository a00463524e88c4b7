#pragma once

/** What the product asks of the platform's transactional table service and
    object store, as typed requests and answers, with their JSON codec and an
    in-process platform that answers them from memory.

    @see StoreRequest, StoreAnswer, InProcessPlatform */

#include "cr_store/codec/cr_StoreCodec.h"
#include "cr_store/table/cr_InProcessPlatform.h"
#include "cr_store/table/cr_StoreRequest.h"
