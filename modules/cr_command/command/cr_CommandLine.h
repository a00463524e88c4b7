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
/** The operation failed. */
inline constexpr int kExitFailure = 1;
/** The command line, or a file given on it, is invalid. */
inline constexpr int kExitUsage = 2;
/** A concurrent publication won. */
inline constexpr int kExitConflict = 3;

/** One option of a program. */
struct CommandOption
{
  std::string m_name;
  char m_letter = 0;
  std::string m_help;
  /** Placeholder of the argument in the help; empty for a flag. */
  std::string m_argument;
};

/** Syntax of a program's command line. */
struct CommandDescription
{
  std::string m_program;
  /** Operands after the options, as shown in the help. */
  std::string m_operands;
  std::vector<CommandOption> m_options;
};

/** A parsed command line. */
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

/** Parses the command line. `--help` and `--version` print and exit; an invalid
    option returns an error that names it. Not thread safe. */
Expected<Command>
ParseCommand(std::span<char*> aArguments,
             const CommandDescription& aDescription);

/** Writes the program's name and the text to standard error and returns the
   exit code, for use in a return statement of main(). Thread safe. */
int
Fail(const CommandDescription& aDescription, int aCode, std::string_view aText);

}
