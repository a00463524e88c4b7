// Stand-ins for the scripts of the second review: a store, instances, clients
// and the platform that starts nodes. Plain sockets and one thread for each
// connection; they follow the users' pages and nothing else.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <json/json.h>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline double
Seconds()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void
Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/* A case that can't run. */
[[noreturn]] inline void
CannotRun(const std::string& aWhy)
{
  std::fprintf(stderr, "cannot run: %s\n", aWhy.c_str());
  std::fflush(nullptr);
  _exit(2);
}

/* record.txt: what was sent, answered and run. */
class Record
{
public:
  static void Open(const std::string& aFile) { File().open(aFile); }
  static void Line(const std::string& aText)
  {
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f s  ", Seconds());
    File() << time << aText << std::endl;
  }

private:
  static std::ofstream& File()
  {
    static std::ofstream file;
    return file;
  }
};

//==============================================================================
struct Address
{
  std::string m_ip;
  int m_port = 0;
  std::string Text() const { return m_ip + ":" + std::to_string(m_port); }
};

inline sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.m_port));
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &address.sin_addr);
  return address;
}

inline int
Listen(const Address& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = ToSocketAddress(aAddress);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0 ||
      listen(fd, 512) != 0) {
    CannotRun("no address " + aAddress.Text());
  }
  return fd;
}

/* Returns the first of aCount ports that are free on all of the addresses. */
inline int
FindPorts(const std::vector<std::string>& aIps, int aCount)
{
  for (int base = 21000 + getpid() % 7000; base < 32000; base += aCount) {
    bool isFree = true;
    for (const std::string& ip : aIps) {
      for (int port = base; port < base + aCount && isFree; ++port) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = ToSocketAddress({ ip, port });
        isFree = bind(fd,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof address) == 0;
        close(fd);
      }
    }
    if (isFree) {
      return base;
    }
  }
  CannotRun("no free ports");
}

inline int
Connect(const Address& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSocketAddress(aAddress);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
      0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool
WriteAll(int aFd, const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t count =
      send(aFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(count);
  }
  return true;
}

/* The connection ends with a reset. */
inline void
Reset(int aFd)
{
  const linger now{ 1, 0 };
  setsockopt(aFd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(aFd);
}

//==============================================================================
/* A request or an answer. */
struct Message
{
  std::string m_first;
  std::map<std::string, std::string> m_headers; // names in lower case
  std::string m_body;

  std::string Header(const std::string& aName) const
  {
    const auto found = m_headers.find(aName);
    return found != m_headers.end() ? found->second : "";
  }
  std::string Word(int aIndex) const
  {
    std::istringstream words(m_first);
    std::string word;
    for (int index = 0; index <= aIndex; ++index) {
      word.clear();
      words >> word;
    }
    return word;
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

/* Reads messages from a connection, which stays with the caller. */
class Reader
{
public:
  explicit Reader(int aFd)
    : m_fd(aFd)
  {
  }

  /* Nothing if the connection ends before the message does. */
  std::optional<Message> Read()
  {
    std::size_t end = 0;
    while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
      if (!More()) {
        return std::nullopt;
      }
    }
    Message message;
    std::istringstream lines(m_bytes.substr(0, end));
    m_bytes.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    message.m_first = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
      const std::size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      for (char& letter : name) {
        letter = static_cast<char>(std::tolower(letter));
      }
      std::string value = line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ') {
        value.erase(0, 1);
      }
      while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
        value.pop_back();
      }
      message.m_headers[name] = value;
    }
    const std::size_t length =
      std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
    while (m_bytes.size() < length) {
      if (!More()) {
        return std::nullopt;
      }
    }
    message.m_body = m_bytes.substr(0, length);
    m_bytes.erase(0, length);
    return message;
  }

private:
  bool More()
  {
    char bytes[65536];
    const ssize_t count = recv(m_fd, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    m_bytes.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  const int m_fd;
  std::string m_bytes;
};

inline std::string
MakeAnswer(int aStatus,
           const std::string& aHeaders,
           const std::string& aBody,
           const std::string& aReason = "Answer")
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " " + aReason + "\r\n" +
         aHeaders + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/* Calls the handler for each request of each connection, in a thread for each
   connection. The handler returns the answer's bytes; nothing to end the
   connection with a reset. */
class Server
{
public:
  using Handler =
    std::function<std::optional<std::string>(const Message&, int aConnection)>;

  Server(const Address& aAddress, Handler aHandler)
    : m_fd(Listen(aAddress))
    , m_handler(std::move(aHandler))
  {
    std::thread([this] { Accept(); }).detach();
  }

private:
  void Accept()
  {
    while (true) {
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        Sleep(0.01);
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd, number = ++m_connections] {
        Reader reader(fd);
        while (const auto request = reader.Read()) {
          const auto answer = m_handler(*request, number);
          if (!answer) {
            Reset(fd);
            return;
          }
          if (!WriteAll(fd, *answer)) {
            break;
          }
        }
        close(fd);
      }).detach();
    }
  }

  const int m_fd;
  const Handler m_handler;
  std::atomic<int> m_connections{ 0 };
};

//==============================================================================
inline std::string
Base64(const std::string& aBytes)
{
  static const char* const kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < aBytes.size(); index += 3) {
    std::uint32_t group = 0;
    for (std::size_t part = 0; part < 3; ++part) {
      group = group << 8 | (index + part < aBytes.size()
                              ? static_cast<unsigned char>(aBytes[index + part])
                              : 0U);
    }
    for (std::size_t part = 0; part < 4; ++part) {
      text += index + part <= aBytes.size()
                ? kLetters[group >> (18 - 6 * part) & 63U]
                : '=';
    }
  }
  return text;
}

inline std::string
ToText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

/* The platform's store. Its answers are linearizable and it loses nothing. */
class Store
{
public:
  explicit Store(const Address& aAddress)
    : m_server(aAddress,
               [this](const Message& aRequest, int) { return Handle(aRequest); })
  {
  }

  /* The operator writes. */
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue)
  {
    const std::lock_guard lock(m_mutex);
    Change({ aTable, aKey }, Base64(aValue));
  }

  std::size_t Rows(const std::string& aTable)
  {
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& [key, row] : m_rows) {
      count += key.first == aTable && row.m_value ? 1 : 0;
    }
    return count;
  }

private:
  using Key = std::pair<std::string, std::string>;
  struct Row
  {
    std::optional<std::string> m_value;
    std::uint64_t m_version = 0;
  };

  void Change(const Key& aKey, std::optional<std::string> aValue)
  {
    m_rows[aKey] = { std::move(aValue), ++m_version };
    m_changed.notify_all();
  }

  static std::string Parameter(const std::string& aTarget,
                               const std::string& aName)
  {
    std::size_t begin = aTarget.find(aName + "=");
    if (begin == std::string::npos) {
      return "";
    }
    begin += aName.size() + 1;
    return aTarget.substr(begin, aTarget.find('&', begin) - begin);
  }

  static Json::Value ToJson(const Key& aKey, const Row& aRow)
  {
    Json::Value row(Json::objectValue);
    row["table"] = aKey.first;
    row["part"] = "";
    row["key"] = aKey.second;
    row["ver"] = Json::UInt64(aRow.m_version);
    if (aRow.m_value) {
      row["value"] = *aRow.m_value;
    } else {
      row["deleted"] = true;
    }
    return row;
  }

  std::string Answer(int aStatus, Json::Value aBody) const
  {
    aBody["ver"] = Json::UInt64(m_version);
    aBody["nowMs"] = Json::UInt64(Seconds() * 1000);
    return MakeAnswer(
      aStatus, "Content-Type: application/json\r\n", ToText(aBody));
  }

  std::optional<std::string> Handle(const Message& aRequest)
  {
    const std::string target = aRequest.Word(1);
    std::unique_lock lock(m_mutex);
    if (target == "/rows-tx") {
      return Transact(aRequest.m_body);
    }
    const std::string table = Parameter(target, "table");
    Json::Value body(Json::objectValue);
    body["rows"] = Json::Value(Json::arrayValue);
    if (target.starts_with("/rows-get?")) {
      const std::string from = Parameter(target, "from");
      const std::string to = Parameter(target, "to");
      const std::string limitText = Parameter(target, "limit");
      const std::size_t limit =
        limitText.empty() ? 500 : std::stoul(limitText);
      body["hasMore"] = false;
      for (const auto& [key, row] : m_rows) {
        if (key.first != table || !row.m_value || key.second < from ||
            (!to.empty() && key.second >= to)) {
          continue;
        }
        if (body["rows"].size() >= limit) {
          body["hasMore"] = true;
          break;
        }
        body["rows"].append(ToJson(key, row));
      }
      return Answer(200, body);
    }
    if (target.starts_with("/rows-feed?")) {
      const std::uint64_t after = std::stoull(Parameter(target, "after"));
      const auto until =
        Clock::now() +
        std::chrono::milliseconds(std::stoll(Parameter(target, "waitMs")));
      while (true) {
        std::map<std::uint64_t, Json::Value> changed;
        for (const auto& [key, row] : m_rows) {
          if (key.first == table && row.m_version > after) {
            changed.emplace(row.m_version, ToJson(key, row));
          }
        }
        if (!changed.empty() || Clock::now() >= until) {
          for (auto& [version, row] : changed) {
            body["rows"].append(row);
          }
          return Answer(200, body);
        }
        m_changed.wait_until(lock, until);
      }
    }
    return MakeAnswer(404, "", "");
  }

  std::string Transact(const std::string& aBody)
  {
    Json::Value request;
    std::istringstream(aBody) >> request;
    Json::Value body(Json::objectValue);
    body["rows"] = Json::Value(Json::arrayValue);
    bool holds = true;
    for (const Json::Value& row : request["expect"]) {
      const Key key{ row["table"].asString(), row["key"].asString() };
      const auto found = m_rows.find(key);
      const bool exists = found != m_rows.end() && found->second.m_value;
      holds &= row["ver"].asUInt64() == (exists ? found->second.m_version : 0);
      if (exists) {
        body["rows"].append(ToJson(key, found->second));
      }
    }
    if (!holds) {
      return Answer(412, body);
    }
    for (const Json::Value& row : request["puts"]) {
      Change({ row["table"].asString(), row["key"].asString() },
             row["value"].asString());
    }
    for (const Json::Value& row : request["remove"]) {
      Change({ row["table"].asString(), row["key"].asString() }, std::nullopt);
    }
    return Answer(200, Json::objectValue);
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Key, Row> m_rows;
  std::uint64_t m_version = 100;
  Server m_server;
};

//==============================================================================
/* A machine: its addresses and the settings of its node, as the template of
   the deploy file gives them. */
struct Machine
{
  std::string m_name;
  std::string m_ip;
  std::string m_service;
  int m_port = 0; // the first of five

  Address Outbound() const { return { m_ip, m_port }; }
  Address Inbound() const { return { m_ip, m_port + 1 }; }
  Address Ready() const { return { m_ip, m_port + 2 }; }
  Address Control() const { return { m_ip, m_port + 3 }; }
  Address App() const { return { m_ip, m_port + 4 }; }
};

/* A node that the platform starts with the command of the deploy file. */
class Node
{
public:
  Node(Machine aMachine, const Address& aStore, const std::string& aFolder)
    : m_machine(std::move(aMachine))
    , m_settings(aFolder + "/" + m_machine.m_name + ".json")
    , m_log(aFolder + "/" + m_machine.m_name + ".log")
  {
    Json::Value settings(Json::objectValue);
    settings["host"] = m_machine.m_name;
    settings["region"] = "ch-mitte";
    settings["data_centre"] = "ch-mitte-a";
    settings["service"] = m_machine.m_service;
    settings["customers"] = m_machine.Outbound().Text();
    settings["peers"] = m_machine.Inbound().Text();
    settings["operators"] = m_machine.Ready().Text();
    settings["control"] = m_machine.Control().Text();
    settings["server"] = m_machine.App().Text();
    settings["platform"] = aStore.Text();
    settings["retry_ratio"] = 0.2;
    settings["retry_slack"] = 50;
    settings["retry_window_seconds"] = 10;
    settings["shutdown_limit_seconds"] = 6;
    settings["memory_mb"] = 260;
    std::ofstream(m_settings) << ToText(settings) << "\n";
  }

  ~Node() { Kill(); }

  void Start()
  {
    m_process = fork();
    if (m_process == 0) {
      // The node ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("CORIANDERRACK_BOOT", m_settings.c_str(), 1);
      const int log =
        open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      execl("target/bin/corianderrack-relay",
            "target/bin/corianderrack-relay",
            static_cast<char*>(nullptr));
      _exit(127);
    }
  }

  void Kill()
  {
    if (m_process > 0) {
      kill(m_process, SIGKILL);
      waitpid(m_process, nullptr, 0);
      m_process = 0;
    }
  }

  bool IsRunning()
  {
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
      m_process = 0;
    }
    return m_process > 0;
  }

  /* Memory that the process itself has taken, without files, in bytes. */
  std::uint64_t Memory() const
  {
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string word;
    while (status >> word) {
      if (word == "RssAnon:") {
        std::uint64_t kilobytes = 0;
        status >> kilobytes;
        return kilobytes * 1024;
      }
    }
    return 0;
  }

  const Machine& At() const { return m_machine; }

private:
  const Machine m_machine;
  const std::string m_settings;
  const std::string m_log;
  pid_t m_process = 0;
};

/* Sends one request on a new connection. */
inline std::optional<Message>
Call(const Address& aAddress, const std::string& aRequest)
{
  const int fd = Connect(aAddress);
  if (fd < 0) {
    return std::nullopt;
  }
  const timeval limit{ 10, 0 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  std::optional<Message> answer;
  if (WriteAll(fd, aRequest)) {
    answer = Reader(fd).Read();
  }
  close(fd);
  return answer;
}

inline bool
IsReady(const Machine& aMachine)
{
  const auto answer =
    Call(aMachine.Ready(), "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
  return answer && answer->Status() == 200;
}

//==============================================================================
/* What an instance does with a request that it runs; returns the answer, or
   nothing if the answer is lost with its connection. */
using Work = std::function<std::optional<std::string>(const Message&)>;

/* A sound instance beside a node. */
class Instance
{
public:
  Instance(const Machine& aMachine, std::string aId, int aSlots, Work aWork)
    : m_machine(aMachine)
    , m_id(std::move(aId))
    , m_slots(aSlots)
    , m_work(std::move(aWork))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count())
    , m_server(aMachine.App(), [this](const Message& aRequest, int) {
      return Handle(aRequest);
    })
  {
    std::thread([this] {
      while (!m_isGone) {
        Beat();
        Sleep(1.5);
      }
    }).detach();
  }

  /* Says once more what the instance's state is; true if that was
     acknowledged. */
  bool Beat()
  {
    const std::lock_guard lock(m_beats);
    Json::Value body(Json::objectValue);
    body["address"] = m_machine.App().Text();
    body["born"] = Json::Int64(m_born);
    body["info"]["service"] = m_machine.m_service;
    body["info"]["version"] = "v1";
    body["info"]["zone"] = "ch-mitte-a";
    body["info"]["slots"] = m_slots;
    body["status"]["state"] = m_isDraining ? "draining" : "ready";
    body["status"]["seq"] = ++m_sequence;
    body["status"]["coldLeftMs"] = 0;
    const std::string text = ToText(body);
    const auto answer =
      Call(m_machine.Control(),
           "PUT /instances/" + m_id +
             " HTTP/1.1\r\nHost: control\r\nContent-Type: "
             "application/json\r\nContent-Length: " +
             std::to_string(text.size()) + "\r\n\r\n" + text);
    return answer && answer->Status() == 200;
  }

  /* Returns once the leaving is acknowledged. */
  bool Drain()
  {
    m_isDraining = true;
    Record::Line("instance " + m_id + " says draining");
    for (int attempt = 0; attempt < 5; ++attempt) {
      if (Beat()) {
        Record::Line("node " + m_machine.m_name + " acknowledged that " + m_id +
                     " is draining");
        return true;
      }
      Sleep(0.3);
    }
    return false;
  }

  void Stop() { m_isGone = true; }

  const std::string& Id() const { return m_id; }
  int Running() const { return m_running; }

  std::string Success(const Message& aRequest, const std::string& aBody) const
  {
    return MakeAnswer(200, Headers(aRequest) + Stamp(aRequest), aBody, "OK");
  }

private:
  std::string Headers(const Message& aRequest) const
  {
    const std::string id = aRequest.Header("x-corianderrack-request-id");
    return (id.empty() ? "" : "X-Corianderrack-Request-Id: " + id + "\r\n") +
           "X-Corianderrack-Instance-Load: " + std::to_string(m_running) +
           ",0," + std::to_string(m_slots) + "\r\n" +
           (m_isDraining ? "Connection: close\r\n" : "");
  }

  std::string Stamp(const Message& aRequest) const
  {
    return "X-Corianderrack-Server-Stamp: " + m_id + "." +
           aRequest.Header("x-corianderrack-request-id") + "\r\n";
  }

  std::optional<std::string> Handle(const Message& aRequest)
  {
    if (aRequest.Word(1) == "/health") {
      return MakeAnswer(m_isDraining ? 503 : 200,
                        Headers(aRequest) + "X-Corianderrack-Instance-Id: " +
                          m_id + "\r\n",
                        "");
    }
    const std::string id = aRequest.Header("x-corianderrack-request-id");
    const std::string wanted =
      aRequest.Header("x-corianderrack-expect-instance");
    Record::Line("request " + id + " (" + aRequest.Word(0) + " " +
                 aRequest.Word(1) + ", " +
                 std::to_string(aRequest.m_body.size()) + " bytes, " +
                 aRequest.Header("x-corianderrack-deadline-ms") +
                 " ms left) reaches instance " + m_id);
    if (!wanted.empty() && wanted != m_id) {
      return MakeAnswer(
        421, Headers(aRequest) + "X-Corianderrack-Instance-Id: " + m_id + "\r\n", "");
    }
    if (m_running >= m_slots) {
      return MakeAnswer(
        503, Headers(aRequest) + "X-Corianderrack-Not-Run: 1\r\n", "");
    }
    ++m_running;
    auto answer = m_work(aRequest);
    --m_running;
    Record::Line("instance " + m_id + " has run " + id +
                 (answer ? "" : "; its answer is lost"));
    return answer;
  }

  const Machine m_machine;
  const std::string m_id;
  const int m_slots;
  const Work m_work;
  const std::int64_t m_born;
  std::atomic<bool> m_isDraining{ false };
  std::atomic<bool> m_isGone{ false };
  std::atomic<int> m_running{ 0 };
  std::mutex m_beats;
  std::uint64_t m_sequence = 0;
  Server m_server;
};

//==============================================================================
/* Machines 127.77.N.1 .., a store, and nodes that are ready. */
class Deployment
{
public:
  /* The services of the machines, in order. */
  explicit Deployment(const std::vector<std::string>& aServices)
  {
    signal(SIGPIPE, SIG_IGN);
    char folder[] = "/tmp/corianderrack-review-XXXXXX";
    if (mkdtemp(folder) == nullptr) {
      CannotRun("no temporary folder");
    }
    m_folder = folder;
    const std::string net = "127.77." + std::to_string(getpid() % 250) + ".";
    std::vector<std::string> ips;
    for (std::size_t index = 0; index <= aServices.size(); ++index) {
      ips.push_back(net + std::to_string(index + 1));
    }
    const int port = FindPorts(ips, 5);
    m_storeAddress = { ips.back(), port };
    m_store = std::make_unique<Store>(m_storeAddress);
    for (std::size_t index = 0; index < aServices.size(); ++index) {
      m_nodes.push_back(std::make_unique<Node>(
        Machine{ "machine-" + std::to_string(index + 1),
                 ips.at(index),
                 aServices.at(index),
                 port },
        m_storeAddress,
        m_folder));
    }
  }

  ~Deployment() { End(); }

  /* Ends all processes and removes the folder. */
  void End()
  {
    m_nodes.clear();
    if (std::getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf '" + m_folder + "'";
      if (std::system(command.c_str()) != 0) {
        std::fprintf(stderr, "cannot remove %s\n", m_folder.c_str());
      }
    }
  }

  /* The rows are those of the columns name, host, prefix, type, timeoutMs,
     targetLatencyMs, priority, service, attempts. */
  void Configure(const std::vector<std::string>& aRoutes,
                 const std::vector<std::string>& aServices)
  {
    std::string text =
      R"({"version":"00000007","routes":{"columns":["name","host","prefix",)"
      R"("type","timeoutMs","targetLatencyMs","priority","service",)"
      R"("attempts"],"rows":[)";
    for (const std::string& route : aRoutes) {
      text += (route == aRoutes.front() ? "" : ",") + route;
    }
    text += R"(]},"services":{"columns":["name","healthPath",)"
            R"("maxConnections","protocol","tls"],"rows":[)";
    for (const std::string& service : aServices) {
      text += (service == aServices.front() ? "" : ",") + ("[\"" + service) +
              "\",\"/health\",424,\"h1\",false]";
    }
    text += R"(]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
            R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    m_store->Put("op", "config", text);
  }

  void StartNodes()
  {
    for (const auto& node : m_nodes) {
      node->Start();
    }
    AwaitReady();
  }

  void AwaitReady()
  {
    for (int attempt = 0; attempt < 200; ++attempt) {
      bool isReady = true;
      for (const auto& node : m_nodes) {
        isReady &= IsReady(node->At());
      }
      if (isReady) {
        return;
      }
      Sleep(0.05);
    }
    End();
    CannotRun("the nodes aren't ready");
  }

  Node& At(std::size_t aIndex) { return *m_nodes.at(aIndex); }
  Store& PlatformStore() { return *m_store; }

private:
  std::string m_folder;
  Address m_storeAddress;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

/* Ends the process with the result: 1 if the rule was broken. Threads of the
   stand-ins end with it. */
[[noreturn]] inline void
Finish(Deployment& aDeployment, bool aIsBroken, const std::string& aText)
{
  Record::Line((aIsBroken ? "BROKEN: " : "held: ") + aText);
  std::printf("%s%s\n", aIsBroken ? "BROKEN: " : "held: ", aText.c_str());
  std::fflush(nullptr);
  aDeployment.End();
  _exit(aIsBroken ? 1 : 0);
}

inline std::string
MakeGet(const std::string& aHost,
        const std::string& aPath,
        const std::string& aId,
        int aDeadlineMs)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: " + aHost +
         "\r\nX-Corianderrack-Request-Id: " + aId +
         "\r\nX-Corianderrack-Deadline-Ms: " + std::to_string(aDeadlineMs) +
         "\r\n\r\n";
}

}
