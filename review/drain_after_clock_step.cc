// DRAIN: an instance goes down and up by turns while its machine's time of day
// jumps back; later it announces that it leaves.
#include "config.hh"
#include "stand_in.hh"

using namespace review;

int main(int, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(arguments[1]);
  Start();
  constexpr double drain = 2.0;
  constexpr long long step = -2400; // ms; the largest of the site files
  Fleet fleet({ "lanadeild", "lanadeild", "skra" },
    Config("[\"r1\",\"mesh.example\",\"/reserve/\",\"unsafe\",1500,2000,0,\"lanadeild\",2]",
           "[\"lanadeild\",\"/health\",472,\"h1\",false],"
           "[\"skra\",\"/health\",424,\"h1\",false]"));
  std::atomic<double> acknowledged{ 1e9 };
  std::atomic<int> runs{ 0 }, late{ 0 }, served{ 0 }, lost{ 0 };
  std::mutex mutex;
  std::set<std::string> lateIds;
  const auto run = [&](Instance& self, const Message& m) {
    const std::string id = m.Get("x-corianderrack-request-id");
    const bool isLate = self.Id() == "i-0" && Seconds() > acknowledged + drain + 0.01;
    ++runs;
    if (isLate) {
      ++late;
      const std::lock_guard lock(mutex);
      lateIds.insert(id);
    }
    record.Line("instance " + self.Id() + " runs " + id + (isLate ? "  <-- DRAIN" : ""));
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
  Sleep(3);
  // srv_flap: down and up by turns with a period of 0.9 s. The machine's time of
  // day jumps back before the last start.
  constexpr int turns = 3;
  for (int turn = 1; turn <= turns; ++turn) {
    record.Line("the instance i-0 goes down");
    instances[0]->Stop();
    instances[0].reset();
    Sleep(0.45);
    const bool isStepped = HasTrouble() && turn == turns;
    if (isStepped) record.Line("the time of day of machine 0 is 2.4 s back from here on");
    instances[0] = std::make_unique<Instance>(fleet.At(0).On(), "i-0", "lanadeild", 62,
                                              run, isStepped ? step : 0);
    instances[0]->StartBeats();
    record.Line("the instance i-0 is up, born " + std::to_string(instances[0]->Born()));
    if (turn < turns) Sleep(0.45);
  }
  Sleep(6); // all machines are in touch again after 3 s
  const Message answer = instances[0]->Leave();
  if (answer.status != 200) { record.Line("draining got no answer"); return 2; }
  const double leftAt = Seconds();
  acknowledged = leftAt;
  record.Line("the heartbeat (draining) of i-0 is acknowledged with 200");
  Sleep(4.5); // drainMs and a little longer
  record.Line("the instance i-0 ends: DELETE, then its sockets close");
  instances[0]->Delete();
  instances[0]->Stop();
  Sleep(2);
  isSending = false;
  for (std::thread& client : clients) client.join();
  for (const auto& instance : instances) instance->Stop();
  record.Line(std::to_string(runs) + " runs, " + std::to_string(served) +
    " answers 200; later than drainMs at the leaving instance: " + std::to_string(late) +
    "; of these cut off by its end: " + std::to_string(lost));
  if (served < 100) return 2;
  return late > 0 ? 1 : 0;
}
