// Not a case: stand-ins that order nodes of the project to end while requests are in
// progress, and tell how the processes ended. No rule speaks of that.
//
// usage: term_pending NODE_PROGRAM TROUBLE(0|1)

#include "stand_in_3.hh"

namespace {

constexpr std::size_t kNodes = 8;
constexpr int kCalls = 20; // at each node
constexpr auto kLimit = 12s;

/* Works on a request for longer than the nodes have to end; without trouble it
   answers at once. */
void
HandleServer(const Host& aHost, int aFd, bool aHasTrouble)
{
  Reader reader(aFd);
  Message request;
  while (reader.Read(request)) {
    const std::string name =
      "X-Corianderrack-Instance-Id: " + aHost.m_server + "\r\n";
    const std::string id = request.m_headers["x-corianderrack-request-id"];
    if (aHasTrouble && !request.m_first.starts_with("GET /health")) {
      std::this_thread::sleep_for(30s);
    }
    if (!Write(aFd,
               Answer(200,
                      name + "X-Corianderrack-Request-Id: " + id +
                        "\r\nX-Corianderrack-Server-Stamp: s." + id + "\r\n",
                      "booked\n"))) {
      return;
    }
  }
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return 2;
  }
  const bool hasTrouble = std::string(aArguments[2]) != "0";
  signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/term_pending.XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    return 2;
  }
  const int storePort = FreePort();
  Serve(Listen(storePort), HandleStore);
  const std::string configuration =
    R"({"version":"00000007","routes":{"columns":["name","host","prefix","type",)"
    R"("timeoutMs","targetLatencyMs","priority","service","attempts"],"rows":[)"
    R"(["r1","sets.example","/loans/","unsafe",20000,2000,0,"lanadeild",2]]},)"
    R"("services":{"columns":["name","healthPath"],"rows":[["lanadeild","/health"]]},)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
  g_tables["op"]["config"] = { Base64(configuration), g_storeVersion };
  std::vector<Host> hosts(kNodes);
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    Host& host = hosts[index];
    host.m_name = "host-" + std::to_string(index);
    host.m_service = "lanadeild";
    host.m_server = "i-" + std::to_string(index);
    Serve(Listen(host.m_address), [&host, hasTrouble](int aFd) {
      HandleServer(host, aFd, hasTrouble);
    });
    StartNode(host, aArguments[1], folder, storePort);
    std::thread([&host] { Announce(host); }).detach();
  }
  if (!AreReady(hosts)) {
    std::_Exit(2);
  }
  std::this_thread::sleep_for(2s);
  for (std::size_t call = 0; call < kCalls * kNodes; ++call) {
    const std::string id = "q" + std::to_string(call);
    Write(Connect(hosts[call % kNodes].m_customers),
          "POST /loans/" + id +
            " HTTP/1.1\r\nHost: sets.example\r\nX-Corianderrack-Request-Id: " +
            id + "\r\nX-Corianderrack-Deadline-Ms: 20000\r\n" +
            "Content-Length: 5\r\n\r\nbbbbb");
  }
  std::this_thread::sleep_for(1s);
  for (const Host& host : hosts) {
    kill(host.m_process, SIGTERM);
  }
  int crashed = 0;
  std::size_t ended = 0;
  const auto until = Clock::now() + kLimit;
  while (ended < kNodes && Clock::now() < until) {
    for (Host& host : hosts) {
      int status = 0;
      if (host.m_process > 0 &&
          waitpid(host.m_process, &status, WNOHANG) == host.m_process) {
        host.m_process = 0;
        ++ended;
        crashed += WIFSIGNALED(status) ? 1 : 0;
        std::printf("%s ended by %s %d\n",
                    host.m_name.c_str(),
                    WIFSIGNALED(status) ? "signal" : "exit code",
                    WIFSIGNALED(status) ? WTERMSIG(status)
                                        : WEXITSTATUS(status));
      }
    }
    std::this_thread::sleep_for(5ms);
  }
  for (const Host& host : hosts) {
    if (host.m_process > 0) {
      kill(host.m_process, SIGKILL);
    }
  }
  std::printf("%zu nodes ended, %d of them by a signal\n", ended, crashed);
  std::fflush(stdout);
  std::_Exit(crashed > 0 || ended < kNodes ? 1 : 0);
}
