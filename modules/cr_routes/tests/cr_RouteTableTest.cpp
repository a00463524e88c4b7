#include <gtest/gtest.h>

#include <map>

#include "cr_routes/cr_routes.h"

namespace cr {

namespace {

RouteDescription
MakeRoute(std::string aName, std::string aHost, std::string aPrefix)
{
  RouteDescription route;
  route.m_services = { { "service-of-" + aName, 1 } };
  route.m_name = std::move(aName);
  route.m_host = std::move(aHost);
  route.m_prefix = std::move(aPrefix);
  return route;
}

RouteConfiguration
MakeConfiguration(Generation aGeneration, std::vector<RouteDescription> aRoutes)
{
  RouteConfiguration configuration;
  configuration.m_generation = aGeneration;
  configuration.m_routes = std::move(aRoutes);
  return configuration;
}

std::string
NameAt(const RouteTable& aTable,
       std::string_view aHost,
       std::string_view aTarget)
{
  const RouteDescription* route = aTable.Find(aHost, aTarget);
  return route != nullptr ? route->m_name : "none";
}

TEST(RouteTable, MatchesLongestPrefixOfTheHost)
{
  const RouteTable table(
    MakeConfiguration(1,
                      { MakeRoute("short", "one.example", "/a/"),
                        MakeRoute("long", "one.example", "/a/b/"),
                        MakeRoute("other", "two.example", "/a/b/c/") }));
  EXPECT_EQ(NameAt(table, "one.example", "/a/x"), "short");
  EXPECT_EQ(NameAt(table, "one.example", "/a/b/c/d"), "long");
  EXPECT_EQ(NameAt(table, "two.example", "/a/b/c/d?x=/"), "other");
  EXPECT_EQ(NameAt(table, "two.example", "/a/b"), "none");
  EXPECT_EQ(NameAt(table, "three.example", "/a/b/"), "none");
}

TEST(RouteTable, IgnoresPortCaseAndQuery)
{
  const RouteTable table(
    MakeConfiguration(1, { MakeRoute("only", "One.example", "/a/") }));
  EXPECT_EQ(NameAt(table, "oNE.example:8080", "/a/?q=/b/"), "only");
  EXPECT_EQ(NameAt(table, "one.example", "/?q=/a/"), "none");
}

TEST(RouteHolder, IgnoresOlderGenerations)
{
  RouteHolder holder;
  EXPECT_EQ(holder.ActiveGeneration(), 0U);
  EXPECT_TRUE(
    holder.Adopt(MakeConfiguration(7, { MakeRoute("new", "h", "/") })));
  const RouteTablePointer held = holder.Current();
  EXPECT_FALSE(
    holder.Adopt(MakeConfiguration(6, { MakeRoute("old", "h", "/") })));
  EXPECT_FALSE(
    holder.Adopt(MakeConfiguration(7, { MakeRoute("same", "h", "/") })));
  EXPECT_EQ(NameAt(*holder.Current(), "h", "/x"), "new");
  EXPECT_TRUE(holder.Adopt(MakeConfiguration(19, {})));
  EXPECT_EQ(NameAt(*held, "h", "/x"), "new");
  EXPECT_EQ(NameAt(*holder.Current(), "h", "/x"), "none");
}

TEST(ServiceRotation, KeepsTheWeightsOverNodesWithFewRequests)
{
  RouteDescription route = MakeRoute("split", "h", "/");
  route.m_services = { { "large", 90 }, { "small", 10 } };
  std::map<std::string, int> counts;
  constexpr int nodes = 100;
  constexpr int requests = 3;
  for (int node = 0; node < nodes; ++node) {
    ServiceRotation rotation(static_cast<std::uint64_t>(node));
    for (int request = 0; request < requests; ++request) {
      ++counts[rotation.Next(route)];
    }
  }
  constexpr double expected = 0.1 * nodes * requests;
  EXPECT_NEAR(counts["small"], expected, 15);
  EXPECT_EQ(counts["small"] + counts["large"], nodes * requests);
}

TEST(ServiceRotation, FollowsChangedWeightsAtOnce)
{
  RouteDescription route = MakeRoute("split", "h", "/");
  route.m_services = { { "first", 1 }, { "second", 1 } };
  ServiceRotation rotation(1);
  rotation.Next(route);
  route.m_services = { { "first", 1 }, { "second", 0 } };
  for (int request = 0; request < 10; ++request) {
    EXPECT_EQ(rotation.Next(route), "first");
  }
}

}

}
