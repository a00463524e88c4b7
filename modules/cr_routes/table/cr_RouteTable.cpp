#include "cr_routes/table/cr_RouteTable.h"

#include <algorithm>

namespace cr {

namespace {

std::string
HostNameOf(std::string_view aHost)
{
  const std::string_view name = aHost.substr(0, aHost.find(':'));
  std::string lowered(name);
  std::transform(
    lowered.begin(), lowered.end(), lowered.begin(), [](char aLetter) {
      const bool isUpper = aLetter >= 'A' && aLetter <= 'Z';
      return isUpper ? static_cast<char>(aLetter - 'A' + 'a') : aLetter;
    });
  return lowered;
}

}

RouteTable::RouteTable(RouteConfiguration aConfiguration)
  : m_configuration(std::move(aConfiguration))
{
  for (const RouteDescription& route : m_configuration.m_routes) {
    m_hosts[HostNameOf(route.m_host)].push_back(&route);
  }
  for (auto& [host, routes] : m_hosts) {
    std::stable_sort(
      routes.begin(),
      routes.end(),
      [](const RouteDescription* aFirst, const RouteDescription* aSecond) {
        return aFirst->m_prefix.size() > aSecond->m_prefix.size();
      });
  }
}

const RouteDescription*
RouteTable::Find(std::string_view aHost, std::string_view aTarget) const
{
  const auto host = m_hosts.find(HostNameOf(aHost));
  if (host == m_hosts.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  const auto route = std::find_if(host->second.begin(),
                                  host->second.end(),
                                  [&](const RouteDescription* aRoute) {
                                    return path.starts_with(aRoute->m_prefix);
                                  });
  return route != host->second.end() ? *route : nullptr;
}

}
