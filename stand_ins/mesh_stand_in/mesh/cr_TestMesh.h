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

/** A host of a test mesh: a node and a fake backend server. */
struct MeshHost
{
  HostName m_host;
  std::string m_service;
  std::string m_dataCentre = "a";
  std::string m_region = "r";
  std::uint32_t m_slots = 10;
  Duration m_serviceTime = Milliseconds(5);
};

/** Requests that nodes made of the platform. */
struct StoreLoad
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
};

/** What a customer of the mesh got. */
struct MeshAnswer
{
  RequestId m_request;
  OperationName m_operation;
  CallReport m_report;
  PayloadPointer m_payload;
  Instant m_at;
};

/** Called by the mesh as things happen; empty functions are left out. */
struct MeshHooks
{
  /** A customer got an answer; Answers() then stays empty. */
  std::function<void(const MeshAnswer&)> m_answered;
  /** A server spent time on a request, without the time that it waited for
      calls below. */
  std::function<void(const RequestId&, Duration)> m_worked;
};

/** Faults of the mesh, changed by tests at any time. */
struct MeshFaults
{
  /** One-way delay between nodes. */
  Duration m_linkDelay = Duration(500);
  /** Share of answers between nodes that are lost after the work was done. */
  double m_lostAnswers = 0.0;
  /** Hosts that cannot be reached and reach nobody. */
  std::set<HostName> m_cut;
  /** Hosts whose process does not run; its events wait. */
  std::set<HostName> m_paused;
  bool m_platformDown = false;
  /** Share of platform answers that are lost after the write took effect. */
  double m_lostStoreAnswers = 0.0;
  /** Bodies that contain this end the server that runs them. */
  std::string m_crashMark = "crash";
};

/** A few nodes' decisions, fake backend servers and an in-process platform in
    virtual time, in one thread. The same seed gives the same run. */
class TestMesh
{
public:
  /** Starts the hosts and puts the service files into force. */
  TestMesh(std::vector<MeshHost> aHosts,
           const std::vector<ServiceFileText>& aFiles,
           std::uint64_t aSeed,
           PolicySwitches aPolicy = {});
  ~TestMesh();
  TestMesh(const TestMesh&) = delete;
  TestMesh& operator=(const TestMesh&) = delete;

  //==========================================================================
  /** Lets virtual time pass. */
  void RunFor(Duration aTime);

  /** Sends a customer's call to the host's node; the answer is added to
      Answers(). */
  void Call(const HostName& aHost, const CustomerCall& aCall);

  /** Builds a call with the next request identifier and a fresh key. */
  CustomerCall MakeCall(const OperationName& aOperation);

  /** The customer of a call that Call() sent closes its connection. */
  void HangUp(const RequestId& aRequest);

  /** Publishes service files; returns how it ended. */
  PublicationResult PublishFiles(const std::vector<ServiceFileText>& aFiles,
                                 const std::string& aOperator);

  /** Replaces the host's node by a new incarnation that knows nothing. */
  void RestartNode(const HostName& aHost);

  /** The backend server announces that it leaves. */
  void LeaveServer(const HostName& aHost);

  /** The backend server dies with the calls that it runs. */
  void CrashServer(const HostName& aHost);

  /** Changes how long the host's server takes for a call from now on. */
  void SetServiceTime(const HostName& aHost, Duration aTime);

  /** Sets what is called as things happen. */
  void SetHooks(MeshHooks aHooks) { m_hooks = std::move(aHooks); }

  /** The backend server starts again. */
  void StartServer(const HostName& aHost);

  /** Feeds an event to a node at the present time. */
  void Feed(const HostName& aHost, const Event& aEvent);

  //==========================================================================
  MeshFaults& Faults() { return m_faults; }
  const std::vector<MeshAnswer>& Answers() const { return m_answers; }
  Instant Now() const { return m_now; }
  NodeDecisions& Node(const HostName& aHost);
  InProcessPlatform& Platform() { return m_platform; }

  /** Hand-overs to a server by request identifier. */
  const std::map<RequestId, std::uint32_t>& HandOvers() const
  {
    return m_handOvers;
  }
  /** Attempts between nodes by request identifier. */
  const std::map<RequestId, std::uint32_t>& Attempts() const
  {
    return m_attempts;
  }
  /** Runs by idempotency key and operation. */
  const std::map<std::string, std::uint32_t>& RunsByKey() const
  {
    return m_runsByKey;
  }
  /** Servers that died of a request. */
  std::uint32_t Crashes() const { return m_crashes; }
  /** Calls refused for want of room at a gate where a less important one waited
      or was handed over since they had arrived. */
  std::uint64_t Inversions() const { return m_inversions; }
  /** Store requests that a part of the nodes made. */
  StoreLoad StoreLoads(StoreClient aClient) const
  {
    const auto load = m_storeLoads.find(aClient);
    return load == m_storeLoads.end() ? StoreLoad() : load->second;
  }
  /** Store requests that nodes made. */
  std::uint64_t StoreCalls() const { return m_storeCalls; }
  /** Rumours that nodes sent. */
  std::uint64_t Rumours() const { return m_rumours; }

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
  struct Later
  {
    bool operator()(const Scheduled& aLeft, const Scheduled& aRight) const
    {
      return std::tie(aLeft.m_at, aLeft.m_order) >
             std::tie(aRight.m_at, aRight.m_order);
    }
  };

  void After(Duration aDelay, std::function<void()> aFunction);
  void ArmTimer(Host& aHost);
  void Announce(Host& aHost);
  void AnnounceEvery(const HostName& aHost);
  bool IsCut(const HostName& aFirst, const HostName& aSecond) const;
  Host& HostOf(const Endpoint& aPeer);
  void RunJob(Host& aHost, const std::shared_ptr<Job>& aJob);
  void StartWork(Host& aHost, const std::shared_ptr<Job>& aJob);
  void EndJob(Host& aHost, CallId aCall);
  static void LeaveGate(Host& aHost, CallId aCall);
  void NoteRefusal(Host& aHost, const Origin& aOrigin);
  void StepJob(const HostName& aHost, const std::shared_ptr<Job>& aJob);

  void Do(Host& aHost, const ForwardCall& aAction);
  void Do(Host& aHost, const CancelAttempt& aAction);
  void Do(Host& aHost, const RequestWithdrawal& aAction);
  void Do(Host& aHost, const DispatchCall& aAction);
  void Do(Host& aHost, const CancelDispatch& aAction);
  void Do(Host& aHost, const AnswerCall& aAction);
  void Do(Host& aHost, const AnswerWithdrawal& aAction);
  void Do(Host& aHost, const CallStore& aAction);
  void Do(Host& aHost, const SendGossip& aAction);
  void Do(Host& aHost, const AnswerGossip& aAction);
  void Do(Host& aHost, const FetchObject& aAction);
  void Do(Host& aHost, const AnswerObject& aAction);
  void Do(Host& aHost, const WriteLog& aAction);

  Random m_random;
  PolicySwitches m_policy;
  Instant m_now;
  std::uint64_t m_order = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_publications = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, Later> m_schedule;
  std::map<HostName, std::unique_ptr<Host>> m_hosts;
  Configuration m_graph;
  InProcessPlatform m_platform;
  MeshFaults m_faults;
  std::vector<MeshAnswer> m_answers;
  std::map<RequestId, std::uint32_t> m_handOvers;
  std::map<RequestId, std::uint32_t> m_attempts;
  std::map<std::string, std::uint32_t> m_runsByKey;
  MeshHooks m_hooks;
  std::uint64_t m_inversions = 0;
  std::uint32_t m_crashes = 0;
  std::uint64_t m_storeCalls = 0;
  std::map<StoreClient, StoreLoad> m_storeLoads;
  std::uint64_t m_rumours = 0;
};

/** The service files of a small booking graph: shop/book (protected, not
    idempotent) calls price/quote, which calls stock/count; shop/status is
    normal and shop/browse low. */
std::vector<ServiceFileText>
BookingGraph();

/** Two hosts for each service of the booking graph. */
std::vector<MeshHost>
BookingHosts();

}
