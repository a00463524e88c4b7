#pragma once

#include <span>
#include <string>
#include <vector>

namespace cr {

/** A place in a text file. Lines and columns start at 1. */
struct Place
{
  std::string m_file;
  int m_line = 1;
  int m_column = 1;
};

/** Something wrong in a file, with its place. */
struct Finding
{
  Place m_place;
  std::string m_text;
};

/** Findings are collected and reported together. */
using Findings = std::vector<Finding>;

/** Returns `file:line:column: text`. Thread safe. */
std::string
ToText(const Finding& aFinding);

/** Returns all findings, a line each. Thread safe. */
std::string
ToText(std::span<const Finding> aFindings);

}
