#pragma once

/** A few nodes' decisions in virtual time, with fake backend servers and an
    in-process platform, for tests of failures and for experiments.

    @see TestMesh */

#include "mesh_stand_in/mesh/cr_TestMesh.h"
