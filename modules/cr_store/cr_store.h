#pragma once

/** What the product asks of the platform's transactional table service and
    object store, as typed requests and answers, with their JSON codec and an
    in-process platform that answers them from memory; and the decisions by
   which a node keeps a copy of a table.

    @see StoreRequest, StoreAnswer, InProcessPlatform, TableFollower */

#include "cr_store/codec/cr_StoreCodec.h"
#include "cr_store/follow/cr_StorePace.h"
#include "cr_store/follow/cr_TableFollower.h"
#include "cr_store/table/cr_InProcessPlatform.h"
#include "cr_store/table/cr_StoreRequest.h"
