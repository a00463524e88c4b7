#pragma once

/** The nodes of a deployment, the backend server of each, and the protocol
    state by which a node keeps its view of them up to date. No input or
    output. */

#include "cr_membership/announcement/cr_ServerAnnouncements.h"
#include "cr_membership/announcement/cr_ServerCondition.h"
#include "cr_membership/directory/cr_FleetDirectory.h"
#include "cr_membership/rows/cr_NodeRow.h"
#include "cr_membership/view/cr_MembershipView.h"
