#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "cr_node/cr_node.h"

namespace cr {

/** A host of a test mesh: a node and a simulated backend server. */
struct MeshHost
{
  HostName m_host;
  std::string m_service;
  std::string m_dataCentre = "a";
  std::string m_region = "r";
  std::uint32_t m_slots = 10;
  Duration m_serviceTime = Milliseconds(5);
};

/** Number of requests that nodes sent to the platform. */
struct StoreLoad
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
};

/** The answer that a customer received for one call. */
struct MeshAnswer
{
  RequestId m_request;
  OperationName m_operation;
  CallReport m_report;
  PayloadPointer m_payload;
  Instant m_at;
};

/** Callbacks of the mesh; an empty function is not called. */
struct MeshHooks
{
  /** Called for each answer to a customer. When set, answers are not collected
      in Answers(). */
  std::function<void(const MeshAnswer&)> m_answered;
  /** Called with the service time that a server spent on a request. Excludes
      the time that the server waited for its child calls. */
  std::function<void(const RequestId&, Duration)> m_serviceTimeSpent;
};

/** Injected faults. Tests may change them at any time. */
struct MeshFaults
{
  /** One-way delay between nodes. */
  Duration m_linkDelay = Duration(500);
  /** Fraction (0 to 1) of the answers between nodes that are lost after the
      call was run. */
  double m_answerLossRate = 0.0;
  /** Hosts whose node exchanges no messages with other nodes. */
  std::set<HostName> m_unreachable;
  /** Hosts whose node process is suspended; its events are queued. */
  std::set<HostName> m_paused;
  bool m_platformDown = false;
  /** Fraction (0 to 1) of the platform's answers that are lost after the
      request took effect. */
  double m_storeAnswerLossRate = 0.0;
  /** A request whose body contains this text crashes the server that runs
      it. */
  std::string m_crashMarker = "crash";
};

/** Simulates several nodes, their backend servers and the platform in virtual
    time on the calling thread. Equal seeds give identical runs. Not thread
    safe. */
class TestMesh
{
public:
  /** Publishes the service files, starts the hosts and runs for 3 s of virtual
      time. */
  TestMesh(std::vector<MeshHost> aHosts,
           const std::vector<ServiceFileText>& aFiles,
           std::uint64_t aSeed,
           PolicySwitches aPolicy = {});
  ~TestMesh();
  TestMesh(const TestMesh&) = delete;
  TestMesh& operator=(const TestMesh&) = delete;

  //==========================================================================
  /** Advances virtual time and runs everything that is due by then. */
  void RunFor(Duration aTime);

  /** Sends a customer's call to the host's node; the answer is added to
      Answers(). */
  void Call(const HostName& aHost, const CustomerCall& aCall);

  /** Builds a call with the next request identifier and a fresh key. */
  CustomerCall MakeCall(const OperationName& aOperation);

  /** Closes the connection of the customer that sent the request with
      Call(). */
  void DisconnectCustomer(const RequestId& aRequest);

  /** Publishes service files and returns the result. */
  PublicationResult PublishFiles(const std::vector<ServiceFileText>& aFiles,
                                 const std::string& aOperator);

  /** Replaces the host's node by a new incarnation without any state. */
  void RestartNode(const HostName& aHost);

  /** Makes the backend server announce that it is leaving. */
  void LeaveServer(const HostName& aHost);

  /** Crashes the backend server; the calls that it runs fail. */
  void CrashServer(const HostName& aHost);

  /** Sets the service time of the host's server for calls that start later. */
  void SetServiceTime(const HostName& aHost, Duration aTime);

  /** Replaces the callbacks. */
  void SetHooks(MeshHooks aHooks) { m_hooks = std::move(aHooks); }

  /** Starts the backend server again after a crash or after it left. */
  void StartServer(const HostName& aHost);

  /** Delivers an event to a node at the current virtual time, and executes the
      actions that it returns. While the host is paused the event is queued. */
  void DeliverEvent(const HostName& aHost, const Event& aEvent);

  //==========================================================================
  MeshFaults& Faults() { return m_faults; }
  const std::vector<MeshAnswer>& Answers() const { return m_answers; }
  Instant Now() const { return m_now; }
  NodeDecisions& Node(const HostName& aHost);
  InProcessPlatform& Platform() { return m_platform; }

  /** Number of dispatches to backend servers by request identifier. */
  const std::map<RequestId, std::uint32_t>& Dispatches() const
  {
    return m_dispatches;
  }
  /** Number of attempts sent between nodes by request identifier. */
  const std::map<RequestId, std::uint32_t>& Attempts() const
  {
    return m_attempts;
  }
  /** Number of runs by idempotency key and operation, as one text. */
  const std::map<std::string, std::uint32_t>& RunsByKey() const
  {
    return m_runsByKey;
  }
  /** Number of server crashes caused by a request. */
  std::uint32_t Crashes() const { return m_crashes; }
  /** Number of calls that a gate refused for lack of capacity although a less
      important call was queued there, or was dispatched after the refused call
      arrived. */
  std::uint64_t PriorityInversions() const { return m_priorityInversions; }
  /** Number of store requests that one component of the nodes sent. */
  StoreLoad StoreLoads(StoreClient aClient) const
  {
    const auto load = m_storeLoads.find(aClient);
    return load == m_storeLoads.end() ? StoreLoad() : load->second;
  }
  /** Number of store requests that nodes sent. */
  std::uint64_t StoreCalls() const { return m_storeCalls; }
  /** Number of gossip messages that nodes sent. */
  std::uint64_t GossipMessages() const { return m_gossipMessages; }

private:
  struct Host;
  struct Job;
  struct Origin;
  struct Scheduled
  {
    Instant m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_function;
  };
  struct RunsLater
  {
    bool operator()(const Scheduled& aLeft, const Scheduled& aRight) const
    {
      return std::tie(aLeft.m_at, aLeft.m_order) >
             std::tie(aRight.m_at, aRight.m_order);
    }
  };

  void ScheduleAfter(Duration aDelay, std::function<void()> aFunction);
  void ArmTimer(Host& aHost);
  void Announce(Host& aHost);
  void AnnouncePeriodically(const HostName& aHost);
  bool IsUnreachable(const HostName& aFirst, const HostName& aSecond) const;
  Host& HostOf(const Endpoint& aPeer);
  void RunJob(Host& aHost, const std::shared_ptr<Job>& aJob);
  void StartWork(Host& aHost, const std::shared_ptr<Job>& aJob);
  void FinishJob(Host& aHost, CallId aCall);
  static void RemoveFromGate(Host& aHost, CallId aCall);
  void RecordRefusal(Host& aHost, const Origin& aOrigin);
  void AdvanceJob(const HostName& aHost, const std::shared_ptr<Job>& aJob);

  void ExecuteAction(Host& aHost, const ForwardCall& aAction);
  void ExecuteAction(Host& aHost, const CancelAttempt& aAction);
  void ExecuteAction(Host& aHost, const RequestWithdrawal& aAction);
  void ExecuteAction(Host& aHost, const DispatchCall& aAction);
  void ExecuteAction(Host& aHost, const CancelDispatch& aAction);
  void ExecuteAction(Host& aHost, const AnswerCall& aAction);
  void ExecuteAction(Host& aHost, const AnswerWithdrawal& aAction);
  void ExecuteAction(Host& aHost, const CallStore& aAction);
  void ExecuteAction(Host& aHost, const SendGossip& aAction);
  void ExecuteAction(Host& aHost, const AnswerGossip& aAction);
  void ExecuteAction(Host& aHost, const FetchObject& aAction);
  void ExecuteAction(Host& aHost, const AnswerObject& aAction);
  void ExecuteAction(Host& aHost, const WriteLog& aAction);

  Random m_random;
  PolicySwitches m_policy;
  Instant m_now;
  std::uint64_t m_order = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_publications = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, RunsLater> m_schedule;
  std::map<HostName, std::unique_ptr<Host>> m_hosts;
  Configuration m_graph;
  InProcessPlatform m_platform;
  MeshFaults m_faults;
  std::vector<MeshAnswer> m_answers;
  std::map<RequestId, std::uint32_t> m_dispatches;
  std::map<RequestId, std::uint32_t> m_attempts;
  std::map<std::string, std::uint32_t> m_runsByKey;
  MeshHooks m_hooks;
  std::uint64_t m_priorityInversions = 0;
  std::uint32_t m_crashes = 0;
  std::uint64_t m_storeCalls = 0;
  std::map<StoreClient, StoreLoad> m_storeLoads;
  std::uint64_t m_gossipMessages = 0;
};

/** Returns the service files of a small booking graph: shop/book (protected,
    not idempotent) calls price/quote, which calls stock/count. shop/status has
    normal importance and shop/browse low importance. */
std::vector<ServiceFileText>
BookingGraph();

/** Returns two hosts for each service of the booking graph. */
std::vector<MeshHost>
BookingHosts();

}
