#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fmt/format.h>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

namespace {

constexpr std::size_t kServices = 4;

/* Returns the service files of a random acyclic call graph, in which a service
   calls only services with a higher number. */
std::vector<ServiceFileText>
RandomGraph(Random& aRandom)
{
  std::vector<ServiceFileText> files;
  for (std::size_t service = 0; service < kServices; ++service) {
    std::string calls;
    for (std::size_t called = service + 1; called < kServices; ++called) {
      if (aRandom.NextBelow(2) == 0) {
        calls += fmt::format("{}\"s{}/run\"", calls.empty() ? "" : ",", called);
      }
    }
    files.push_back(
      { fmt::format("s{}.json", service),
        fmt::format(
          R"({{"service":"s{}","operations":{{"run":{{"importance":"normal",
             "idempotent":true,"patience_ms":{},"calls":[{}]}}}}}})",
          service,
          4000 - 900 * service,
          calls) });
  }
  return files;
}

std::vector<MeshHost>
Hosts()
{
  std::vector<MeshHost> hosts;
  for (std::size_t service = 0; service < kServices; ++service) {
    for (const char* place : { "a", "b", "c" }) {
      hosts.push_back({ fmt::format("s{}-{}", service, place),
                        fmt::format("s{}", service),
                        place });
    }
  }
  return hosts;
}

std::uint32_t
TotalOf(const std::vector<ServiceFileText>& aFiles)
{
  Findings findings;
  std::vector<ServiceDescription> services;
  services.reserve(aFiles.size());
  for (const ServiceFileText& file : aFiles) {
    services.push_back(ParseServiceFile(file.m_file, file.m_text, findings));
  }
  return BuildConfiguration(1, services, findings)
    .AttemptBudget({ "s0", "run" });
}

/* Retries at several levels of a call tree must not multiply beyond the
   configured total. Covers random call graphs, lost answers, an unreachable
   host, and resends to the same entry at random times. */
RC_GTEST_PROP(AttemptTotal, HoldsOverTreesLossesAndResends, ())
{
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  const auto files = RandomGraph(random);
  const std::uint32_t total = TotalOf(files);
  TestMesh mesh(Hosts(), files, random.Next());
  mesh.Faults().m_answerLossRate = 0.4 * random.NextDouble();
  if (random.NextBelow(2) == 0) {
    mesh.Faults().m_unreachable = { fmt::format("s{}-b",
                                                random.NextBelow(kServices)) };
  }
  std::vector<CustomerCall> calls;
  for (int step = 0; step < 40; ++step) {
    if (calls.empty() || random.NextBelow(2) == 0) {
      calls.push_back(mesh.MakeCall({ "s0", "run" }));
      mesh.Call("s3-a", calls.back());
    } else {
      mesh.Call("s3-a", calls.at(random.NextBelow(calls.size())));
    }
    mesh.RunFor(Milliseconds(static_cast<std::int64_t>(random.NextBelow(400))));
  }
  mesh.RunFor(Seconds(10));
  for (const auto& [request, attempts] : mesh.Attempts()) {
    RC_ASSERT(attempts <= total);
  }
  RC_ASSERT(mesh.PriorityInversions() == 0U);
}

}

}
