/* Converts the output files of tools/measure into a JSON list and an HTML page.
 */

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>

#include "cr_HtmlReport.h"
#include "cr_command/cr_command.h"

namespace {

const cr::CommandDescription&
Description()
{
  static const cr::CommandDescription description{
    "measure-report",
    "",
    { { "folder", 'f', "Folder with measures.txt and runs/", "FOLDER" } }
  };
  return description;
}

/* Reads the results of all runs, sorted by file name. Skips other files. */
std::vector<Json::Value>
ReadRuns(const std::filesystem::path& aFolder)
{
  std::vector<std::filesystem::path> files;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(aFolder, error)) {
    files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  std::vector<Json::Value> runs;
  for (const auto& file : files) {
    if (file.extension() != ".json" || file.stem().extension() == ".scenario") {
      continue;
    }
    const auto text = cr::ReadTextFile(file.string());
    auto run = text ? cr::ParseJson(*text) : tl::unexpected(text.error());
    if (run && run->isObject()) {
      runs.push_back(std::move(*run));
    }
  }
  return runs;
}

bool
WriteFile(const std::filesystem::path& aPath, const std::string& aText)
{
  std::ofstream file(aPath);
  file << aText;
  file.close();
  return static_cast<bool>(file);
}

}

int
main(int aCount, char** aArguments)
{
  const auto command = cr::ParseCommand(
    { aArguments, static_cast<std::size_t>(aCount) }, Description());
  if (!command) {
    return cr::Fail(Description(), cr::kExitUsage, command.error().m_text);
  }
  const std::filesystem::path folder = command->Value("folder", "out");
  const auto text = cr::ReadTextFile((folder / "measures.txt").string());
  if (!text) {
    return cr::Fail(Description(), cr::kExitUsage, text.error().m_text);
  }
  const auto lines = cr::ParseMeasureLines(*text);
  const auto runs = ReadRuns(folder / "runs");
  if (!WriteFile(folder / "measures.json", cr::WriteMeasureLines(lines)) ||
      !WriteFile(folder / "report.html", cr::WriteHtmlReport(lines, runs))) {
    return cr::Fail(
      Description(), cr::kExitFailure, "cannot write to " + folder.string());
  }
  fmt::print("{} measures and {} runs in {}\n",
             lines.size(),
             runs.size(),
             (folder / "report.html").string());
  return cr::kExitOk;
}
