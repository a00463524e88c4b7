#pragma once

#include <cstdint>

#include "cr_core/cr_core.h"

namespace cr {

/** Resource usage of the calling process. */
struct ProcessUsage
{
  /** Processor time of all threads, user and system. */
  Duration m_processor = Duration::zero();
  std::uint64_t m_residentBytes = 0;
  std::uint64_t m_threads = 0;
};

/** Returns the processor time that all threads of the calling process have
   used, user and system; 0 if it cannot be read. Thread safe. */
Duration
ReadProcessorTime();

/** Reads the usage of the calling process from the operating system; fields
    that cannot be read are 0. Thread safe. */
ProcessUsage
ReadProcessUsage();

}
