#pragma once

/** A caller for tests and measurements that pipelines requests. */

#include "caller_stand_in/caller/cr_PipeliningCaller.h"
