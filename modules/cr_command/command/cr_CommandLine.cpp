#include "cr_command/command/cr_CommandLine.h"

#include <cstdlib>
#include <memory>

#include <fmt/format.h>
#include <popt.h>

namespace cr {

namespace {

constexpr std::string_view kVersion = "0.1.0";
constexpr int kVersionValue = 1;
constexpr int kFirstValue = 2;

struct FreeContext
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};

using ContextPointer = std::unique_ptr<poptContext_s, FreeContext>;

std::vector<poptOption>
BuildTable(const CommandDescription& aDescription)
{
  std::vector<poptOption> table;
  int value = kFirstValue;
  for (const CommandOption& option : aDescription.m_options) {
    const bool flag = option.m_argument.empty();
    table.push_back({ option.m_name.c_str(),
                      option.m_letter,
                      flag ? POPT_ARG_NONE : POPT_ARG_STRING,
                      nullptr,
                      value++,
                      option.m_help.c_str(),
                      flag ? nullptr : option.m_argument.c_str() });
  }
  table.push_back({ "version",
                    'V',
                    POPT_ARG_NONE,
                    nullptr,
                    kVersionValue,
                    "Print the version and end",
                    nullptr });
  table.push_back({ nullptr,
                    '\0',
                    POPT_ARG_INCLUDE_TABLE,
                    poptHelpOptions,
                    0,
                    "Help options:",
                    nullptr });
  table.push_back({ nullptr, '\0', 0, nullptr, 0, nullptr, nullptr });
  return table;
}

void
PrintVersionAndExit(const CommandDescription& aDescription)
{
  fmt::print("{} {}\n", aDescription.m_program, kVersion);
  std::exit(kExitOk); // NOLINT(concurrency-mt-unsafe): no other thread runs yet
}

}

bool
Command::Has(std::string_view aName) const
{
  return m_values.contains(aName);
}

std::string
Command::Value(std::string_view aName, std::string_view aDefault) const
{
  const auto value = m_values.find(aName);
  return value == m_values.end() ? std::string(aDefault) : value->second.back();
}

Expected<Command>
ParseCommand(std::span<char*> aArguments,
             const CommandDescription& aDescription)
{
  const std::vector<poptOption> table = BuildTable(aDescription);
  std::vector<const char*> arguments(aArguments.begin(), aArguments.end());
  const ContextPointer context(
    poptGetContext(aDescription.m_program.c_str(),
                   static_cast<int>(arguments.size()),
                   arguments.data(),
                   table.data(),
                   0));
  const std::string usage = "[OPTION...] " + aDescription.m_operands;
  poptSetOtherOptionHelp(context.get(), usage.c_str());
  Command command;
  int value = 0;
  while ((value = poptGetNextOpt(context.get())) > 0) {
    if (value == kVersionValue) {
      PrintVersionAndExit(aDescription);
    }
    const std::unique_ptr<char, decltype(&std::free)> argument(
      poptGetOptArg(context.get()), &std::free);
    const auto index = static_cast<std::size_t>(value - kFirstValue);
    command.m_values[aDescription.m_options.at(index).m_name].emplace_back(
      argument ? argument.get() : "");
  }
  if (value < -1) {
    return Failure(ErrorCode::Malformed,
                   fmt::format("{}: {}; see {} --help",
                               poptBadOption(context.get(), 0),
                               poptStrerror(value),
                               aDescription.m_program));
  }
  while (const char* operand = poptGetArg(context.get())) {
    command.m_operands.emplace_back(operand);
  }
  return command;
}

int
Fail(const CommandDescription& aDescription, int aCode, std::string_view aText)
{
  fmt::print(stderr, "{}: {}\n", aDescription.m_program, aText);
  return aCode;
}

}
