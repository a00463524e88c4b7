// Stand-ins for the case of review/12: clients, some of whose requests have a
// body that looks like another request, around nodes of the project that run as
// separate processes on loopback.
//
// usage: hidden_requests NODE_PROGRAM RECORD_FILE TROUBLE(0|1)

#include "stand_in_3.hh"

namespace {

constexpr int kRounds = 25;
constexpr auto kWork = 4ms;

// What a request says of its body: a coding that no reader may take for a body
// of no bytes (RFC 9112, section 6.3).
const std::vector<std::string> g_codings = {
  "gzip", "xchunked", "\"chunked\"", "chunked, gzip"
};

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

std::string
Request(const std::string& aId,
        const std::string& aFraming,
        const std::string& aBody)
{
  return "POST /loans/" + aId +
         " HTTP/1.1\r\nHost: sets.example\r\n"
         "X-Corianderrack-Request-Id: " +
         aId + "\r\nX-Corianderrack-Deadline-Ms: 6000\r\n" + aFraming +
         "\r\n\r\n" + aBody;
}

std::string
Length(const std::string& aBody)
{
  return "Content-Length: " + std::to_string(aBody.size());
}

/* Sends one request and reads answers until the connection ends or is silent
   for a moment. */
void
Send(int aPort, const std::string& aId, const std::string& aBytes)
{
  const int fd = Connect(aPort);
  const timeval limit{ 0, 400'000 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  RecordEvent(aId, "sent");
  Reader reader(fd);
  Message answer;
  if (fd >= 0 && Write(fd, aBytes)) {
    while (reader.Read(answer)) {
      RecordEvent(aId, "gets \"" + answer.m_first + "\"");
    }
  }
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
  char folder[] = "/tmp/hidden_requests.XXXXXX";
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
  const bool isReady = AreReady(hosts);
  if (isReady) {
    std::this_thread::sleep_for(3s);
    const int port = hosts[0].m_customers;
    int number = 0;
    for (int round = 0; round < kRounds; ++round) {
      const std::string plain = "plain-" + std::to_string(round);
      Send(port, plain, Request(plain, Length("order"), "order"));
      const std::string& coding = g_codings[round % g_codings.size()];
      const std::string outer = "outer-" + std::to_string(number);
      const std::string hidden = "hidden-" + std::to_string(number++);
      const std::string body = Request(hidden, Length("order"), "order");
      RecordEvent(outer,
                  hasTrouble ? "Transfer-Encoding: " + coding : Length(body));
      Send(port,
           outer,
           Request(outer,
                   hasTrouble ? "Transfer-Encoding: " + coding : Length(body),
                   body));
    }
    std::this_thread::sleep_for(1s);
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
  int plain = 0;
  int outer = 0;
  int hidden = 0;
  for (const auto& [id, runs] : g_runs) {
    plain += id.starts_with("plain-") ? 1 : 0;
    outer += id.starts_with("outer-") ? 1 : 0;
    hidden += id.starts_with("hidden-") ? 1 : 0;
    if (id.starts_with("hidden-")) {
      Record("UNASKED: " + id + " ran, and no client sent it");
    }
  }
  const std::string result =
    "of " + std::to_string(kRounds) + " plain requests " +
    std::to_string(plain) + " ran, of " + std::to_string(kRounds) +
    " with a body that looks like a request " + std::to_string(outer) +
    ", and " + std::to_string(hidden) + " of the bodies";
  Record(result);
  std::printf("%s\n", result.c_str());
  g_record.close();
  std::fflush(stdout);
  _exit(!isReady || plain < kRounds ? 2 : hidden > 0 ? 1 : 0);
}
