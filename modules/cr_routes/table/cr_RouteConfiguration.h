#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** A service that a route maps to, with its share of the route's requests. */
struct WeightedService
{
  std::string m_service;
  std::uint32_t m_weight = 1;
};

/** One route: the requests to a host name whose paths start with a prefix. */
struct RouteDescription
{
  std::string m_name;
  std::string m_host;
  /** Begins and ends with a slash. */
  std::string m_prefix;
  /** Not empty. */
  std::vector<WeightedService> m_services;
  /** A request may safely run more than once. */
  bool m_idempotent = false;
  /** Maximum number of backend servers that one request may be sent to. */
  std::uint32_t m_attempts = 1;
  /** Maximum time until the answer. */
  Duration m_timeout = Seconds(30);
  /** Latency objective: the time within which requests should be answered. */
  Duration m_objective = Seconds(1);
  /** 0 is the most important. */
  std::uint32_t m_priority = 0;
};

/** The operator's settings for a service. */
struct RoutedService
{
  /** Path of the health check of a backend server. */
  std::string m_healthPath;
};

/** Limits on customers' requests and connections. */
struct RequestLimits
{
  std::uint32_t m_headerBytes = 16 * 1024;
  std::uint64_t m_bodyBytes = 1024 * 1024;
  /** Maximum time from the first byte of a request to the end of its header. */
  Duration m_headerTimeout = Seconds(10);
  /** Maximum time that a connection may be idle. */
  Duration m_idleTimeout = Seconds(60);
};

/** A complete configuration of routes. Immutable once it is shared. */
struct RouteConfiguration
{
  /** Increases with each change; 0 means no configuration. */
  Generation m_generation = 0;
  std::vector<RouteDescription> m_routes;
  std::map<std::string, RoutedService> m_services;
  RequestLimits m_limits;
};

}
