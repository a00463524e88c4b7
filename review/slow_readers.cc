// LOST: clients read large downloads slowly; the node holds all of them and
// exceeds its memory.
#include "config.hh"
#include "stand_in.hh"

using namespace review;

int main(int, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(arguments[1]);
  Start();
  constexpr double memoryMb = 260;
  constexpr int readers = 100;
  constexpr std::size_t bytes = 8 * 1024 * 1024;
  Fleet fleet({ "skra", "handbok", "lanadeild" },
    Config("[\"r1\",\"mesh.example\",\"/reserve/\",\"unsafe\",1500,2000,0,\"lanadeild\",2],"
           "[\"r2\",\"mesh.example\",\"/guide/\",\"download\",6000,600,2,\"handbok\",2]",
           "[\"lanadeild\",\"/health\",472,\"h1\",false],[\"handbok\",\"/health\",472,"
           "\"h1\",false],[\"skra\",\"/health\",424,\"h1\",false]"));
  std::mutex mutex;
  std::set<std::string> run;
  const std::string large(bytes, 'g');
  const auto answer = [&](Instance& self, const Message& m) {
    const std::string id = m.Get("x-corianderrack-request-id");
    { const std::lock_guard lock(mutex); run.insert(id); }
    record.Line("instance " + self.Id() + " runs " + id + " " + m.target);
    Sleep(m.target == "/reserve/set" ? 0.29 : 0.02);
    return Response(200, self.Headers(m),
                    m.target == "/guide/large" ? large : "by " + self.Id());
  };
  std::vector<std::unique_ptr<Instance>> instances;
  for (std::size_t i = 0; i < 3; ++i) {
    instances.push_back(std::make_unique<Instance>(
      fleet.At(i).On(), "i-" + std::to_string(i), fleet.At(i).On().service, 200, answer));
    instances.back()->StartBeats();
  }
  if (!fleet.WaitUntilReady(15)) { record.Line("not ready"); return 2; }
  Sleep(4);
  std::atomic<bool> isSending{ true };
  std::atomic<int> kills{ 0 }, served{ 0 }, lost{ 0 }, lostUnsafe{ 0 };
  double peak = 0;
  // The platform kills a process that exceeds memoryMb and starts it again.
  std::thread platform([&] {
    while (isSending) {
      const double used = fleet.At(0).Memory();
      peak = std::max(peak, used);
      if (used > memoryMb) {
        record.Line("the node on machine 0 uses " + std::to_string(used) +
                    " MB of " + std::to_string(memoryMb) + ": the platform kills it");
        ++kills;
        fleet.At(0).Kill();
        Sleep(0.5);
        fleet.At(0).Start();
      }
      Sleep(0.02);
    }
  });
  const auto note = [&](const std::string& id, int status, bool isKept, bool isUnsafe) {
    const std::lock_guard lock(mutex);
    const bool isLost = status == 0 && isKept && run.contains(id);
    if (status == 200) ++served;
    if (isLost) ++lost;
    if (isLost && isUnsafe) ++lostUnsafe;
    record.Line("client gets " + std::to_string(status) + " for " + id +
      (isLost ? "  <-- LOST: passed on to a sound instance, closed without an answer" : ""));
  };
  std::vector<std::thread> clients;
  const Machine on = fleet.At(0).On();
  for (int c = 0; c < 8; ++c)
    clients.emplace_back([&, c] {
      int fd = -1;
      std::string buffer;
      bool isKept = false;
      for (int n = 0; isSending; ++n, Sleep(0.1)) {
        if (fd < 0) { fd = ConnectTo(on.ip, on.Outbound()); buffer.clear(); isKept = false; }
        const std::string id = "u" + std::to_string(c) + "-" + std::to_string(n);
        Message message;
        const int status = Ask(fd, buffer, "POST", "mesh.example", "/reserve/set", id,
                               6000, "reservation " + id, message);
        note(id, status, isKept, true);
        isKept = true;
        if (status <= 0) { close(fd); fd = -1; Sleep(0.2); }
      }
      if (fd >= 0) close(fd);
    });
  Sleep(2);
  const double pace = HasTrouble() ? bytes / 4.0 : 0;
  record.Line(std::to_string(readers) + " clients fetch a guide of " +
              std::to_string(bytes) + " bytes; they read " +
              (pace > 0 ? std::to_string(static_cast<int>(pace)) + " bytes a second"
                        : "at once"));
  std::vector<std::thread> slow;
  for (int r = 0; r < readers; ++r) {
    Sleep(0.04);
    slow.emplace_back([&, r] {
      const int fd = ConnectTo(on.ip, on.Outbound(), 65536);
      std::string buffer;
      Message message;
      const std::string name = "d" + std::to_string(r);
      note(name + "-small", Ask(fd, buffer, "GET", "mesh.example", "/guide/small",
                                name + "-small", 6000, "", message), false, false);
      note(name, Ask(fd, buffer, "GET", "mesh.example", "/guide/large", name, 6000, "",
                     message, pace), true, false);
      close(fd);
    });
  }
  for (std::thread& thread : slow) thread.join();
  Sleep(1);
  isSending = false;
  platform.join();
  for (std::thread& client : clients) client.join();
  for (const auto& instance : instances) instance->Stop();
  record.Line(std::to_string(served) + " answers 200; peak of the node " +
    std::to_string(peak) + " MB of 260; ended for its memory " + std::to_string(kills) +
    " times; passed on from a kept connection and closed without an answer: " +
    std::to_string(lost) + ", " + std::to_string(lostUnsafe) + " of them reservations");
  if (served < 50) return 2;
  return lost > 3 ? 1 : 0;
}
