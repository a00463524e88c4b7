#pragma once

/** Limits the attempts for one customer request and the retries of a node. No
    I/O and no clock. */

#include "cr_retry/attempts/cr_AttemptBudget.h"
#include "cr_retry/attempts/cr_RemainingAttempts.h"
#include "cr_retry/budget/cr_RetryBudget.h"
#include "cr_retry/quota/cr_RetryQuota.h"
