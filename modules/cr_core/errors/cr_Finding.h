#pragma once

#include <span>
#include <string>
#include <vector>

namespace cr {

/** A position in a text file. Lines and columns start at 1. */
struct SourceLocation
{
  std::string m_file;
  int m_line = 1;
  int m_column = 1;
};

/** A problem found in a file, with its location. */
struct Finding
{
  SourceLocation m_location;
  std::string m_text;
};

/** Findings of a check, which are collected and reported together. */
using Findings = std::vector<Finding>;

/** Returns `file:line:column: text`. Thread safe. */
std::string
ToText(const Finding& aFinding);

/** Returns all findings, one per line. Thread safe. */
std::string
ToText(std::span<const Finding> aFindings);

}
