#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** Exit codes of all programs. */
inline constexpr int kExitOk = 0;
/** The work could not be done. */
inline constexpr int kExitFailure = 1;
/** The command line or a file named on it is wrong. */
inline constexpr int kExitUsage = 2;
/** Another publication came first. */
inline constexpr int kExitConflict = 3;

/** One option of a program. */
struct CommandOption
{
  std::string m_name;
  char m_letter = 0;
  std::string m_help;
  /** What the argument is, for the help; empty for an option without one. */
  std::string m_argument;
};

/** What a program's command line looks like. */
struct CommandDescription
{
  std::string m_program;
  /** What stands after the options, for the help. */
  std::string m_operands;
  std::vector<CommandOption> m_options;
};

/** A command line that was read. */
struct Command
{
  /** Arguments by option name, in the order given. */
  std::map<std::string, std::vector<std::string>, std::less<>> m_values;
  std::vector<std::string> m_operands;

  /** Returns whether the option was given. */
  bool Has(std::string_view aName) const;

  /** Returns the last argument of the option, or the default. */
  std::string Value(std::string_view aName,
                    std::string_view aDefault = {}) const;
};

/** Reads the command line. `--help` and `--version` print and end the program;
    a wrong option gives an error that names it. Not thread safe. */
Expected<Command>
ParseCommand(std::span<char*> aArguments,
             const CommandDescription& aDescription);

/** Writes the program's name and the text to standard error and returns the
    exit code, for a main function to end with. Thread safe. */
int
Fail(const CommandDescription& aDescription, int aCode, std::string_view aText);

}
