// Stand-ins for the case of review/11: a store, servers and clients, around
// nodes of the project that run as separate processes on loopback.
//
// usage: late_answer NODE_PROGRAM RECORD_FILE TROUBLE(0|1)

#include "stand_in_3.hh"

namespace {

// The disruptions, within the limits of the site file.
constexpr double kShedShare = 0.45;   // srv_grey shed: x up to 0.45
constexpr double kExtraShare = 0.03;   // garble extra late: x up to 0.03
constexpr auto kTrouble = 1500ms;    // garble extra late: for_s up to 5.0
constexpr auto kPause = 8500ms;
constexpr int kRounds = 10;

constexpr auto kWork = 4ms;
constexpr int kClients = 72;
constexpr auto kClientGap = 90ms;  // 72 clients: about 750 requests a second

//=============================================================================
// Servers.

std::mutex g_runsMutex;
std::map<std::string, int> g_runs;

std::atomic<int> g_extraCount{ 0 };
std::atomic<int> g_shedCount{ 0 };

// A faulty server sends some answers twice; the second copy comes late, where
// the next answer on the connection is due.
void
HandleServer(const Host& aHost, int aFd)
{
  Reader reader(aFd);
  Message request;
  std::string late;
  while (reader.Read(request)) {
    const std::string id = request.m_headers["x-corianderrack-request-id"];
    const std::string name =
      "X-Corianderrack-Instance-Id: " + aHost.m_server + "\r\n";
    if (request.m_first.starts_with("GET /health")) {
      if (!Write(aFd, Answer(200, name, ""))) {
        return;
      }
      continue;
    }
    if (!late.empty()) {
      ++g_extraCount;
      if (!Write(aFd, std::exchange(late, ""))) {
        return;
      }
    }
    const std::string echo = "X-Corianderrack-Request-Id: " + id + "\r\n";
    std::string answer;
    if (request.m_headers["x-corianderrack-expect-instance"] !=
        aHost.m_server) {
      answer = Answer(421, name + echo + "X-Corianderrack-Not-Run: 1\r\n", "");
    } else if (g_isTrouble && Draw() < kShedShare) {
      ++g_shedCount;
      RecordEvent(id, "rejected by " + aHost.m_server);
      answer = Answer(503, echo + "X-Corianderrack-Not-Run: 1\r\n", "");
    } else {
      {
        const std::lock_guard lock(g_runsMutex);
        ++g_runs[id];
      }
      RecordEvent(id, "run by " + aHost.m_server);
      std::this_thread::sleep_for(kWork);
      answer =
        Answer(200,
               echo + "X-Corianderrack-Server-Stamp: " + aHost.m_server +
                 "." + id + "\r\n",
               "booked " + id + "\n");
    }
    if (!Write(aFd, answer)) {
      return;
    }
    if (aHost.m_isFaulty && g_isTrouble && Draw() < kExtraShare) {
      late = answer;
    }
  }
}

//=============================================================================
// Clients.

std::mutex g_answersMutex;
std::map<std::string, int> g_answers;
std::atomic<int> g_sent{ 0 };

// Sends unsafe requests over a kept connection; sends none a second time.
void
RunClient(int aIndex, int aPort)
{
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int number = 0; g_isSending; ++number) {
    std::this_thread::sleep_for(kClientGap * (0.5 + Draw()));
    if (fd < 0) {
      fd = Connect(aPort);
      reader = std::make_unique<Reader>(fd);
    }
    const std::string id =
      std::to_string(aIndex) + "-" + std::to_string(number);
    const std::string body = "loan " + id;
    ++g_sent;
    RecordEvent(id, "sent");
    Message answer;
    int status = 0;
    if (fd >= 0 &&
        Write(fd,
              "POST /loans/" + id +
                " HTTP/1.1\r\nHost: sets.example\r\n"
                "X-Corianderrack-Request-Id: " +
                id + "\r\nX-Corianderrack-Deadline-Ms: 5000\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body) &&
        reader->Read(answer)) {
      status = std::atoi(answer.m_first.c_str() + 9);
    }
    RecordEvent(id, "answered " + std::to_string(status));
    {
      const std::lock_guard lock(g_answersMutex);
      g_answers[id] = status;
    }
    if (status == 0 || answer.m_headers["connection"] == "close") {
      close(fd);
      fd = -1;
    }
  }
  close(fd);
}

}

//=============================================================================
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
  char folder[] = "/tmp/late_answer.XXXXXX";
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

  std::vector<Host> hosts(3);
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    hosts[index].m_name = "host-" + std::to_string(index);
    hosts[index].m_service = index == 0 ? "skra" : "lanadeild";
    hosts[index].m_server = "i-" + std::to_string(index);
  }
  // One of the two servers of the service: garble, share up to 0.6.
  hosts[2].m_isFaulty = true;
  std::vector<std::thread> threads;
  for (Host& host : hosts) {
    Serve(Listen(host.m_address), [&host](int aFd) { HandleServer(host, aFd); });
    StartNode(host, program, folder, storePort);
    threads.emplace_back([&host] { Announce(host); });
  }
  const bool isReady = AreReady(hosts);
  if (isReady) {
    std::this_thread::sleep_for(3s);
    std::vector<std::thread> clients;
    for (int index = 0; index < kClients; ++index) {
      clients.emplace_back(
        RunClient, index, hosts[index % hosts.size()].m_customers);
    }
    std::this_thread::sleep_for(3s);
    for (int round = 0; round < kRounds; ++round) {
      g_isTrouble = hasTrouble;
      Record("trouble begins");
      std::this_thread::sleep_for(kTrouble);
      g_isTrouble = false;
      Record("trouble ends");
      std::this_thread::sleep_for(kPause);
    }
    g_isSending = false;
    for (std::thread& client : clients) {
      client.join();
    }
    std::this_thread::sleep_for(2s);
  }
  g_isEnding = true;
  for (const Host& host : hosts) {
    kill(host.m_process, SIGKILL);
    waitpid(host.m_process, nullptr, 0);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  if (!isReady) {
    Record("the nodes did not become ready");
    g_record.close();
    return 2;
  }

  WriteEvents();
  int served = 0;
  int twice = 0;
  int refused = 0;
  const std::lock_guard runsLock(g_runsMutex);
  for (const auto& [id, status] : g_answers) {
    const auto run = g_runs.find(id);
    const int runs = run != g_runs.end() ? run->second : 0;
    served += status == 200 ? 1 : 0;
    if (runs > 1) {
      ++twice;
      Record("TWICE: " + id + " ran " + std::to_string(runs) + " times");
    }
    if (runs > 0 && (status == 503 || status == 429)) {
      ++refused;
      Record("REFUSED: " + id + " was answered " + std::to_string(status) +
             " and ran");
    }
  }
  const std::string result =
    "sent " + std::to_string(g_sent) + ", served " + std::to_string(served) +
    ", rejected by servers " + std::to_string(g_shedCount) +
    ", late second answers " + std::to_string(g_extraCount) + ", TWICE " +
    std::to_string(twice) + ", REFUSED " + std::to_string(refused);
  Record(result);
  std::printf("%s\n", result.c_str());
  g_record.close();
  std::fflush(stdout);
  _exit(served < g_sent / 4 ? 2 : twice + refused > 0 ? 1 : 0);
}
