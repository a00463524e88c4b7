#pragma once

/** Types shared by all modules: time, number parsing, identifiers, call
    headers, outcomes, errors, findings, seeded random numbers and guarded
    state.

    This module opens no socket, reads no clock and starts no thread. */

#include "cr_core/call/cr_CallHeader.h"
#include "cr_core/concurrency/cr_Guarded.h"
#include "cr_core/errors/cr_Error.h"
#include "cr_core/errors/cr_Finding.h"
#include "cr_core/identity/cr_Identifier.h"
#include "cr_core/identity/cr_Importance.h"
#include "cr_core/identity/cr_Outcome.h"
#include "cr_core/policy/cr_PolicySwitches.h"
#include "cr_core/random/cr_Hash.h"
#include "cr_core/random/cr_Random.h"
#include "cr_core/text/cr_Number.h"
#include "cr_core/time/cr_Time.h"
