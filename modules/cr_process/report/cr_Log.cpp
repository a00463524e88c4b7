#include "cr_process/report/cr_Log.h"

#include <cstdio>

#include <fmt/format.h>

namespace cr {

void
Log(std::string_view aComponent, std::string_view aText)
{
  fmt::print(stderr, "[{}] {}\n", aComponent, aText);
}

}
