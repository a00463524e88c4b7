#pragma once

/** Decides which node may run a non-idempotent call, so that each runs at most
    once.

    The idempotency keys of a service are hashed into partitions; a node owns a
    partition for an interval of birth times, the creation times that the keys
    contain. @see OwnershipMap, PlanOwnership, KeyLedger */

#include "cr_ownership/ledger/cr_KeyLedger.h"
#include "cr_ownership/map/cr_LocalOwnership.h"
#include "cr_ownership/map/cr_OwnershipMap.h"
#include "cr_ownership/map/cr_OwnershipPlan.h"
