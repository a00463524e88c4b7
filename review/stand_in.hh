// Stand-ins for the review's scripts: the platform's store, instances, clients
// and the platform's process control. Loopback only. Header-only on purpose.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
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
using Ms = std::chrono::milliseconds;

inline Clock::time_point Start() {
  static const Clock::time_point start = Clock::now();
  return start;
}
inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - Start()).count();
}
inline void Sleep(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline long long WallMs() {
  return std::chrono::duration_cast<Ms>(
           std::chrono::system_clock::now().time_since_epoch()).count();
}

// Writes record.txt.
class Record {
public:
  explicit Record(const std::string& path) : m_file(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f s  ", Seconds());
    m_file << at << text << "\n";
    m_file.flush();
  }
private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

// --- HTTP over blocking sockets -------------------------------------------
struct Message {
  std::string method, target; // of a request
  int status = 0;             // of a response
  std::map<std::string, std::string> headers; // names in lower case
  std::string body;
  std::string Get(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), ::tolower);
  return text;
}

inline int ConnectTo(const std::string& ip, int port, int receiveBuffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receiveBuffer > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool WriteAll(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t sent =
      send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

// Reads one message with a Content-Length. bytesPerSecond > 0 reads the body at
// that pace. False if the connection ends before the message is whole.
inline bool ReadMessage(int fd, std::string& buffer, Message& message,
                        double bytesPerSecond = 0, double untilSeconds = 1e9) {
  const auto fill = [&](std::size_t most) {
    const double left = untilSeconds - Seconds();
    pollfd wait{ fd, POLLIN, 0 };
    if (left <= 0 ||
        poll(&wait, 1, static_cast<int>(std::min(left, 1e6) * 1000) + 1) <= 0)
      return false;
    std::string chunk(most, '\0');
    const ssize_t got = recv(fd, chunk.data(), chunk.size(), 0);
    if (got <= 0) return false;
    buffer.append(chunk, 0, static_cast<std::size_t>(got));
    return true;
  };
  std::size_t end;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill(4096)) return false;
  std::istringstream head(buffer.substr(0, end + 2));
  buffer.erase(0, end + 4);
  message = Message();
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  std::string word;
  first >> word;
  if (word.rfind("HTTP/", 0) == 0) first >> message.status;
  else { message.method = word; first >> message.target; }
  while (std::getline(head, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t from = line.find_first_not_of(' ', colon + 1);
    std::size_t to = line.find_last_not_of("\r\n ");
    message.headers[Lower(line.substr(0, colon))] =
      from == std::string::npos || to < from ? "" : line.substr(from, to - from + 1);
  }
  const std::string length = message.Get("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoull(length);
  std::size_t read = buffer.size();
  const double begun = Seconds();
  while (buffer.size() < size) {
    if (bytesPerSecond > 0)
      Sleep(begun + static_cast<double>(buffer.size() - read) / bytesPerSecond -
            Seconds());
    if (!fill(std::min<std::size_t>(65536, size - buffer.size()))) return false;
  }
  message.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

inline std::string Response(int status,
                            const std::vector<std::string>& headers,
                            const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const std::string& header : headers) text += header + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Request(const std::string& method, const std::string& target,
                           const std::vector<std::string>& headers,
                           const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const std::string& header : headers) text += header + "\r\n";
  if (!body.empty() || method == "POST" || method == "PUT")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// One thread per connection. The handler returns the response's bytes; an empty
// text resets the connection without an answer.
class Server {
public:
  using Handler = std::function<std::string(const Message&)>;
  Server(const std::string& ip, int port, Handler handler)
    : m_handler(std::move(handler)) {
    m_listen = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(m_listen, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (bind(m_listen, reinterpret_cast<sockaddr*>(&address), sizeof address) ||
        listen(m_listen, 1024)) {
      std::fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
      std::exit(2);
    }
    m_thread = std::thread([this] { Accept(); });
  }
  ~Server() { Close(); }
  void Close() {
    if (m_closed.exchange(true)) return;
    shutdown(m_listen, SHUT_RDWR);
    m_thread.join();
    close(m_listen);
    {
      const std::lock_guard lock(m_mutex);
      for (const int fd : m_open) shutdown(fd, SHUT_RDWR);
    }
    while (m_workers > 0) Sleep(0.002);
  }
private:
  void Accept() {
    while (!m_closed) {
      const int fd = accept4(m_listen, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) { if (m_closed) return; Sleep(0.001); continue; }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      { const std::lock_guard lock(m_mutex); m_open.insert(fd); }
      ++m_workers;
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    std::string buffer;
    Message message;
    while (!m_closed && ReadMessage(fd, buffer, message)) {
      const std::string answer = m_handler(message);
      if (answer.empty()) {
        const linger reset{ 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        break;
      }
      if (m_closed || !WriteAll(fd, answer)) break;
    }
    { const std::lock_guard lock(m_mutex); m_open.erase(fd); close(fd); }
    --m_workers;
  }
  Handler m_handler;
  int m_listen = -1;
  std::thread m_thread;
  std::mutex m_mutex;
  std::set<int> m_open;
  std::atomic<int> m_workers{ 0 };
  std::atomic<bool> m_closed{ false };
};

// --- the platform's store ---------------------------------------------------
inline std::string Base64(const std::string& bytes) {
  static const char* digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned v = static_cast<unsigned char>(bytes[i]) << 16;
    if (i + 1 < bytes.size()) v |= static_cast<unsigned char>(bytes[i + 1]) << 8;
    if (i + 2 < bytes.size()) v |= static_cast<unsigned char>(bytes[i + 2]);
    text += digits[v >> 18];
    text += digits[(v >> 12) & 63];
    text += i + 1 < bytes.size() ? digits[(v >> 6) & 63] : '=';
    text += i + 2 < bytes.size() ? digits[v & 63] : '=';
  }
  return text;
}

class Store {
public:
  Store(const std::string& ip, int port)
    : m_server(ip, port, [this](const Message& m) { return Handle(m); }) {}
  ~Store() { { const std::lock_guard lock(m_mutex); m_closed = true; }
             m_changed.notify_all(); m_server.Close(); }
  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    { const std::lock_guard lock(m_mutex); Set({ table, key }, Base64(value)); }
    m_changed.notify_all();
  }
private:
  using Key = std::pair<std::string, std::string>;
  struct Row { std::string value; unsigned long long ver = 0; bool deleted = false; };

  static std::string Parameter(const Message& m, const std::string& name) {
    std::string text = m.target.substr(m.target.find('?') + 1);
    std::istringstream items(text);
    std::string item;
    while (std::getline(items, item, '&')) {
      if (item.rfind(name + "=", 0) != 0) continue;
      std::string value;
      for (std::size_t i = name.size() + 1; i < item.size(); ++i) {
        if (item[i] == '%' && i + 2 < item.size()) {
          value += static_cast<char>(std::stoi(item.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else value += item[i];
      }
      return value;
    }
    return "";
  }
  void Set(const Key& key, std::optional<std::string> value) {
    Row& row = m_rows[key];
    row = { value.value_or(""), ++m_version, !value };
  }
  static Json::Value ToJson(const Key& key, const Row& row) {
    Json::Value value(Json::objectValue);
    value["table"] = key.first; value["part"] = ""; value["key"] = key.second;
    value["ver"] = Json::UInt64(row.ver);
    if (row.deleted) value["deleted"] = true; else value["value"] = row.value;
    return value;
  }
  std::string Answer(int status, Json::Value body) {
    body["ver"] = Json::UInt64(m_version);
    body["nowMs"] = Json::Int64(static_cast<long long>(Seconds() * 1000));
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Response(status, { "Content-Type: application/json" },
                    Json::writeString(writer, body));
  }
  std::string Handle(const Message& m) {
    Sleep(0.004);
    std::unique_lock lock(m_mutex);
    Json::Value body(Json::objectValue);
    body["rows"] = Json::Value(Json::arrayValue);
    if (m.target.rfind("/rows-get?", 0) == 0) {
      const std::string table = Parameter(m, "table"), from = Parameter(m, "from");
      const std::string limit = Parameter(m, "limit");
      const std::size_t most = limit.empty() ? 500 : std::stoul(limit);
      body["hasMore"] = false;
      for (const auto& [key, row] : m_rows) {
        if (row.deleted || key.first != table || key.second < from) continue;
        if (body["rows"].size() >= most) { body["hasMore"] = true; break; }
        body["rows"].append(ToJson(key, row));
      }
      return Answer(200, body);
    }
    if (m.target.rfind("/rows-feed?", 0) == 0) {
      const std::string table = Parameter(m, "table");
      const auto after = std::stoull(Parameter(m, "after"));
      const auto until = Clock::now() + Ms(std::stoll(Parameter(m, "waitMs")));
      std::vector<std::pair<Key, Row>> found;
      do {
        found.clear();
        for (const auto& [key, row] : m_rows)
          if (key.first == table && row.ver > after) found.push_back({ key, row });
      } while (found.empty() && !m_closed &&
               m_changed.wait_until(lock, until) != std::cv_status::timeout);
      std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
        return a.second.ver < b.second.ver; });
      for (const auto& [key, row] : found) body["rows"].append(ToJson(key, row));
      return Answer(200, body);
    }
    if (m.target != "/rows-tx") return Answer(404, body);
    Json::Value request;
    std::string errors;
    std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(m.body.data(), m.body.data() + m.body.size(), &request, &errors);
    bool holds = true;
    for (const Json::Value& expect : request["expect"]) {
      const Key key{ expect["table"].asString(), expect["key"].asString() };
      const auto row = m_rows.find(key);
      const bool exists = row != m_rows.end() && !row->second.deleted;
      holds &= (exists ? row->second.ver : 0) == expect["ver"].asUInt64();
      if (exists) body["rows"].append(ToJson(key, row->second));
    }
    if (!holds) return Answer(412, body);
    body["rows"].clear();
    for (const Json::Value& put : request["puts"])
      Set({ put["table"].asString(), put["key"].asString() }, put["value"].asString());
    for (const Json::Value& drop : request["remove"])
      Set({ drop["table"].asString(), drop["key"].asString() }, std::nullopt);
    const std::string answer = Answer(200, body);
    lock.unlock();
    m_changed.notify_all();
    return answer;
  }
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Key, Row> m_rows;
  unsigned long long m_version = 0;
  bool m_closed = false;
  Server m_server;
};

// --- machines and processes ---------------------------------------------------
struct Machine {
  std::string name, zone, service, ip;
  int base = 0; // first of the ports
  int Inbound() const { return base; }
  int App() const { return base + 1; }
  int Ready() const { return base + 2; }
  int Outbound() const { return base + 4; }
  int Control() const { return base + 6; }
};

inline bool IsFree(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool isFree =
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(fd);
  return isFree;
}

// Processes to end when the script itself is ended early.
inline std::atomic<pid_t> g_processes[16];
inline void EndAll(int) {
  for (auto& process : g_processes)
    if (process > 0) kill(process, SIGKILL);
  _exit(2);
}
inline void Track(pid_t process, bool isRunning) {
  for (auto& entry : g_processes) {
    pid_t expected = isRunning ? 0 : process;
    if (entry.compare_exchange_strong(expected, isRunning ? process : 0)) return;
  }
}

// The node of one machine, started as the deploy file says.
class Node {
public:
  Node(Machine machine, std::string folder, std::string store)
    : m_machine(std::move(machine)), m_folder(std::move(folder)),
      m_store(std::move(store)) { WriteSettings(m_machine.service); }
  ~Node() { Kill(); }
  // Fills in deploy/node.json as the platform does.
  void WriteSettings(const std::string& service) {
    const auto at = [&](int port) {
      return "\"" + m_machine.ip + ":" + std::to_string(port) + "\""; };
    std::ofstream file(Path() + ".new");
    file << "{\n  \"host\": \"" << m_machine.name << "\",\n  \"region\": \"sudvestur\",\n"
         << "  \"data_centre\": \"" << m_machine.zone << "\",\n  \"service\": \"" << service
         << "\",\n  \"customers\": " << at(m_machine.Outbound())
         << ",\n  \"peers\": " << at(m_machine.Inbound())
         << ",\n  \"operators\": " << at(m_machine.Ready())
         << ",\n  \"control\": " << at(m_machine.Control())
         << ",\n  \"server\": " << at(m_machine.App())
         << ",\n  \"platform\": \"" << m_store << "\",\n  \"retry_ratio\": 0.2,\n"
         << "  \"retry_slack\": 48,\n  \"retry_window_seconds\": 10,\n"
         << "  \"shutdown_limit_seconds\": 6,\n  \"memory_mb\": 260\n}\n";
    file.close();
    std::filesystem::rename(Path() + ".new", Path());
  }
  void Start() {
    std::string program = "target/bin/corianderrack-relay";
    char* arguments[] = { program.data(), nullptr };
    std::vector<std::string> texts = { "CORIANDERRACK_BOOT=" + Path(),
                                       "PATH=/usr/bin:/bin", "HOME=/tmp",
                                       "LANG=C" };
    std::vector<char*> environment;
    for (std::string& text : texts) environment.push_back(text.data());
    environment.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, (Path() + ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (posix_spawn(&m_process, program.c_str(), &files, nullptr, arguments,
                    environment.data()) != 0) {
      std::fprintf(stderr, "cannot start %s\n", program.c_str());
      std::exit(2);
    }
    posix_spawn_file_actions_destroy(&files);
    Track(m_process, true);
    m_started = Seconds();
  }
  void Signal(int signal) { if (m_process > 0) kill(m_process, signal); }
  void Kill() {
    if (m_process <= 0) return;
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    Track(m_process, false);
    m_process = 0;
  }
  bool IsRunning() {
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
      Track(m_process, false);
      m_process = 0;
    }
    return m_process > 0;
  }
  // Resident or peak memory in MB.
  double Memory(const char* field = "VmRSS:") const {
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string word;
    double kilobytes = 0;
    while (status >> word) if (word == field) { status >> kilobytes; break; }
    return kilobytes / 1024;
  }
  bool IsReady() const {
    const int fd = ConnectTo(m_machine.ip, m_machine.Ready());
    if (fd < 0) return false;
    std::string buffer;
    Message answer;
    const bool isReady =
      WriteAll(fd, Request("GET", "/ready", { "Host: ready" }, "")) &&
      ReadMessage(fd, buffer, answer, 0, Seconds() + 1) && answer.status == 200;
    close(fd);
    return isReady;
  }
  const Machine& On() const { return m_machine; }
  double Started() const { return m_started; }
private:
  std::string Path() const { return m_folder + "/" + m_machine.name + ".json"; }
  Machine m_machine;
  std::string m_folder, m_store;
  pid_t m_process = 0;
  double m_started = 0;
};

// --- instances -------------------------------------------------------------------
class Instance {
public:
  // Runs a request and returns the response's bytes; empty: the answer is lost
  // and the connection reset.
  using Run = std::function<std::string(Instance&, const Message&)>;
  // clockMs: by how much the time of day of its machine is off.
  Instance(Machine machine, std::string id, std::string service, int slots, Run run,
           long long clockMs = 0)
    : m_machine(std::move(machine)), m_id(std::move(id)),
      m_service(std::move(service)), m_slots(slots), m_run(std::move(run)),
      m_born(WallMs() + clockMs),
      m_server(m_machine.ip, m_machine.App(),
               [this](const Message& m) { return Handle(m); }) {}
  ~Instance() { Stop(); }
  // Sends a heartbeat every heartbeatMs.
  void StartBeats() {
    m_beats = std::thread([this] {
      while (!m_stopped && !m_leaving) {
        const Message answer = Beat(++m_sequence, "ready");
        m_lastBeat = answer.status;
        for (int i = 0; i < 30 && !m_stopped && !m_leaving; ++i) Sleep(0.05);
      }
    });
  }
  Message Beat(unsigned sequence, const std::string& state) {
    return Tell("PUT", "{\"address\":\"" + m_machine.ip + ":" +
      std::to_string(m_machine.App()) + "\",\"born\":" + std::to_string(m_born) +
      ",\"info\":{\"service\":\"" + m_service + "\",\"version\":\"v1\",\"zone\":\"" +
      m_machine.zone + "\",\"slots\":" + std::to_string(m_slots) +
      "},\"status\":{\"state\":\"" + state + "\",\"seq\":" +
      std::to_string(sequence) + ",\"coldLeftMs\":0}}");
  }
  // Reports draining until the instance ends, and returns the first answer.
  Message Leave() {
    m_leaving = true;
    if (m_beats.joinable()) m_beats.join();
    Message answer = Beat(++m_sequence, "draining");
    m_beats = std::thread([this] {
      while (!m_stopped && !m_hasLeft) {
        for (int i = 0; i < 30 && !m_stopped && !m_hasLeft; ++i) Sleep(0.05);
        if (!m_stopped && !m_hasLeft) Beat(++m_sequence, "draining");
      }
    });
    return answer;
  }
  long long Born() const { return m_born; }
  Message Delete() {
    m_hasLeft = true;
    m_leaving = true;
    if (m_beats.joinable()) m_beats.join();
    return Tell("DELETE", "{\"born\":" + std::to_string(m_born) + "}");
  }
  void Stop() {
    m_stopped = true;
    m_server.Close();
    if (m_beats.joinable()) m_beats.join();
  }
  unsigned NextSequence() { return ++m_sequence; }
  int LastBeat() const { return m_lastBeat; }
  const std::string& Id() const { return m_id; }
  const std::string& Service() const { return m_service; }
  std::vector<std::string> Headers(const Message& m) const {
    return { "X-Corianderrack-Request-Id: " + m.Get("x-corianderrack-request-id"),
             "X-Corianderrack-Server-Stamp: " + m_id,
             "X-Corianderrack-Instance-Id: " + m_id,
             "X-Corianderrack-Instance-Load: " + std::to_string(m_running) + ",0," +
               std::to_string(m_slots) };
  }
private:
  Message Tell(const std::string& method, const std::string& body) {
    Message answer;
    const int fd = ConnectTo(m_machine.ip, m_machine.Control());
    if (fd < 0) return answer;
    std::string buffer;
    if (!WriteAll(fd, Request(method, "/instances/" + m_id,
          { "Host: control", "Content-Type: application/json" }, body)) ||
        !ReadMessage(fd, buffer, answer, 0, Seconds() + 1))
      answer.status = 0;
    close(fd);
    return answer;
  }
  std::string Handle(const Message& m) {
    if (m.target == "/health")
      return Response(m_leaving ? 503 : 200, Headers(m), "");
    const std::string expected = m.Get("x-corianderrack-expect-instance");
    if (!expected.empty() && expected != m_id) {
      auto headers = Headers(m);
      headers.push_back("X-Corianderrack-Not-Run: 1");
      return Response(421, headers, "");
    }
    if (m_running >= m_slots) {
      auto headers = Headers(m);
      headers.push_back("X-Corianderrack-Not-Run: 1");
      return Response(503, headers, "");
    }
    ++m_running;
    std::string answer = m_run(*this, m);
    --m_running;
    return answer;
  }
  Machine m_machine;
  std::string m_id, m_service;
  int m_slots;
  Run m_run;
  long long m_born;
  std::atomic<unsigned> m_sequence{ 0 };
  std::atomic<int> m_running{ 0 }, m_lastBeat{ 0 };
  std::atomic<bool> m_leaving{ false }, m_stopped{ false },
    m_hasLeft{ false };
  std::thread m_beats;
  Server m_server;
};

// --- a deployment -----------------------------------------------------------------
class Fleet {
public:
  Fleet(const std::vector<std::string>& services, const std::string& config) {
    std::signal(SIGTERM, EndAll);
    std::signal(SIGINT, EndAll);
    std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) std::exit(2);
    m_folder = pattern;
    const int net = 60 + getpid() % 150;
    const auto ip = [&](std::size_t i) {
      return "127." + std::to_string(net) + ".0." + std::to_string(i + 1); };
    for (m_base = 21100 + getpid() % 50 * 20; ; m_base += 20) {
      bool isFree = m_base < 32000;
      if (!isFree) { std::fprintf(stderr, "no free ports\n"); std::exit(2); }
      for (std::size_t i = 0; i <= services.size(); ++i)
        for (int port = m_base; port < m_base + 10; ++port)
          isFree = isFree && IsFree(ip(i), port);
      if (isFree) break;
    }
    const std::string storeIp = ip(services.size());
    m_store = std::make_unique<Store>(storeIp, m_base);
    m_store->Put("op", "config", config);
    for (std::size_t i = 0; i < services.size(); ++i)
      m_nodes.push_back(std::make_unique<Node>(
        Machine{ "sidecar-sal-" + std::to_string(i % 4 + 1) + "-" + std::to_string(i + 1),
                 "sal-" + std::to_string(i % 4 + 1), services[i], ip(i), m_base },
        m_folder, storeIp + ":" + std::to_string(m_base)));
    for (const auto& node : m_nodes) node->Start();
  }
  ~Fleet() {
    m_nodes.clear();
    m_store.reset();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(m_folder, ignored);
    else std::fprintf(stderr, "kept %s\n", m_folder.c_str());
  }
  Node& At(std::size_t i) { return *m_nodes.at(i); }
  bool WaitUntilReady(double seconds) {
    const double until = Seconds() + seconds;
    for (const auto& node : m_nodes)
      while (!node->IsReady()) {
        if (Seconds() > until) return false;
        Sleep(0.05);
      }
    return true;
  }
private:
  std::string m_folder;
  int m_base = 0;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

// One request on an open connection. Status 0: the connection ended without a
// complete answer; -1: not answered in time.
inline int Ask(int fd, std::string& buffer, const std::string& method,
               const std::string& host, const std::string& target,
               const std::string& id, int deadlineMs, const std::string& body,
               Message& answer, double bytesPerSecond = 0) {
  const double until = Seconds() + deadlineMs / 1000.0 + 0.5;
  const bool isSent = WriteAll(fd, Request(method, target,
    { "Host: " + host, "X-Corianderrack-Request-Id: " + id,
      "X-Corianderrack-Deadline-Ms: " + std::to_string(deadlineMs) }, body));
  if (!isSent) return 0;
  if (ReadMessage(fd, buffer, answer, bytesPerSecond, until)) return answer.status;
  return Seconds() >= until ? -1 : 0;
}

inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}
