#include "cr_transport/memory/cr_HeapSettings.h"

#include <malloc.h>

namespace cr {

/* The C library raises the threshold to the size of each mapped block that is
   released, up to 32 MiB, unless it is set. */
void
ReturnLargeBlocksAtOnce()
{
  constexpr int mappedBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, mappedBytes);
}

}
