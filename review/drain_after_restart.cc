// DRAIN: the node beside a leaving instance restarts after it has acknowledged
// the departure, and a heartbeat that was sent before the departure arrives late.
#include "config.hh"
#include "stand_in.hh"

using namespace review;

int main(int, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(arguments[1]);
  Start();
  constexpr double drain = 2.0, window = 3.0; // drainMs, stableWindowMs
  // Machine 0: the leaving instance; 2: where the clients are.
  Fleet fleet({ "lanadeild", "lanadeild", "skra" },
    Config("[\"r1\",\"mesh.example\",\"/reserve/\",\"unsafe\",1500,2000,0,\"lanadeild\",2]",
           "[\"lanadeild\",\"/health\",472,\"h1\",false],"
           "[\"skra\",\"/health\",424,\"h1\",false]"));
  std::atomic<double> acknowledged{ 1e9 }, restarted{ -1e9 };
  std::atomic<int> runs{ 0 }, late{ 0 }, lateInTouch{ 0 }, served{ 0 }, lost{ 0 };
  std::mutex mutex;
  std::set<std::string> lateIds;
  const auto run = [&](Instance& self, const Message& m) {
    const double now = Seconds();
    const std::string id = m.Get("x-corianderrack-request-id");
    const bool isLate = self.Id() == "i-0" && now > acknowledged + drain + 0.01;
    const bool isInTouch = now > restarted + window + 0.1;
    ++runs;
    if (isLate) ++late;
    if (isLate && isInTouch) {
      ++lateInTouch;
      const std::lock_guard lock(mutex);
      lateIds.insert(id);
    }
    record.Line("instance " + self.Id() + " runs " + id +
                (isLate ? isInTouch ? "  <-- DRAIN" : "  (late, not in touch)" : ""));
    Sleep(0.29);
    return Response(200, self.Headers(m), "by " + self.Id());
  };
  std::vector<std::unique_ptr<Instance>> instances;
  for (std::size_t i = 0; i < 3; ++i) {
    instances.push_back(std::make_unique<Instance>(
      fleet.At(i).On(), "i-" + std::to_string(i), fleet.At(i).On().service, 62, run));
    instances.back()->StartBeats();
  }
  if (!fleet.WaitUntilReady(15)) { record.Line("not ready"); return 2; }
  Sleep(2);
  std::atomic<bool> isSending{ true };
  std::vector<std::thread> clients;
  for (int c = 0; c < 6; ++c)
    clients.emplace_back([&, c] {
      int fd = -1;
      std::string buffer;
      Sleep(0.05 * c);
      for (int n = 0; isSending; ++n, Sleep(0.05)) {
        if (fd < 0) {
          fd = ConnectTo(fleet.At(2).On().ip, fleet.At(2).On().Outbound());
          buffer.clear();
        }
        const std::string id = "c" + std::to_string(c) + "-" + std::to_string(n);
        Message answer;
        const int status = Ask(fd, buffer, "POST", "mesh.example", "/reserve/set", id,
                               6000, "reservation " + id, answer);
        if (status == 200) ++served;
        const std::lock_guard lock(mutex);
        const bool isLost = status != 200 && lateIds.contains(id);
        if (isLost) ++lost;
        record.Line("client gets " + std::to_string(status) + " for " + id +
                    (isLost ? "  (it ran at the leaving instance, which ended)" : ""));
        if (status <= 0) { close(fd); fd = -1; }
      }
      if (fd >= 0) close(fd);
    });
  Sleep(4);
  // A heartbeat that is under way while the instance leaves.
  const unsigned lateSequence = instances[0]->NextSequence();
  const Message left = instances[0]->Delete();
  if (left.status != 200) { record.Line("the departure got no answer"); return 2; }
  const double leftAt = Seconds();
  acknowledged = leftAt;
  if (HasTrouble()) fleet.At(0).Kill();
  record.Line("DELETE /instances/i-0 is acknowledged");
  if (HasTrouble()) {
    record.Line("the node beside i-0 is killed right after it");
    Sleep(leftAt + 1.0 - Seconds());
    fleet.At(0).Start();
    restarted = Seconds();
    record.Line("the node beside i-0 starts again");
  }
  Sleep(leftAt + 2.2 - Seconds());
  const Message beat = instances[0]->Beat(lateSequence, "ready");
  record.Line("the late heartbeat (ready, seq " + std::to_string(lateSequence) +
              ") arrives and gets " + std::to_string(beat.status));
  Sleep(leftAt + 8 - Seconds());
  record.Line("the instance i-0 ends");
  instances[0]->Stop();
  Sleep(1.5);
  isSending = false;
  for (std::thread& client : clients) client.join();
  for (const auto& instance : instances) instance->Stop();
  record.Line(std::to_string(runs) + " runs, " + std::to_string(served) +
    " answers 200; later than drainMs at the leaving instance: " + std::to_string(late) +
    ", of them with all machines in touch: " + std::to_string(lateInTouch) +
    "; of these cut off by its end: " + std::to_string(lost));
  if (served < 100) return 2;
  return lateInTouch > 0 ? 1 : 0;
}
