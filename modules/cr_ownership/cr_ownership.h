#pragma once

/** Decides who may run a non-idempotent call, so that each runs at most once.

    Keys of a service fall into partitions; an owner holds a partition for an
    interval of birth times. @see OwnershipMap, PlanOwnership, KeyLedger */

#include "cr_ownership/ledger/cr_KeyLedger.h"
#include "cr_ownership/map/cr_Holding.h"
#include "cr_ownership/map/cr_OwnershipMap.h"
#include "cr_ownership/map/cr_OwnershipPlan.h"
