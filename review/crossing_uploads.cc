/* Users upload at once at two machines, within the limits and with a length,
   and the orders of each machine are for the instance of the other one. Do the
   nodes stay within the memory that the platform gives them? */
#include "stand_in_2.hh"

using namespace review;

namespace {

constexpr std::uint64_t kMemoryBytes = 260ULL * 1024 * 1024;
// The zone ch-mitte-a has 81 clients on five machines.
constexpr int kUploads = 5; // at each of the two machines
constexpr std::size_t kUploadBytes = 13 * 1024 * 1024;
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr int kReads = 16; // half of them at each machine

/* Sends one body; returns the status, 0 without an answer. */
int
Upload(const Address& aAddress,
       const std::string& aPath,
       const std::string& aId)
{
  const int fd = Connect(aAddress);
  if (fd < 0) {
    return 0;
  }
  const timeval limit{ 10, 0 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const std::string piece(kPieceBytes, 'x');
  bool isSent =
    WriteAll(fd,
             "POST " + aPath +
               " HTTP/1.1\r\nHost: sets.example\r\n"
               "X-Corianderrack-Request-Id: " +
               aId +
               "\r\nX-Corianderrack-Deadline-Ms: 5000\r\n"
               "Content-Length: " +
               std::to_string(kUploadBytes) + "\r\n\r\n");
  for (std::size_t sent = 0; isSent && sent < kUploadBytes;
       sent += kPieceBytes) {
    // A node may refuse before it has read the whole body.
    pollfd readable{ fd, POLLIN, 0 };
    if (poll(&readable, 1, 0) > 0) {
      break;
    }
    isSent = WriteAll(fd, piece);
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
  Deployment deployment({ "loans", "orders", "catalogue" });
  deployment.Configure(
    { R"(["r-loan","sets.example","/loan/","unsafe",5000,1500,0,"loans",2])",
      R"(["r-order","sets.example","/order/","unsafe",5000,1500,0,"orders",2])",
      R"(["r-browse","sets.example","/browse/","safe",5000,1200,2,)"
      R"("catalogue",2])" },
    { "loans", "orders", "catalogue" });
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
      const bool isUpload = !aRequest.m_body.empty();
      Sleep(isUpload                              ? 1.4
            : aRequest.Word(1) == "/browse/long" ? 3.0
                                                 : 0.05);
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

  // The platform kills a process that exceeds its memory, and starts it again.
  std::atomic<std::uint64_t> peak{ 0 };
  std::atomic<int> kills{ 0 };
  std::atomic<int> ends{ 0 };
  std::atomic<bool> isOver{ false };
  std::thread platform([&] {
    while (!isOver) {
      for (std::size_t index = 0; index < 2; ++index) {
        Node& node = deployment.At(index);
        const std::uint64_t used = node.Memory();
        peak = std::max<std::uint64_t>(peak, used);
        if (used > kMemoryBytes) {
          node.Kill();
          ++kills;
          Record::Line("the platform kills the node of " + node.At().m_name +
                       ", which holds " + std::to_string(used) + " bytes of " +
                       std::to_string(kMemoryBytes));
          Sleep(0.5);
          node.Start();
        } else if (!node.IsRunning()) {
          ++ends;
          Record::Line("the node of " + node.At().m_name +
                       " has ended by itself");
          Sleep(0.5);
          node.Start();
        }
      }
      Sleep(0.002);
    }
  });

  // Readers on kept connections, whose requests are at work.
  std::vector<int> connections;
  for (int number = 0; number < kReads; ++number) {
    const int fd = Connect(
      deployment.At(static_cast<std::size_t>(number % 2)).At().Outbound());
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
  const auto upload = [&](std::size_t aMachine, int aNumber) {
    const std::string id = "upload-" + std::to_string(aMachine + 1) + "-" +
                           std::to_string(aNumber);
    Record::Line("client sends " + id + ", " + std::to_string(kUploadBytes) +
                 " bytes");
    const int status = Upload(deployment.At(aMachine).At().Outbound(),
                              aMachine == 0 ? "/order/list" : "/loan/list",
                              id);
    ++(status == 200 ? statuses200 : status == 503 ? statuses503 : others);
    Record::Line(id + " gets " + std::to_string(status));
  };
  if (HasTrouble()) {
    std::vector<std::thread> uploads;
    for (int number = 0; number < kUploads; ++number) {
      uploads.emplace_back(upload, 0, number);
      uploads.emplace_back(upload, 1, number);
    }
    for (std::thread& thread : uploads) {
      thread.join();
    }
  } else {
    for (int number = 0; number < kUploads; ++number) {
      upload(0, number);
      upload(1, number);
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
