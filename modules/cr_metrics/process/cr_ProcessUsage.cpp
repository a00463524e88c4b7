#include "cr_metrics/process/cr_ProcessUsage.h"

#include <fstream>
#include <string>

#include <sys/resource.h>

namespace cr {

namespace {

constexpr std::uint64_t kBytesPerKibibyte = 1024;

Duration
ToDuration(const timeval& aTime)
{
  return Seconds(aTime.tv_sec) + Duration(aTime.tv_usec);
}

}

Duration
ReadProcessorTime()
{
  rusage resources{};
  return getrusage(RUSAGE_SELF, &resources) == 0
           ? ToDuration(resources.ru_utime) + ToDuration(resources.ru_stime)
           : Duration::zero();
}

ProcessUsage
ReadProcessUsage()
{
  ProcessUsage usage;
  usage.m_processor = ReadProcessorTime();
  std::ifstream file("/proc/self/status");
  std::string word;
  while (file >> word) {
    if (word == "VmRSS:") {
      file >> usage.m_residentBytes;
      usage.m_residentBytes *= kBytesPerKibibyte;
    } else if (word == "Threads:") {
      file >> usage.m_threads;
    }
  }
  return usage;
}

}
