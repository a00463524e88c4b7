#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cr_routes/table/cr_RouteConfiguration.h"

namespace cr {

/** Finds the route of a request. Immutable; thread safe. */
class RouteTable
{
public:
  /** Creates an empty table of generation 0. */
  RouteTable() = default;

  /** Builds the table of a configuration. Of two routes with the same host and
      prefix the first is used. */
  explicit RouteTable(RouteConfiguration aConfiguration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  //==========================================================================
  /** Returns the route of the host with the longest prefix of the path; null
      when there is none. A port after the host name, the case of the host name
      and a query after the path are ignored. The route is valid as long as the
      table. */
  const RouteDescription* Find(std::string_view aHost,
                               std::string_view aTarget) const;

  /** Returns the configuration. */
  const RouteConfiguration& Configuration() const { return m_configuration; }

private:
  RouteConfiguration m_configuration;
  /* Routes of each host name, longest prefix first. */
  std::unordered_map<std::string, std::vector<const RouteDescription*>> m_hosts;
};

/** A table that requests share. */
using RouteTablePointer = std::shared_ptr<const RouteTable>;

}
