#include "cr_command/command/cr_TextFile.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cr {

namespace {

constexpr std::uintmax_t kMaxFileBytes = 4 * 1024 * 1024;

}

Expected<std::string>
ReadTextFile(const std::string& aPath)
{
  std::error_code error;
  const auto size = std::filesystem::file_size(aPath, error);
  if (error) {
    return Failure(ErrorCode::NotFound,
                   "cannot read " + aPath + ": " + error.message());
  }
  if (size > kMaxFileBytes) {
    return Failure(ErrorCode::LimitReached, aPath + " is larger than 4 MiB");
  }
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Failure(ErrorCode::NotFound, "cannot read " + aPath);
  }
  return text.str();
}

Expected<Endpoint>
ParseEndpointText(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  std::optional<std::uint16_t> port;
  if (colon != std::string::npos && colon > 0) {
    port =
      ParseNumber<std::uint16_t>(std::string_view(aText).substr(colon + 1));
  }
  if (port.value_or(0) == 0) {
    return Failure(ErrorCode::Malformed,
                   "\"" + aText + "\" is not address:port");
  }
  return Endpoint{ aText.substr(0, colon), *port };
}

}
