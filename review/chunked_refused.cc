/* While the node holds large uploads, clients send proper orders in chunks.
   Does it turn them away for a while (503), or for good (413)? */
#include "stand_in_2.hh"

using namespace review;

namespace {

constexpr int kLarge = 8;
constexpr std::size_t kLargeBytes = 7 * 1024 * 1024;
constexpr int kOrders = 12;
constexpr std::size_t kOrderBytes = 10 * 1024 * 1024;
constexpr std::size_t kChunkBytes = 64 * 1024;

/* Sends an order; returns the status, 0 without an answer. */
int
Send(const Address& aAddress,
     const std::string& aPath,
     const std::string& aId,
     std::size_t aBytes,
     bool aInChunks)
{
  const int fd = Connect(aAddress);
  if (fd < 0) {
    return 0;
  }
  const timeval limit{ 10, 0 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  bool isSent =
    WriteAll(fd,
             "POST " + aPath +
               " HTTP/1.1\r\nHost: sets.example\r\n"
               "X-Corianderrack-Request-Id: " +
               aId + "\r\nX-Corianderrack-Deadline-Ms: 5000\r\n" +
               (aInChunks
                  ? "Transfer-Encoding: chunked\r\n\r\n"
                  : "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n"));
  const std::string bytes(kChunkBytes, 'x');
  for (std::size_t sent = 0; isSent && sent < aBytes; sent += kChunkBytes) {
    // A node may refuse before it has read the whole body.
    pollfd readable{ fd, POLLIN, 0 };
    if (poll(&readable, 1, 0) > 0) {
      break;
    }
    isSent = WriteAll(fd, aInChunks ? "10000\r\n" + bytes + "\r\n" : bytes);
  }
  if (isSent && aInChunks) {
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
  Deployment deployment({ "loans", "loans" });
  deployment.Configure(
    { R"(["r-order","sets.example","/order/","unsafe",5000,1500,0,"loans",2])" },
    { "loans" });
  deployment.StartNodes();
  std::vector<std::unique_ptr<Instance>> instances(2);
  for (std::size_t index = 0; index < instances.size(); ++index) {
    instances[index] = std::make_unique<Instance>(
      deployment.At(index).At(),
      "i-" + std::to_string(index + 1),
      147,
      [&, index](const Message& aRequest) {
        Sleep(aRequest.Word(1) == "/order/long" ? 2.0 : 0.05);
        return std::optional(instances[index]->Success(aRequest, "done\n"));
      });
  }
  Sleep(2.0);

  const Address outbound = deployment.At(0).At().Outbound();
  std::mutex mutex;
  std::map<int, int> statuses;
  const auto send = [&](const std::string& aPath,
                        const std::string& aId,
                        std::size_t aBytes,
                        bool aInChunks) {
    Record::Line("client sends " + aId + ", " + std::to_string(aBytes) +
                 " bytes" + (aInChunks ? " in chunks" : ""));
    const int status = Send(outbound, aPath, aId, aBytes, aInChunks);
    Record::Line(aId + " gets " + std::to_string(status));
    const std::lock_guard lock(mutex);
    ++statuses[status];
  };
  std::vector<std::thread> clients;
  if (HasTrouble()) {
    for (int number = 0; number < kLarge; ++number) {
      clients.emplace_back(send,
                           "/order/long",
                           "large-" + std::to_string(number),
                           kLargeBytes,
                           false);
    }
    Sleep(0.7);
  }
  for (int number = 0; number < kOrders; ++number) {
    send("/order/short", "order-" + std::to_string(number), kOrderBytes, true);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int all = 0;
  std::string text;
  for (const auto& [status, count] : statuses) {
    all += count;
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " x " +
            std::to_string(status);
  }
  Finish(deployment,
         statuses[413] > 5 + all / 500,
         "DENIED: " + std::to_string(statuses[413]) +
           " proper requests were ended with 413; all answers: " + text);
}
