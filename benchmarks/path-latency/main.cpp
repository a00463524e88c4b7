/* Measures the latency that the path through two nodes adds to a call, compared
   with the same call sent directly to the backend server. Everything runs on
   loopback in one process. With --depth, the calls to the nodes are pipelined;
   direct ones are not, as the backend server runs a call at a time on a
   connection. */

#include <algorithm>
#include <future>
#include <optional>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "caller_stand_in/caller_stand_in.h"
#include "cr_command/cr_command.h"
#include "cr_process/cr_process.h"
#include "cr_transport/cr_transport.h"
#include "platform_stand_in/platform_stand_in.h"
#include "server_stand_in/server_stand_in.h"

namespace {

constexpr std::uint16_t kFirstPort = 24110;
constexpr int kWarmUpCalls = 300;
constexpr int kCalls = 4000;
constexpr int kPipelines = 1000;
constexpr std::size_t kMaxDepth = 32;
constexpr double kTargetP99Ms = 1.3;
constexpr cr::Duration kCallTimeout = cr::Seconds(5);
constexpr cr::Duration kReadyTimeout = cr::Seconds(20);
constexpr const char* kServiceFile =
  R"({ "service": "shop", "operations": { "browse": {
       "importance": "low", "idempotent": true, "patience_ms": 5000 } } })";

cr::Endpoint
EndpointAt(int aOffset)
{
  return { "127.0.0.1", static_cast<std::uint16_t>(kFirstPort + aOffset) };
}

cr::NodeSettings
MakeSettings(const std::string& aHost, int aOffset)
{
  cr::NodeSettings settings;
  settings.m_host = aHost;
  settings.m_region = "r";
  settings.m_dataCentre = "a";
  settings.m_address = "127.0.0.1";
  settings.m_callerPort = EndpointAt(aOffset).m_port;
  settings.m_peerPort = EndpointAt(aOffset + 1).m_port;
  settings.m_operatorPort = EndpointAt(aOffset + 2).m_port;
  settings.m_platform = EndpointAt(0);
  return settings;
}

bool
PublishService(cr::HttpClient& aClient)
{
  cr::PublicationRequest request;
  request.m_files = { { "shop.json", kServiceFile } };
  request.m_publicationId = "1";
  cr::StoreConnection store(aClient, EndpointAt(0), kCallTimeout);
  const auto result =
    cr::Publish(request, [&](const cr::StoreRequest& aRequest) {
      return store.SendAndWait(aRequest);
    });
  return std::holds_alternative<cr::Published>(result);
}

bool
WaitUntilReady(const cr::NodeServer& aNode)
{
  const cr::Instant limit = cr::IoThreads::Now() + kReadyTimeout;
  while (cr::IoThreads::Now() < limit) {
    cr::NodeStatus status = aNode.Status();
    if (status.m_generation > 0 && status.m_hosts["shop"] > 0) {
      return true;
    }
    std::this_thread::sleep_for(cr::Milliseconds(20));
  }
  return false;
}

cr::HttpRequest
MakeCall()
{
  return { "POST", "/call/shop/browse", {}, "x" };
}

/* Returns the latency of one call in milliseconds; negative if it failed. */
double
TimeCall(cr::HttpClient& aClient, const cr::Endpoint& aEndpoint)
{
  const cr::Instant start = cr::IoThreads::Now();
  const cr::HttpResult result =
    aClient.SendAndWait(aEndpoint, MakeCall(), kCallTimeout);
  const cr::Duration taken = cr::IoThreads::Now() - start;
  const auto* response = std::get_if<cr::HttpResponse>(&result);
  if (response == nullptr || response->m_status != cr::kHttpOk) {
    return -1;
  }
  return static_cast<double>(taken.count()) / 1000.0;
}

/* Returns the latency in milliseconds of each of the calls, sent together on a
   new connection; nothing if one failed. The clock starts when they are sent.
 */
std::optional<std::vector<double>>
TimePipeline(cr::IoThreads& aThreads, std::size_t aDepth)
{
  struct State
  {
    std::vector<double> m_times;
    bool m_hasFailed = false;
    std::promise<void> m_done;
  };
  const auto state = std::make_shared<State>();
  const cr::Instant start = cr::IoThreads::Now();
  cr::SendPipelined(
    aThreads,
    EndpointAt(1),
    std::vector<cr::HttpRequest>(aDepth, MakeCall()),
    kCallTimeout,
    [state, start, aDepth](std::size_t aNumber, const cr::HttpResult& aResult) {
      const cr::Duration taken = cr::IoThreads::Now() - start;
      const auto* response = std::get_if<cr::HttpResponse>(&aResult);
      state->m_hasFailed |=
        response == nullptr || response->m_status != cr::kHttpOk;
      state->m_times.push_back(static_cast<double>(taken.count()) / 1000.0);
      if (aNumber + 1 == aDepth) {
        state->m_done.set_value();
      }
    });
  state->m_done.get_future().wait();
  return state->m_hasFailed ? std::nullopt : std::optional(state->m_times);
}

double
Quantile(std::vector<double> aTimes, double aShare)
{
  std::sort(aTimes.begin(), aTimes.end());
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aTimes.size() - 1));
  return aTimes.at(index);
}

struct Times
{
  std::vector<double> m_direct;
  std::vector<double> m_path;
  int m_failed = 0;
};

/* Alternates direct calls with calls through the nodes. */
Times
Measure(cr::HttpClient& aClient)
{
  Times times;
  for (int call = 0; call < kWarmUpCalls + kCalls; ++call) {
    const double direct = TimeCall(aClient, EndpointAt(7));
    const double path = TimeCall(aClient, EndpointAt(1));
    if (direct < 0 || path < 0) {
      ++times.m_failed;
    } else if (call >= kWarmUpCalls) {
      times.m_direct.push_back(direct);
      times.m_path.push_back(path);
    }
  }
  return times;
}

/* Alternates direct calls with pipelines through the nodes. */
Times
MeasurePipelines(cr::IoThreads& aThreads,
                 cr::HttpClient& aClient,
                 std::size_t aDepth)
{
  Times times;
  for (int call = 0; call < kWarmUpCalls + kPipelines; ++call) {
    const double direct = TimeCall(aClient, EndpointAt(7));
    const auto path = TimePipeline(aThreads, aDepth);
    if (direct < 0 || !path) {
      ++times.m_failed;
    } else if (call >= kWarmUpCalls) {
      times.m_direct.push_back(direct);
      times.m_path.insert(times.m_path.end(), path->begin(), path->end());
    }
  }
  return times;
}

int
Report(const Times& aTimes)
{
  if (aTimes.m_direct.empty()) {
    fmt::print(stderr, "path-latency: no call succeeded\n");
    return 1;
  }
  const auto added = [&](double aShare) {
    return Quantile(aTimes.m_path, aShare) - Quantile(aTimes.m_direct, aShare);
  };
  fmt::print("direct_p50 {:.3f} ms - -\n", Quantile(aTimes.m_direct, 0.5));
  fmt::print("direct_p99 {:.3f} ms - -\n", Quantile(aTimes.m_direct, 0.99));
  fmt::print("path_p50 {:.3f} ms - -\n", Quantile(aTimes.m_path, 0.5));
  fmt::print("path_p99 {:.3f} ms - -\n", Quantile(aTimes.m_path, 0.99));
  fmt::print("added_p50 {:.3f} ms - -\n", added(0.5));
  const double p99 = added(0.99);
  fmt::print("added_p99 {:.3f} ms {} {}\n",
             p99,
             kTargetP99Ms,
             p99 <= kTargetP99Ms ? "pass" : "fail");
  fmt::print("failed_calls {} calls 0 {}\n",
             aTimes.m_failed,
             aTimes.m_failed == 0 ? "pass" : "fail");
  return p99 <= kTargetP99Ms && aTimes.m_failed == 0 ? 0 : 1;
}

int
Run(std::size_t aDepth)
{
  cr::IoThreads threads(2);
  cr::HttpClient client(threads, {});
  cr::PlatformServer platform(threads);
  if (!platform.Listen(EndpointAt(0)) || !PublishService(client)) {
    fmt::print(stderr, "path-latency: the platform cannot be used\n");
    return 1;
  }
  cr::NodeServer entry(MakeSettings("host-1", 1), cr::Incarnation{ 1 });
  cr::NodeServer gate(MakeSettings("host-2", 4), cr::Incarnation{ 1 });
  cr::Findings findings;
  cr::BackendServerOptions plan;
  plan.m_service = cr::ParseServiceFile("shop.json", kServiceFile, findings);
  plan.m_node = EndpointAt(4);
  plan.m_listen = EndpointAt(7);
  plan.m_slots =
    std::max<std::uint32_t>(4, 2 * static_cast<std::uint32_t>(aDepth));
  plan.m_serviceTime = cr::Duration::zero();
  cr::BackendServer server(threads, plan);
  if (!entry.Start() || !gate.Start() || !server.Start() ||
      !WaitUntilReady(entry)) {
    fmt::print(stderr, "path-latency: the nodes did not get ready\n");
    return 1;
  }
  const int result = Report(
    aDepth == 0 ? Measure(client) : MeasurePipelines(threads, client, aDepth));
  threads.Stop();
  return result;
}

}

int
main(int aCount, char** aArguments)
{
  const cr::CommandDescription description{
    "path-latency",
    "",
    { { "depth",
        'd',
        "send CALLS together on a connection; 0, the default: one after the "
        "other on kept connections",
        "CALLS" } }
  };
  const auto command = cr::ParseCommand(
    { aArguments, static_cast<std::size_t>(aCount) }, description);
  if (!command) {
    return cr::Fail(description, cr::kExitUsage, command.error().m_text);
  }
  const auto depth = cr::ParseNumber<std::size_t>(command->Value("depth", "0"));
  if (!depth || *depth > kMaxDepth) {
    return cr::Fail(description, cr::kExitUsage, "--depth: 0 to 32");
  }
  return Run(*depth);
}
