#pragma once

/** Which nodes there are, which backend server each has, and how a node keeps
    this picture fresh. Pure. */

#include "cr_membership/announcement/cr_ServerAnnouncements.h"
#include "cr_membership/directory/cr_FleetDirectory.h"
#include "cr_membership/rows/cr_NodeRow.h"
#include "cr_membership/view/cr_MembershipView.h"
