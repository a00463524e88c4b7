#pragma once

/** Bounds the attempts made for one customer request and decides when a call
    is tried again. Pure. */

#include "cr_retry/attempts/cr_AttemptLedger.h"
#include "cr_retry/attempts/cr_RequestTotals.h"
#include "cr_retry/budget/cr_RetryBudget.h"
#include "cr_retry/quota/cr_RetryQuota.h"
