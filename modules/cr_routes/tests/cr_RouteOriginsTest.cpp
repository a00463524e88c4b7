#include <gtest/gtest.h>

#include "cr_routes/cr_routes.h"

namespace cr {

namespace {

const RouteOrigins::HostCounts kHosts = { { "front", 32 },
                                          { "orders", 28 },
                                          { "stock", 7 },
                                          { "pricing", 4 } };

/* The service of a random host. */
std::string
AnyHost(Random& aRandom)
{
  auto left = static_cast<std::size_t>(aRandom.NextBelow(71));
  for (const auto& [service, count] : kHosts) {
    if (left < count) {
      return service;
    }
    left -= count;
  }
  return "front";
}

TEST(RouteOrigins, DetectsAChildCallRouteWithinASecond)
{
  RouteOrigins origins;
  Random random(1);
  Instant now;
  for (int request = 0; request < 40; ++request) {
    now += Milliseconds(25);
    origins.Count("size", "stock", now);
    origins.Count("status", AnyHost(random), now);
  }
  EXPECT_TRUE(origins.IsChildCallRoute("size", kHosts));
  EXPECT_FALSE(origins.IsChildCallRoute("status", kHosts));
  EXPECT_FALSE(origins.IsChildCallRoute("unknown", kHosts));
  EXPECT_FALSE(origins.IsChildCallRoute("size", {}));
}

TEST(RouteOrigins, NeverClassifiesACustomerRouteAsChildCallRoute)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U }) {
    RouteOrigins origins;
    Random random(seed);
    Instant now;
    for (int request = 0; request < 5000; ++request) {
      now += Milliseconds(static_cast<std::int64_t>(random.NextBelow(60)));
      origins.Count("price", AnyHost(random), now);
      ASSERT_FALSE(origins.IsChildCallRoute("price", kHosts)) << request;
    }
  }
}

TEST(RouteOrigins, RouteThatCustomersStartToUseBecomesACustomerRoute)
{
  RouteOrigins origins;
  Instant now;
  for (int request = 0; request < 1000; ++request) {
    now += Milliseconds(2);
    origins.Count("size", "stock", now);
  }
  ASSERT_TRUE(origins.IsChildCallRoute("size", kHosts));
  for (const char* service : { "front", "orders", "pricing" }) {
    origins.Count("size", service, now);
  }
  EXPECT_FALSE(origins.IsChildCallRoute("size", kHosts));
}

}

}
