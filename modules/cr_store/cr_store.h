#pragma once

/** Typed requests to the platform's transactional table service and object
    store, their answers, a JSON codec for both, and an in-process platform that
    answers from memory. Also the logic by which a node keeps a copy of a table
    up to date.

    @see StoreRequest, StoreAnswer, InProcessPlatform, TableFollower */

#include "cr_store/codec/cr_StoreCodec.h"
#include "cr_store/follow/cr_StoreBackoff.h"
#include "cr_store/follow/cr_TableFollower.h"
#include "cr_store/table/cr_InProcessPlatform.h"
#include "cr_store/table/cr_StoreRequest.h"
