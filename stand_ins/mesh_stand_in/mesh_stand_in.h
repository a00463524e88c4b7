#pragma once

/** Deterministic simulation of several nodes in virtual time, with simulated
    backend servers and an in-process platform. Used by fault injection tests
    and experiments.

    @see TestMesh */

#include "mesh_stand_in/mesh/cr_TestMesh.h"
