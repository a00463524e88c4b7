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

ProcessUsage
ReadProcessUsage()
{
  ProcessUsage usage;
  rusage resources{};
  if (getrusage(RUSAGE_SELF, &resources) == 0) {
    usage.m_processor =
      ToDuration(resources.ru_utime) + ToDuration(resources.ru_stime);
  }
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
