#pragma once

/** Bounds the attempts made for one customer request and decides when a call
    is tried again. Pure. */

#include "cr_retry/attempts/cr_AttemptLedger.h"
