// Stand-ins for the case of review/13: clients, one of which sends a TRACE request
// with a body, and a platform that starts a node again when it has ended, around
// nodes of the project that run as separate processes on loopback.
//
// usage: trace_body NODE_PROGRAM RECORD_FILE TROUBLE(0|1)

#include "stand_in_3.hh"

namespace {

constexpr auto kWork = 290ms;  // the mean of reserve-set
constexpr int kClients = 8;    // at each host
constexpr int kTraces = 3;
constexpr auto kPause = 5s;

std::mutex g_runsMutex;
std::map<std::string, int> g_runs;

void
HandleServer(const Host& aHost, int aFd)
{
  Reader reader(aFd);
  Message request;
  while (reader.Read(request)) {
    const std::string id = request.m_headers["x-corianderrack-request-id"];
    const std::string name =
      "X-Corianderrack-Instance-Id: " + aHost.m_server + "\r\n";
    const std::string echo = "X-Corianderrack-Request-Id: " + id + "\r\n";
    std::string answer;
    if (request.m_first.starts_with("GET /health")) {
      answer = Answer(200, name, "");
    } else if (request.m_headers["x-corianderrack-expect-instance"] !=
               aHost.m_server) {
      answer = Answer(421, name + echo + "X-Corianderrack-Not-Run: 1\r\n", "");
    } else {
      RecordEvent(id,
                  "run by " + aHost.m_server + " (" + request.m_first + ", " +
                    std::to_string(request.m_body.size()) + " bytes)");
      {
        const std::lock_guard lock(g_runsMutex);
        ++g_runs[id];
      }
      std::this_thread::sleep_for(kWork);
      answer = Answer(200,
                      echo + "X-Corianderrack-Server-Stamp: " +
                        aHost.m_server + "." + id + "\r\n",
                      "booked " + id + "\n");
    }
    if (!Write(aFd, answer)) {
      return;
    }
  }
}

//=============================================================================
// Clients.

std::string
Request(const std::string& aMethod, const std::string& aId, std::size_t aBytes)
{
  return aMethod + " /loans/" + aId +
         " HTTP/1.1\r\nHost: sets.example\r\n"
         "X-Corianderrack-Request-Id: " +
         aId +
         "\r\nX-Corianderrack-Deadline-Ms: 6000\r\n"
         "Content-Length: " +
         std::to_string(aBytes) + "\r\n\r\n" + std::string(aBytes, 'b');
}

struct Outcome
{
  int m_status = 0;
  bool m_isKept = false;
};

std::mutex g_outcomesMutex;
std::map<std::string, Outcome> g_outcomes;

// Sends requests one after the other, over a connection that is kept.
void
RunClient(int aIndex, int aPort)
{
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int number = 0; g_isSending; ++number) {
    std::this_thread::sleep_for(30ms * Draw());
    Outcome outcome;
    outcome.m_isKept = fd >= 0;
    if (fd < 0) {
      fd = Connect(aPort);
      reader = std::make_unique<Reader>(fd);
    }
    const std::string id =
      std::to_string(aIndex) + "-" + std::to_string(number);
    RecordEvent(id, outcome.m_isKept ? "sent, kept connection" : "sent");
    Message answer;
    if (fd >= 0 && Write(fd, Request("POST", id, 5)) && reader->Read(answer)) {
      outcome.m_status = std::atoi(answer.m_first.c_str() + 9);
    }
    RecordEvent(id, "answered " + std::to_string(outcome.m_status));
    {
      const std::lock_guard lock(g_outcomesMutex);
      g_outcomes[id] = outcome;
    }
    if (outcome.m_status == 0 || answer.m_headers["connection"] == "close") {
      close(fd);
      fd = -1;
    }
  }
  close(fd);
}

void
SendTrace(const std::string& aId, int aPort, std::size_t aBytes)
{
  const int fd = Connect(aPort);
  RecordEvent(aId, "sent with " + std::to_string(aBytes) + " bytes");
  Message answer;
  const bool isAnswered = fd >= 0 && Write(fd, Request("TRACE", aId, aBytes)) &&
                          Reader(fd).Read(answer);
  RecordEvent(aId, isAnswered ? answer.m_first : "no answer");
  close(fd);
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  const std::string program = aArguments[1];
  g_record.open(aArguments[2]);
  const bool hasTrouble = std::string(aArguments[3]) != "0";
  signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/trace_body.XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    return 2;
  }
  const int storePort = FreePort();
  Serve(Listen(storePort), HandleStore);
  const std::string configuration =
    R"({"version":"00000007","routes":{"columns":["name","host","prefix","type",)"
    R"("timeoutMs","targetLatencyMs","priority","service","attempts"],"rows":[)"
    R"(["r1","sets.example","/loans/","unsafe",1500,2000,0,"lanadeild",2]]},)"
    R"("services":{"columns":["name","healthPath"],"rows":[["lanadeild","/health"],)"
    R"(["skra","/health"]]},"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
  g_tables["op"]["config"] = { Base64(configuration), g_storeVersion };
  std::vector<Host> hosts(2);
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    hosts[index].m_name = "host-" + std::to_string(index);
    hosts[index].m_service = index == 0 ? "skra" : "lanadeild";
    hosts[index].m_server = "i-" + std::to_string(index);
  }
  std::vector<std::thread> threads;
  for (Host& host : hosts) {
    Serve(Listen(host.m_address), [&host](int aFd) { HandleServer(host, aFd); });
    StartNode(host, program, folder, storePort);
    threads.emplace_back([&host] { Announce(host); });
  }
  if (!AreReady(hosts)) {
    std::_Exit(2);
  }
  std::this_thread::sleep_for(3s);
  std::vector<std::thread> clients;
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back(RunClient,
                           static_cast<int>(index) * kClients + client,
                           hosts[index].m_customers);
    }
  }
  int ended = 0;
  int traces = 0;
  auto nextTrace = Clock::now() + kPause;
  const auto end = Clock::now() + kPause * (kTraces + 1);
  while (Clock::now() < end) {
    if (traces < kTraces && Clock::now() >= nextTrace) {
      nextTrace += kPause;
      SendTrace("trace-" + std::to_string(traces++),
                hosts[0].m_customers,
                hasTrouble ? 5 : 0);
    }
    for (Host& host : hosts) {
      int status = 0;
      if (waitpid(host.m_process, &status, WNOHANG) == host.m_process) {
        ++ended;
        Record("the node of " + host.m_name + " has ended by itself, signal " +
               std::to_string(WIFSIGNALED(status) ? WTERMSIG(status) : 0));
        std::this_thread::sleep_for(200ms);
        StartNode(host, program, folder, storePort);
      }
    }
    std::this_thread::sleep_for(5ms);
  }
  g_isSending = false;
  for (std::thread& client : clients) {
    client.join();
  }
  g_isEnding = true;
  for (const Host& host : hosts) {
    kill(host.m_process, SIGKILL);
    waitpid(host.m_process, nullptr, 0);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::lock_guard runsLock(g_runsMutex);
  WriteEvents();
  int served = 0;
  int lost = 0;
  for (const auto& [id, outcome] : g_outcomes) {
    served += outcome.m_status == 200 ? 1 : 0;
    if (outcome.m_isKept && outcome.m_status == 0 && g_runs[id] > 0) {
      ++lost;
      Record("LOST: " + id + " was passed on, and its connection closed");
    }
  }
  const std::string result =
    "sent " + std::to_string(g_outcomes.size()) + ", served " +
    std::to_string(served) + ", TRACE requests " + std::to_string(traces) +
    ", nodes that ended by themselves " + std::to_string(ended) +
    ", passed on from a kept connection and closed without an answer " +
    std::to_string(lost);
  Record(result);
  std::printf("%s\n", result.c_str());
  g_record.close();
  std::fflush(stdout);
  std::_Exit(served < 100 ? 2 : lost > 3 ? 1 : 0);
}
