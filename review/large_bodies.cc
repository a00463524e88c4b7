// Stand-ins for the case of review/12: clients that upload large bodies, of
// which more come in a burst, and a platform that ends a node whose memory
// exceeds the limit of its settings. The nodes run as separate processes on
// loopback.
//
// usage: large_bodies NODE_PROGRAM RECORD_FILE TROUBLE(0|1)

#include "stand_in_3.hh"

namespace {

constexpr long kMemoryKb = 260 * 1024;
constexpr std::size_t kBodyBytes = 4 * 1024 * 1024;
// Requests of a host's clients in a second; in the burst, x times as many.
constexpr double kRate = 8.5;
constexpr double kBurst = 1.8;   // burst: x up to 1.8
constexpr auto kBurstTime = 20s; // burst: for_s up to 20
constexpr auto kWork = 1000ms;

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
      RecordEvent(id, "run by " + aHost.m_server);
      {
        const std::lock_guard lock(g_runsMutex);
        ++g_runs[id];
      }
      std::this_thread::sleep_for(kWork);
      answer = Answer(200,
                      echo + "X-Corianderrack-Server-Stamp: " +
                        aHost.m_server + "." + id + "\r\n",
                      "booked\n");
    }
    if (!Write(aFd, answer)) {
      return;
    }
  }
}

//=============================================================================
// Clients.

struct Outcome
{
  int m_status = 0;
  bool m_isKept = false;
};

std::mutex g_outcomesMutex;
std::map<std::string, Outcome> g_outcomes;
std::vector<std::pair<int, std::unique_ptr<Reader>>> g_kept[8];

// Sends one request, over a kept connection if there is one.
void
Send(std::size_t aHost, int aPort, const std::string& aId)
{
  static const std::string body(kBodyBytes, 'b');
  std::pair<int, std::unique_ptr<Reader>> connection{ -1, nullptr };
  Outcome outcome;
  {
    const std::lock_guard lock(g_outcomesMutex);
    if (!g_kept[aHost].empty()) {
      connection = std::move(g_kept[aHost].back());
      g_kept[aHost].pop_back();
      outcome.m_isKept = true;
    }
  }
  if (connection.first < 0) {
    connection.first = Connect(aPort);
    connection.second = std::make_unique<Reader>(connection.first);
  }
  RecordEvent(aId, outcome.m_isKept ? "sent, kept connection" : "sent");
  Message answer;
  if (connection.first >= 0 &&
      Write(connection.first,
            "POST /loans/" + aId +
              " HTTP/1.1\r\nHost: sets.example\r\n"
              "X-Corianderrack-Request-Id: " +
              aId + "\r\nX-Corianderrack-Deadline-Ms: 6000\r\n"
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") &&
      Write(connection.first, body) && connection.second->Read(answer)) {
    outcome.m_status = std::atoi(answer.m_first.c_str() + 9);
  }
  RecordEvent(aId, "answered " + std::to_string(outcome.m_status));
  const std::lock_guard lock(g_outcomesMutex);
  g_outcomes[aId] = outcome;
  if (outcome.m_status == 0 || answer.m_headers["connection"] == "close") {
    close(connection.first);
  } else {
    g_kept[aHost].push_back(std::move(connection));
  }
}

void
RunClients(std::size_t aIndex, int aPort)
{
  std::vector<std::thread> requests;
  auto due = Clock::now();
  for (int number = 0; g_isSending; ++number) {
    std::this_thread::sleep_until(due);
    const double rate = kRate * (g_isTrouble ? kBurst : 1);
    due += std::chrono::microseconds(static_cast<long>(1e6 / rate));
    requests.emplace_back(Send,
                          aIndex,
                          aPort,
                          std::to_string(aIndex) + "-" +
                            std::to_string(number));
  }
  for (std::thread& request : requests) {
    request.join();
  }
}

//=============================================================================
// The platform.

long
MemoryKb(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("Name:") && !line.ends_with("corianderrack-r")) {
      return 0; // not yet the node's program
    }
    if (line.starts_with("VmRSS:")) {
      return std::atol(line.c_str() + 6);
    }
  }
  return 0;
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
  char folder[] = "/tmp/large_bodies.XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    return 2;
  }
  const int storePort = FreePort();
  Serve(Listen(storePort), HandleStore);
  const std::string configuration =
    R"({"version":"00000007","routes":{"columns":["name","host","prefix","type",)"
    R"("timeoutMs","targetLatencyMs","priority","service","attempts"],"rows":[)"
    R"(["r1","sets.example","/loans/","unsafe",3000,2000,0,"lanadeild",2]]},)"
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
    return 2;
  }
  std::this_thread::sleep_for(3s);
  std::vector<std::thread> clients;
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    clients.emplace_back(RunClients, index, hosts[index].m_customers);
  }
  std::vector<long> most(hosts.size());
  int ended = 0;
  const auto begin = Clock::now();
  while (Clock::now() < begin + 35s) {
    const auto elapsed = Clock::now() - begin;
    const bool isBurst =
      hasTrouble && elapsed >= 8s && elapsed < 8s + kBurstTime;
    if (isBurst != g_isTrouble) {
      g_isTrouble = isBurst;
      Record(isBurst ? "burst begins" : "burst ends");
    }
    for (std::size_t index = 0; index < hosts.size(); ++index) {
      Host& host = hosts[index];
      const long memory = MemoryKb(host.m_process);
      most[index] = std::max(most[index], memory);
      if (memory > kMemoryKb) {
        kill(host.m_process, SIGKILL);
        waitpid(host.m_process, nullptr, 0);
        ++ended;
        Record("the platform ends the node of " + host.m_name + ": " +
               std::to_string(memory) + " KiB in use, limit " +
               std::to_string(kMemoryKb));
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
    std::to_string(served) + ", most memory " +
    std::to_string(most[0] / 1024) + " and " + std::to_string(most[1] / 1024) +
    " MiB, nodes ended by the platform " + std::to_string(ended) +
    ", passed on from a kept connection and closed without an answer " +
    std::to_string(lost);
  Record(result);
  std::printf("%s\n", result.c_str());
  g_record.close();
  std::fflush(stdout);
  _exit(served < 50 ? 2 : lost > 3 ? 1 : 0);
}
