#include "cr_core/errors/cr_Finding.h"

#include <fmt/format.h>

namespace cr {

std::string
ToText(const Finding& aFinding)
{
  return fmt::format("{}:{}:{}: {}",
                     aFinding.m_location.m_file,
                     aFinding.m_location.m_line,
                     aFinding.m_location.m_column,
                     aFinding.m_text);
}

std::string
ToText(std::span<const Finding> aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings) {
    text += ToText(finding);
    text += '\n';
  }
  return text;
}

}
