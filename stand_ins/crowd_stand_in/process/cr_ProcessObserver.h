#pragma once

#include <cstddef>
#include <cstdint>

#include <sys/types.h>

namespace cr {

/** Reads from /proc what a process of the same user occupies. Not thread safe.
 */
class ProcessObserver
{
public:
  explicit ProcessObserver(pid_t aProcess)
    : m_process(aProcess)
  {
  }

  //==========================================================================
  /** Reads the current values. */
  void Sample();

  //==========================================================================
  /** Returns the peak resident memory of the process, VmHWM, up to the last
      sample that it was alive in. */
  std::uint64_t PeakBytes() const { return m_peakBytes; }

  /** Returns the most open descriptors of all samples. */
  std::size_t MostDescriptors() const { return m_mostDescriptors; }

private:
  pid_t m_process;
  std::uint64_t m_peakBytes = 0;
  std::size_t m_mostDescriptors = 0;
};

}
