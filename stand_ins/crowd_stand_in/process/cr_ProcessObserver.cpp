#include "crowd_stand_in/process/cr_ProcessObserver.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace cr {

void
ProcessObserver::Sample()
{
  const std::string folder = "/proc/" + std::to_string(m_process);
  std::ifstream status(folder + "/status");
  for (std::string word; status >> word;) {
    std::uint64_t kibibytes = 0;
    if (word == "VmHWM:" && status >> kibibytes) {
      m_peakBytes = std::max(m_peakBytes, kibibytes * 1024);
    }
  }
  std::error_code error;
  std::size_t descriptors = 0;
  for (std::filesystem::directory_iterator entry(folder + "/fd", error), end;
       !error && entry != end;
       entry.increment(error)) {
    ++descriptors;
  }
  m_mostDescriptors = std::max(m_mostDescriptors, descriptors);
}

}
