// ROUTE: the address of an instance that crashed goes to an instance of another
// service.
#include "config.hh"
#include "stand_in.hh"

using namespace review;

int main(int, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(arguments[1]);
  Start();
  // Machine 0: the address that is used again; 3: where the clients are.
  Fleet fleet({ "lanadeild", "lanadeild", "lager", "skra" },
    Config("[\"r1\",\"mesh.example\",\"/reserve/\",\"unsafe\",1500,2000,0,\"lanadeild\",2],"
           "[\"r2\",\"mesh.example\",\"/copies/\",\"safe\",1200,300,1,\"lager\",2]",
           "[\"lanadeild\",\"/health\",472,\"h1\",false],[\"lager\",\"/health\",256,"
           "\"h1\",false],[\"skra\",\"/health\",424,\"h1\",false]"));
  std::atomic<int> runs{ 0 }, foreign{ 0 }, served{ 0 }, foreignAnswers{ 0 };
  const auto run = [&](Instance& self, const Message& m) {
    const bool isForeign = m.target.rfind("/reserve/", 0) == 0
                             ? self.Service() != "lanadeild"
                             : self.Service() != "lager";
    ++runs;
    if (isForeign) ++foreign;
    record.Line("instance " + self.Id() + " of service " + self.Service() +
                " runs " + m.Get("x-corianderrack-request-id") + " " + m.method +
                " " + m.target + (isForeign ? "  <-- ROUTE" : ""));
    Sleep(0.05);
    return Response(200, self.Headers(m), "by " + self.Id());
  };
  std::vector<std::unique_ptr<Instance>> instances;
  for (std::size_t i = 0; i < 4; ++i) {
    instances.push_back(std::make_unique<Instance>(
      fleet.At(i).On(), "i-" + std::to_string(i) + "-first",
      fleet.At(i).On().service, 62, run));
    instances.back()->StartBeats();
  }
  if (!fleet.WaitUntilReady(15)) { record.Line("not ready"); return 2; }
  Sleep(2);
  std::atomic<bool> isSending{ true };
  std::vector<std::thread> clients;
  for (int c = 0; c < 4; ++c)
    clients.emplace_back([&, c] {
      int fd = -1;
      std::string buffer;
      for (int n = 0; isSending; ++n, Sleep(0.1)) {
        if (fd < 0) {
          fd = ConnectTo(fleet.At(3).On().ip, fleet.At(3).On().Outbound());
          buffer.clear();
        }
        const std::string id = "c" + std::to_string(c) + "-" + std::to_string(n);
        const bool isReserve = c < 3;
        Message answer;
        const int status = Ask(fd, buffer, isReserve ? "POST" : "GET", "mesh.example",
          isReserve ? "/reserve/set" : "/copies/set", id, 6000,
          isReserve ? "reservation " + id : "", answer);
        const std::string stamp = answer.Get("x-corianderrack-server-stamp");
        if (status == 200) ++served;
        if (status == 200 && isReserve && stamp == "i-0-second") ++foreignAnswers;
        record.Line("client gets " + std::to_string(status) + " for " + id +
                    (stamp.empty() ? "" : ", stamp " + stamp));
        if (status <= 0) { close(fd); fd = -1; }
      }
      if (fd >= 0) close(fd);
    });
  Sleep(3);
  if (HasTrouble()) {
    record.Line("the instance on machine 0 crashes for good");
    instances[0]->Stop();
    instances[0].reset();
    Sleep(2.5); // reuseAfterS is 2
    record.Line("its address goes to an instance of service lager; the settings "
                "file changes, and SIGHUP says so");
    fleet.At(0).WriteSettings("lager");
    fleet.At(0).Signal(SIGHUP);
    instances[0] = std::make_unique<Instance>(
      fleet.At(0).On(), "i-0-second", "lager", 26, run);
    instances[0]->StartBeats();
  }
  Sleep(15); // requests return to the machine by and by
  isSending = false;
  for (std::thread& client : clients) client.join();
  record.Line("the new instance's last heartbeat got status " +
              std::to_string(instances[0]->LastBeat()));
  for (const auto& instance : instances) instance->Stop();
  record.Line(std::to_string(runs) + " runs, " + std::to_string(served) +
              " answers 200; runs at a service that no configuration allows: " +
              std::to_string(foreign) + "; reservations that the client believes made: " +
              std::to_string(foreignAnswers));
  if (served < 100) return 2;
  return foreign > 0 ? 1 : 0;
}
