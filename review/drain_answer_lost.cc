/* An instance is slow and leaves; after drainMs two of five answers to the
   requests that it still runs are lost with their connections. Does that
   instance get another request? */
#include "stand_in_2.hh"

using namespace review;

namespace {

constexpr double kDrainSeconds = 2.0;
constexpr double kSlowWork = 2.6;
constexpr int kSlowRequests = 12;
// Dose of answer_lost: share 0.6 of the servers (here one of two), x 0.4.
constexpr int kLostOfFive = 2;

struct Arrival
{
  double m_time;
  std::string m_request;
};

std::mutex theMutex;
std::vector<Arrival> theArrivals;
std::atomic<bool> theLosesAnswers{ false };
std::atomic<int> theSlowAnswers{ 0 };

}

int
main(int, char** aArguments)
{
  Record::Open(aArguments[1]);
  Deployment deployment({ "entrance", "catalogue", "catalogue" });
  deployment.Configure(
    { R"(["r-browse","sets.example","/browse/","safe",5000,1200,2,)"
      R"("catalogue",2])" },
    { "entrance", "catalogue" });
  deployment.StartNodes();

  Instance entrance(deployment.At(0).At(), "i-entrance", 54, {});
  std::unique_ptr<Instance> leaving;
  std::unique_ptr<Instance> staying;
  const auto work = [](Instance& aInstance, const Message& aRequest) {
    const bool isSlow = aRequest.Word(1) == "/browse/slow";
    Sleep(isSlow ? kSlowWork : 0.05);
    return aInstance.Success(aRequest, "the catalogue\n");
  };
  leaving = std::make_unique<Instance>(
    deployment.At(1).At(),
    "i-leaving",
    54,
    [&](const Message& aRequest) -> std::optional<std::string> {
      {
        const std::lock_guard lock(theMutex);
        theArrivals.push_back(
          { Seconds(), aRequest.Header("x-corianderrack-request-id") });
      }
      auto answer = work(*leaving, aRequest);
      if (theLosesAnswers && aRequest.Word(1) == "/browse/slow" &&
          theSlowAnswers++ % 5 >= 5 - kLostOfFive) {
        return std::nullopt;
      }
      return answer;
    });
  staying = std::make_unique<Instance>(
    deployment.At(2).At(), "i-staying", 54, [&](const Message& aRequest) {
      return std::optional(work(*staying, aRequest));
    });
  Sleep(2.0);

  const Address outbound = deployment.At(0).At().Outbound();
  std::mutex resultMutex;
  std::map<std::string, int> results;
  const auto sendAll = [&](const std::string& aPath, const std::string& aName) {
    std::vector<std::thread> clients;
    for (int number = 0; number < kSlowRequests; ++number) {
      clients.emplace_back([&, aPath, id = aName + std::to_string(number)] {
        Record::Line("client sends " + id + " (GET " + aPath + ")");
        const auto answer =
          Call(outbound, MakeGet("sets.example", aPath, id, 5000));
        const int status = answer ? answer->Status() : 0;
        Record::Line("client gets " + std::to_string(status) + " for " + id);
        const std::lock_guard lock(resultMutex);
        ++results[aName + " " + std::to_string(status)];
      });
    }
    return clients;
  };
  // The usual traffic: the nodes then keep connections.
  for (int round = 0; round < 3; ++round) {
    for (std::thread& client :
         sendAll("/browse/quick", "quick" + std::to_string(round) + "-")) {
      client.join();
    }
    Sleep(0.2);
  }
  if (results["quick2- 200"] != kSlowRequests) {
    CannotRun("the usual traffic isn't served");
  }

  theLosesAnswers = HasTrouble();
  auto clients = sendAll("/browse/slow", "slow-");
  Sleep(0.2);
  if (leaving->Running() == 0) {
    CannotRun("the instance that leaves runs nothing");
  }
  if (!leaving->Drain()) {
    CannotRun("the leaving isn't acknowledged");
  }
  const double acknowledged = Seconds();
  for (std::thread& client : clients) {
    client.join();
  }
  Sleep(0.5);

  int late = 0;
  std::string first;
  {
    const std::lock_guard lock(theMutex);
    for (const Arrival& arrival : theArrivals) {
      if (arrival.m_time > acknowledged + kDrainSeconds) {
        char text[160];
        std::snprintf(text,
                      sizeof text,
                      "; %s reached it %.3f s after the acknowledgement",
                      arrival.m_request.c_str(),
                      arrival.m_time - acknowledged);
        first += late++ == 0 ? text : "";
      }
    }
  }
  Finish(deployment,
         late > 0,
         "DRAIN: " + std::to_string(late) +
           " requests reached i-leaving later than drainMs after its leaving "
           "was acknowledged" +
           first);
}
