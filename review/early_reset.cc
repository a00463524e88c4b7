// MIXED: an instance answers before it has read a long body, without a length, and
// the connection is reset on the way.
#include "config.hh"
#include "stand_in.hh"

using namespace review;

// An instance that reads and writes by hand.
class RawInstance {
public:
  RawInstance(const Machine& on, Record& record) : m_on(on), m_record(record) {
    m_listen = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(m_listen, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(on.App()));
    inet_pton(AF_INET, on.ip.c_str(), &address.sin_addr);
    if (bind(m_listen, reinterpret_cast<sockaddr*>(&address), sizeof address) ||
        listen(m_listen, 64))
      std::exit(2);
    m_thread = std::thread([this] {
      for (int fd; (fd = accept4(m_listen, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
        std::thread([this, fd] { Serve(fd); }).detach();
    });
  }
  ~RawInstance() {
    shutdown(m_listen, SHUT_RDWR);
    m_thread.join();
    close(m_listen);
  }
  static std::string Whole(const std::string& id) {
    std::string body = "confirmation of " + id + "\n";
    while (body.size() < 20000) body += "line " + std::to_string(body.size()) + " of " + id + "\n";
    return body + "end\n";
  }

private:
  void Serve(int fd) {
    std::string head;
    char byte;
    while (head.find("\r\n\r\n") == std::string::npos && recv(fd, &byte, 1, 0) == 1)
      head += byte;
    const auto value = [&](const std::string& name) {
      const std::size_t at = Lower(head).find("\n" + name + ": ");
      if (at == std::string::npos) return std::string();
      const std::size_t from = at + name.size() + 3;
      return head.substr(from, head.find('\r', from) - from);
    };
    const std::string id = value("x-corianderrack-request-id");
    const std::string headers = "X-Corianderrack-Request-Id: " + id +
      "\r\nX-Corianderrack-Server-Stamp: i-1\r\nX-Corianderrack-Instance-Id: i-1\r\n"
      "X-Corianderrack-Instance-Load: 1,0,62\r\nConnection: close\r\n\r\n";
    if (head.find(" /health ") != std::string::npos) {
      WriteAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + headers);
      close(fd);
      return;
    }
    const std::string whole = Whole(id);
    std::size_t left = std::stoull("0" + value("content-length"));
    const bool breaksOff = HasTrouble() && m_count++ % 20 == 0; // x = 0.05
    std::string chunk(65536, '\0');
    const std::size_t keep = breaksOff && left > chunk.size() ? left - chunk.size() : 0;
    while (left > keep) {
      const ssize_t got = recv(fd, chunk.data(), std::min(chunk.size(), left - keep), 0);
      if (got <= 0) break;
      left -= static_cast<std::size_t>(got);
    }
    Sleep(0.05);
    WriteAll(fd, "HTTP/1.1 200 OK\r\n" + headers +
                   (breaksOff ? whole.substr(0, whole.size() / 2) : whole));
    m_record.Line("instance i-1 runs " + id + (breaksOff
      ? ": answers early without a length, and its connection is reset after half of the body"
      : ": answers without a length and closes its connection"));
    if (breaksOff) {
      Sleep(0.1);
      const linger reset{ 1, 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    close(fd);
  }
  Machine m_on;
  Record& m_record;
  int m_listen;
  std::atomic<int> m_count{ 0 };
  std::thread m_thread;
};

int main(int, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(arguments[1]);
  Start();
  constexpr std::size_t bytes = 16 * 1024 * 1024; // maxBodyBytes is 64 MiB
  constexpr int requests = 60;
  Fleet fleet({ "skra", "lanadeild" },
    Config("[\"r1\",\"mesh.example\",\"/reserve/\",\"unsafe\",5000,2000,0,\"lanadeild\",2]",
           "[\"lanadeild\",\"/health\",472,\"h1\",false],"
           "[\"skra\",\"/health\",424,\"h1\",false]"));
  RawInstance instance(fleet.At(1).On(), record);
  if (!fleet.WaitUntilReady(15)) { record.Line("not ready"); return 2; }
  // The node finds the instance by its health check.
  Sleep(4);
  int whole = 0, wrong = 0, other = 0;
  int fd = -1;
  std::string buffer;
  const std::string body(bytes, 'r');
  for (int n = 0; n < requests; ++n) {
    if (fd < 0) { fd = ConnectTo(fleet.At(0).On().ip, fleet.At(0).On().Outbound()); buffer.clear(); }
    const std::string id = "c" + std::to_string(n);
    Message answer;
    const int status = Ask(fd, buffer, "POST", "mesh.example", "/reserve/set", id, 6000,
                           body, answer);
    const bool isWhole = answer.body == RawInstance::Whole(id);
    const bool isWrong = status == 200 && !isWhole;
    ++(isWrong ? wrong : status == 200 ? whole : other);
    record.Line("client gets " + std::to_string(status) + " for " + id + ", " +
      std::to_string(answer.body.size()) + " bytes, Content-Length " +
      answer.Get("content-length") + ", stamp " + answer.Get("x-corianderrack-server-stamp") +
      (isWrong ? "  <-- MIXED: not the whole body" : ""));
    if (status <= 0) { close(fd); fd = -1; }
  }
  close(fd);
  record.Line(std::to_string(whole) + " whole answers, " + std::to_string(other) +
              " others; successes with a part of the body: " + std::to_string(wrong));
  if (whole < 20) return 2;
  return wrong > 0 ? 1 : 0;
}
