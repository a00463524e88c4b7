#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** A service that a route leads to, with its share of the route's requests. */
struct WeightedService
{
  std::string m_service;
  std::uint32_t m_weight = 1;
};

/** One route: the requests of a host name whose paths begin with a prefix. */
struct RouteDescription
{
  std::string m_name;
  std::string m_host;
  /** Begins and ends with a slash. */
  std::string m_prefix;
  /** Not empty. */
  std::vector<WeightedService> m_services;
  /** A request may run more than once. */
  bool m_idempotent = false;
  /** Greatest number of backend servers that one request may be sent to. */
  std::uint32_t m_attempts = 1;
  /** Longest time until the answer. */
  Duration m_timeout = Seconds(30);
  /** Time within which an answer has its full value. */
  Duration m_objective = Seconds(1);
  /** 0 is the most important. */
  std::uint32_t m_priority = 0;
};

/** What the operator says of a service. */
struct RoutedService
{
  /** Path that tells whether a backend server is healthy. */
  std::string m_healthPath;
};

/** Bounds on what a customer may send. */
struct RequestLimits
{
  std::uint32_t m_headerBytes = 16 * 1024;
  std::uint64_t m_bodyBytes = 1024 * 1024;
  /** Longest time from the first byte of a request to the end of its header. */
  Duration m_headerTimeout = Seconds(10);
  /** Longest time that a connection may idle. */
  Duration m_idleTimeout = Seconds(60);
};

/** A whole configuration of routes. Immutable once it is shared. */
struct RouteConfiguration
{
  /** Only ever raised; 0 means none. */
  Generation m_generation = 0;
  std::vector<RouteDescription> m_routes;
  std::map<std::string, RoutedService> m_services;
  RequestLimits m_limits;
};

}
