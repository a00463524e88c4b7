/* Many users upload at once, in chunks and within the limits, at one machine.
   Does its node stay within the memory that the platform gives it? */
#include "stand_in_2.hh"

using namespace review;

namespace {

constexpr std::uint64_t kMemoryBytes = 260ULL * 1024 * 1024;
// The zone ch-mitte-a has 81 clients on five machines.
constexpr int kUploads = 7;
constexpr std::size_t kUploadBytes = 45 * 1024 * 1024;
constexpr std::size_t kChunkBytes = 64 * 1024;
constexpr int kReads = 8;

std::string
MakeChunk()
{
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", kChunkBytes);
  return size + std::string(kChunkBytes, 'x') + "\r\n";
}

/* Sends one body in chunks; returns the status, 0 without an answer. */
int
Upload(const Address& aAddress, const std::string& aId)
{
  const int fd = Connect(aAddress);
  if (fd < 0) {
    return 0;
  }
  const timeval limit{ 10, 0 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  static const std::string kChunk = MakeChunk();
  bool isSent = WriteAll(fd,
                         "POST /reserve/list HTTP/1.1\r\nHost: sets.example\r\n"
                         "X-Corianderrack-Request-Id: " +
                           aId +
                           "\r\nX-Corianderrack-Deadline-Ms: 5000\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n");
  for (std::size_t sent = 0; isSent && sent < kUploadBytes;
       sent += kChunkBytes) {
    // A node may refuse before it has read the whole body.
    pollfd readable{ fd, POLLIN, 0 };
    if (poll(&readable, 1, 0) > 0) {
      break;
    }
    isSent = WriteAll(fd, kChunk);
  }
  if (isSent) {
    WriteAll(fd, "0\r\n\r\n");
  }
  const auto answer = Reader(fd).Read();
  close(fd);
  return answer ? answer->Status() : 0;
}

}

int
main(int, char** aArguments)
{
  Record::Open(aArguments[1]);
  Deployment deployment({ "loans", "loans", "catalogue" });
  deployment.Configure(
    { R"(["r-reserve","sets.example","/reserve/","unsafe",5000,1500,0,"loans",2])",
      R"(["r-browse","sets.example","/browse/","safe",5000,1200,2,)"
      R"("catalogue",2])" },
    { "loans", "catalogue" });
  deployment.StartNodes();

  std::atomic<int> reading{ 0 };
  std::set<std::string> begun;
  std::mutex mutex;
  std::vector<std::unique_ptr<Instance>> instances(3);
  const auto work = [&](std::size_t aIndex) {
    return [&, aIndex](const Message& aRequest) {
      {
        const std::lock_guard lock(mutex);
        begun.insert(aRequest.Header("x-corianderrack-request-id"));
      }
      Sleep(aRequest.Word(1) == "/browse/long" ? 2.0 : 0.05);
      return std::optional(instances[aIndex]->Success(aRequest, "done\n"));
    };
  };
  for (std::size_t index = 0; index < instances.size(); ++index) {
    instances[index] =
      std::make_unique<Instance>(deployment.At(index).At(),
                                 "i-" + std::to_string(index + 1),
                                 54,
                                 work(index));
  }
  Sleep(2.0);

  Node& node = deployment.At(0);
  const Address outbound = node.At().Outbound();
  // The platform kills a process that exceeds its memory, and starts it again.
  std::atomic<std::uint64_t> peak{ 0 };
  std::atomic<int> kills{ 0 };
  std::atomic<int> ends{ 0 };
  std::atomic<bool> isOver{ false };
  std::thread platform([&] {
    while (!isOver) {
      if (!node.IsRunning()) {
        ++ends;
        Record::Line("the node of machine-1 has ended by itself");
        Sleep(0.5);
        node.Start();
      }
      const std::uint64_t used = node.Memory();
      peak = std::max<std::uint64_t>(peak, used);
      if (used > kMemoryBytes) {
        node.Kill();
        ++kills;
        Record::Line("the platform kills the node of machine-1, which holds " +
                     std::to_string(used) + " bytes of " +
                     std::to_string(kMemoryBytes));
        Sleep(0.5);
        node.Start();
      }
      Sleep(0.002);
    }
  });

  // Readers on kept connections, whose requests are at work.
  std::vector<int> connections;
  for (int number = 0; number < kReads; ++number) {
    const int fd = Connect(outbound);
    const timeval limit{ 10, 0 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    WriteAll(fd,
             MakeGet("sets.example",
                     "/browse/short",
                     "first-" + std::to_string(number),
                     5000));
    const auto answer = Reader(fd).Read();
    if (!answer || answer->Status() != 200) {
      CannotRun("the usual traffic isn't served");
    }
    connections.push_back(fd);
  }
  std::atomic<int> unanswered{ 0 };
  std::vector<std::thread> clients;
  for (int number = 0; number < kReads; ++number) {
    clients.emplace_back([&, number] {
      const std::string id = "long-" + std::to_string(number);
      const int fd = connections.at(static_cast<std::size_t>(number));
      Record::Line("client sends " + id + " on a kept connection");
      WriteAll(fd, MakeGet("sets.example", "/browse/long", id, 5000));
      const auto answer = Reader(fd).Read();
      close(fd);
      bool hasBegun = false;
      {
        const std::lock_guard lock(mutex);
        hasBegun = begun.contains(id);
      }
      unanswered += !answer && hasBegun ? 1 : 0;
      Record::Line(id + (answer ? " is answered " +
                                    std::to_string(answer->Status())
                                : std::string(" loses its connection without "
                                              "an answer")) +
                   (hasBegun ? "; an instance had begun it" : ""));
    });
  }
  Sleep(0.3);
  std::atomic<int> statuses200{ 0 };
  std::atomic<int> statuses503{ 0 };
  std::atomic<int> others{ 0 };
  const auto upload = [&](int aNumber) {
    const std::string id = "upload-" + std::to_string(aNumber);
    Record::Line("client sends " + id + ", " + std::to_string(kUploadBytes) +
                 " bytes in chunks");
    const int status = Upload(outbound, id);
    ++(status == 200 ? statuses200 : status == 503 ? statuses503 : others);
    Record::Line(id + " gets " + std::to_string(status));
  };
  if (HasTrouble()) {
    std::vector<std::thread> uploads;
    for (int number = 0; number < kUploads; ++number) {
      uploads.emplace_back(upload, number);
    }
    for (std::thread& thread : uploads) {
      thread.join();
    }
  } else {
    for (int number = 0; number < kUploads; ++number) {
      upload(number);
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  Sleep(0.5);
  isOver = true;
  platform.join();
  Record::Line("uploads: " + std::to_string(statuses200) + " got 200, " +
               std::to_string(statuses503) + " got 503, " +
               std::to_string(others) + " others");
  char text[240];
  std::snprintf(text,
                sizeof text,
                "LOST: %d requests that an instance had begun lost their kept "
                "connection without an answer; peak %.0f MiB of 260, killed "
                "%d times, ended by itself %d times",
                unanswered.load(),
                static_cast<double>(peak) / (1024 * 1024),
                kills.load(),
                ends.load());
  Finish(deployment, unanswered > 3, text);
}
