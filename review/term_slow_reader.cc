// LOST: a node gets SIGTERM while clients still read the answers to their
// downloads.
#include "config.hh"
#include "stand_in.hh"

using namespace review;

int main(int, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(arguments[1]);
  Start();
  constexpr int readers = 4;
  constexpr std::size_t bytes = 8 * 1024 * 1024;
  constexpr double grace = 6.0;
  Fleet fleet({ "skra", "handbok" },
    Config("[\"r1\",\"mesh.example\",\"/guide/\",\"download\",6000,600,2,\"handbok\",2]",
           "[\"handbok\",\"/health\",472,\"h1\",false],[\"skra\",\"/health\",424,\"h1\",false]"));
  const std::string large(bytes, 'g');
  std::mutex mutex;
  std::map<std::string, double> ended; // the instance's work
  const auto answer = [&](Instance& self, const Message& m) {
    const std::string id = m.Get("x-corianderrack-request-id");
    Sleep(0.05);
    record.Line("instance " + self.Id() + " has run " + id);
    { const std::lock_guard lock(mutex); ended[id] = Seconds(); }
    return Response(200, self.Headers(m), large);
  };
  std::vector<std::unique_ptr<Instance>> instances;
  for (std::size_t i = 0; i < 2; ++i) {
    instances.push_back(std::make_unique<Instance>(
      fleet.At(i).On(), "i-" + std::to_string(i), fleet.At(i).On().service, 62, answer));
    instances.back()->StartBeats();
  }
  if (!fleet.WaitUntilReady(15)) { record.Line("not ready"); return 2; }
  Sleep(4);
  std::atomic<int> whole{ 0 }, cut{ 0 };
  const double begun = Seconds();
  std::vector<std::thread> clients;
  for (int r = 0; r < readers; ++r) {
    Sleep(0.05);
    clients.emplace_back([&, r] {
      const Machine on = fleet.At(0).On();
      const int fd = ConnectTo(on.ip, on.Outbound(), 65536);
      std::string buffer;
      Message message;
      const std::string id = "d" + std::to_string(r);
      const int status = Ask(fd, buffer, "GET", "mesh.example", "/guide/large", id, 6000,
                             "", message, bytes / 4.5);
      close(fd);
      const std::lock_guard lock(mutex);
      const bool isCut = status == 0 && ended.contains(id);
      ++(status == 200 ? whole : cut);
      record.Line("client " + id + (status == 200 ? " has the whole answer" :
        isCut ? " gets an answer that ends early, after " + std::to_string(buffer.size()) +
                " bytes  <-- LOST" : " gets no answer"));
    });
  }
  Sleep(begun + 0.5 - Seconds());
  if (HasTrouble()) {
    record.Line("SIGTERM to the node on machine 0");
    const double ordered = Seconds();
    fleet.At(0).Signal(SIGTERM);
    while (fleet.At(0).IsRunning() && Seconds() < ordered + grace) Sleep(0.01);
    record.Line("the node has ended " + std::to_string(Seconds() - ordered) +
                " s after SIGTERM; graceS is 6");
    fleet.At(0).Kill();
    fleet.At(0).Start();
  }
  for (std::thread& client : clients) client.join();
  for (const auto& instance : instances) instance->Stop();
  record.Line(std::to_string(whole) + " whole answers, " + std::to_string(cut) +
              " cut off");
  if (whole + cut != readers) return 2;
  return cut > 0 ? 1 : 0;
}
