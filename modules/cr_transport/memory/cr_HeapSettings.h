#pragma once

namespace cr {

/** Lets the heap return the memory of long bodies to the system as soon as they
    are released. Call it at the start of a program. */
void
ReturnLargeBlocksAtOnce();

}
