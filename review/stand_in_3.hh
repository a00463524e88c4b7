// Parts of the stand-ins of this review: sockets, HTTP with a length, the
// platform's store, and the start of nodes as separate processes on loopback.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr int kSlots = 64;

const auto g_start = Clock::now();
std::atomic<bool> g_isTrouble{ false };
std::atomic<bool> g_isEnding{ false };
std::atomic<bool> g_isSending{ true };

long
Milliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               g_start)
    .count();
}

std::mutex g_recordMutex;
std::ofstream g_record;
// What happened to each request, and when that began.
std::map<std::string, std::string> g_events;
std::map<std::string, long> g_sentAt;

void
Record(const std::string& aLine)
{
  const std::lock_guard lock(g_recordMutex);
  g_record << Milliseconds() << " ms " << aLine << "\n";
}

void
RecordEvent(const std::string& aId, const std::string& aEvent)
{
  const std::lock_guard lock(g_recordMutex);
  std::string& events = g_events[aId];
  events += (events.empty() ? "" : ", ") + aEvent;
  g_sentAt.try_emplace(aId, Milliseconds());
}

/* Writes what happened to each request. Requests with a common course stand on
   one line; the others have a line each, with the time when they were sent. */
void
WriteEvents()
{
  constexpr std::size_t common = 200;
  std::map<std::string, std::vector<std::string>> courses;
  for (const auto& [id, events] : g_events) {
    courses[events].push_back(id);
  }
  for (const auto& [events, ids] : courses) {
    if (ids.size() >= common) {
      g_record << ids.size() << " requests (" << events << "):";
      for (const std::string& id : ids) {
        g_record << " " << id;
      }
      g_record << "\n";
      continue;
    }
    for (const std::string& id : ids) {
      g_record << g_sentAt[id] << " ms " << id << ": " << events << "\n";
    }
  }
}

[[maybe_unused]] double
Draw()
{
  thread_local std::mt19937_64 generator{ std::random_device{}() };
  return std::uniform_real_distribution<double>(0, 1)(generator);
}

//=============================================================================
// Sockets and HTTP.

/* Returns -1 if the port is in use. */
int
TryListen(int aPort)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) ||
      listen(listener, 512)) {
    close(listener);
    return -1;
  }
  return listener;
}

int
Listen(int aPort)
{
  const int listener = TryListen(aPort);
  if (listener < 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  return listener;
}

/* Below the ports that the system gives to outgoing connections. */
int
FreePort()
{
  static int next = 12000 + getpid() % 500 * 40;
  while (true) {
    const int listener = TryListen(++next);
    if (listener >= 0) {
      close(listener);
      return next;
    }
  }
}

int
Connect(int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  timeval limit{ 6, 0 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address)) {
    close(fd);
    return -1;
  }
  return fd;
}

bool
Write(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

struct Message
{
  std::string m_first;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
};

// Reads messages with a length, one after the other.
class Reader
{
public:
  explicit Reader(int aFd)
    : m_fd(aFd)
  {
  }

  bool Read(Message& aMessage)
  {
    std::size_t end = 0;
    while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
      if (!More()) {
        return false;
      }
    }
    aMessage = {};
    std::size_t line = m_bytes.find("\r\n");
    aMessage.m_first = m_bytes.substr(0, line);
    while (line < end) {
      const std::size_t begin = line + 2;
      line = m_bytes.find("\r\n", begin);
      const std::string text = m_bytes.substr(begin, line - begin);
      const std::size_t colon = text.find(':');
      std::string name = text.substr(0, colon);
      for (char& letter : name) {
        letter = static_cast<char>(std::tolower(letter));
      }
      const std::size_t value = text.find_first_not_of(' ', colon + 1);
      aMessage.m_headers[name] =
        value == std::string::npos ? "" : text.substr(value);
    }
    const std::string& length = aMessage.m_headers["content-length"];
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_bytes.size() < end + 4 + size) {
      if (!More()) {
        return false;
      }
    }
    aMessage.m_body = m_bytes.substr(end + 4, size);
    m_bytes.erase(0, end + 4 + size);
    return true;
  }

private:
  bool More()
  {
    char chunk[8192];
    const ssize_t count = recv(m_fd, chunk, sizeof chunk, 0);
    if (count <= 0) {
      return false;
    }
    m_bytes.append(chunk, static_cast<std::size_t>(count));
    return true;
  }

  const int m_fd;
  std::string m_bytes;
};

std::string
Answer(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

template<typename Handler>
void
Serve(int aListener, Handler aHandler)
{
  std::thread([aListener, aHandler] {
    while (true) {
      const int fd = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([fd, aHandler] {
        aHandler(fd);
        close(fd);
      }).detach();
    }
  }).detach();
}

//=============================================================================
// The platform's store: rows-get, rows-feed and rows-tx.

struct Row
{
  std::string m_value;
  std::uint64_t m_version = 0;
};

std::mutex g_storeMutex;
std::condition_variable g_storeChanged;
std::uint64_t g_storeVersion = 1;
std::map<std::string, std::map<std::string, Row>> g_tables;

std::string
Field(const std::string& aText, const std::string& aName)
{
  const std::string key = "\"" + aName + "\":";
  std::size_t begin = aText.find(key);
  if (begin == std::string::npos) {
    return "";
  }
  begin += key.size();
  if (aText[begin] == '"') {
    return aText.substr(begin + 1, aText.find('"', begin + 1) - begin - 1);
  }
  return aText.substr(begin, aText.find_first_of(",}", begin) - begin);
}

std::vector<std::string>
Entries(const std::string& aText, const std::string& aName)
{
  std::vector<std::string> entries;
  const std::string key = "\"" + aName + "\":[";
  std::size_t position = aText.find(key);
  if (position == std::string::npos) {
    return entries;
  }
  position += key.size();
  while (aText[position] != ']') {
    const std::size_t end = aText.find('}', position);
    entries.push_back(aText.substr(position, end - position + 1));
    position = end + 1;
    if (aText[position] == ',') {
      ++position;
    }
  }
  return entries;
}

std::string
Parameter(const std::string& aTarget, const std::string& aName)
{
  const std::size_t begin = aTarget.find(aName + "=");
  if (begin == std::string::npos) {
    return "";
  }
  const std::size_t value = begin + aName.size() + 1;
  return aTarget.substr(value, aTarget.find_first_of("& ", value) - value);
}

std::string
ToJson(const std::string& aTable, const std::string& aKey, const Row& aRow)
{
  return R"({"table":")" + aTable + R"(","part":"","key":")" + aKey +
         R"(","value":")" + aRow.m_value +
         R"(","ver":)" + std::to_string(aRow.m_version) + "}";
}

std::string
ReadRows(const std::string& aTarget, std::uint64_t aAfter, bool& aHasRows)
{
  const std::string table = Parameter(aTarget, "table");
  const std::string from = Parameter(aTarget, "from");
  std::string rows;
  for (const auto& [key, row] : g_tables[table]) {
    if (key >= from && row.m_version > aAfter) {
      rows += (rows.empty() ? "" : ",") + ToJson(table, key, row);
    }
  }
  aHasRows = !rows.empty();
  return R"({"rows":[)" + rows + R"(],"hasMore":false,"ver":)" +
         std::to_string(g_storeVersion) + R"(,"nowMs":)" +
         std::to_string(Milliseconds()) + "}";
}

std::string
Transact(const std::string& aBody)
{
  const std::lock_guard lock(g_storeMutex);
  std::string found;
  bool isMet = true;
  for (const std::string& entry : Entries(aBody, "expect")) {
    const std::string table = Field(entry, "table");
    const std::string key = Field(entry, "key");
    const auto row = g_tables[table].find(key);
    const bool exists = row != g_tables[table].end();
    isMet = isMet && std::stoull(Field(entry, "ver")) ==
                       (exists ? row->second.m_version : 0);
    if (exists) {
      found += (found.empty() ? "" : ",") + ToJson(table, key, row->second);
    }
  }
  if (!isMet) {
    return Answer(412,
                  "Content-Type: application/json\r\n",
                  R"({"rows":[)" + found + "]}");
  }
  ++g_storeVersion;
  for (const std::string& entry : Entries(aBody, "puts")) {
    g_tables[Field(entry, "table")][Field(entry, "key")] = {
      Field(entry, "value"), g_storeVersion
    };
  }
  // Nothing is removed in this case.
  g_storeChanged.notify_all();
  return Answer(200,
                "Content-Type: application/json\r\n",
                R"({"ver":)" + std::to_string(g_storeVersion) + "}");
}

void
HandleStore(int aFd)
{
  Reader reader(aFd);
  Message request;
  while (reader.Read(request)) {
    const std::string& target = request.m_first;
    std::string answer;
    if (target.find("/rows-tx") != std::string::npos) {
      answer = Transact(request.m_body);
    } else {
      std::unique_lock lock(g_storeMutex);
      const bool isFeed = target.find("/rows-feed") != std::string::npos;
      const std::string after = Parameter(target, "after");
      const std::string wait = Parameter(target, "waitMs");
      const auto until =
        Clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait));
      bool hasRows = false;
      std::string body =
        ReadRows(target, isFeed ? std::stoull(after) : 0, hasRows);
      while (isFeed && !hasRows && Clock::now() < until && !g_isEnding) {
        g_storeChanged.wait_until(lock, until);
        body = ReadRows(target, std::stoull(after), hasRows);
      }
      answer = Answer(200, "Content-Type: application/json\r\n", body);
    }
    if (!Write(aFd, answer)) {
      return;
    }
  }
}

std::string
Base64(const std::string& aBytes)
{
  constexpr char letters[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < aBytes.size(); index += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - index);
    for (std::size_t byte = 0; byte < 3; ++byte) {
      group = group << 8 |
              (byte < count ? static_cast<unsigned char>(aBytes[index + byte])
                            : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += digit <= count ? letters[group >> (18 - 6 * digit) & 63U] : '=';
    }
  }
  return text;
}

//=============================================================================
// Hosts and nodes.

struct Host
{
  std::string m_name;
  std::string m_service;
  std::string m_server;
  int m_customers = FreePort();
  int m_peers = FreePort();
  int m_operators = FreePort();
  int m_control = FreePort();
  int m_address = FreePort();
  bool m_isFaulty = false;
  pid_t m_process = 0;
};

void
Announce(const Host& aHost)
{
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  int sequence = 0;
  while (!g_isEnding) {
    const std::string body =
      R"({"address":"127.0.0.1:)" + std::to_string(aHost.m_address) +
      R"(","born":)" + std::to_string(born) +
      R"(,"info":{"service":")" + aHost.m_service +
      R"(","version":"v1","zone":"z1","slots":)" + std::to_string(kSlots) +
      R"(},"status":{"state":"ready","seq":)" + std::to_string(++sequence) +
      R"(,"coldLeftMs":0}})";
    const int fd = Connect(aHost.m_control);
    if (fd >= 0) {
      Message answer;
      Write(fd,
            "PUT /instances/" + aHost.m_server +
              " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
              "Content-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
      Reader(fd).Read(answer);
      close(fd);
    }
    std::this_thread::sleep_for(1500ms);
  }
}

void
StartNode(Host& aHost,
          const std::string& aProgram,
          const std::string& aFolder,
          int aStore)
{
  const auto at = [](int aPort) {
    return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
  };
  const std::string file = aFolder + "/" + aHost.m_name + ".json";
  std::ofstream(file)
    << R"({"host":")" << aHost.m_name << R"(","region":"r1","data_centre":"z1")"
    << R"(,"service":")" << aHost.m_service << "\",\"customers\":"
    << at(aHost.m_customers) << ",\"peers\":" << at(aHost.m_peers)
    << ",\"operators\":" << at(aHost.m_operators) << ",\"control\":"
    << at(aHost.m_control) << ",\"server\":" << at(aHost.m_address)
    << ",\"platform\":" << at(aStore)
    << R"(,"retry_ratio":0.2,"retry_slack":48,"retry_window_seconds":10)"
    << R"(,"shutdown_limit_seconds":6,"memory_mb":260})";
  aHost.m_process = fork();
  if (aHost.m_process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(
      (file + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    dup2(log, STDOUT_FILENO);
    setenv("CORIANDERRACK_BOOT", file.c_str(), 1);
    execl(aProgram.c_str(), aProgram.c_str(), nullptr);
    _exit(2);
  }
}

bool
IsReady(const Host& aHost)
{
  const int fd = Connect(aHost.m_operators);
  if (fd < 0) {
    return false;
  }
  Message answer;
  Write(fd, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  const bool isReady = Reader(fd).Read(answer) &&
                       answer.m_first.find(" 200") != std::string::npos;
  close(fd);
  return isReady;
}

bool
AreReady(const std::vector<Host>& aHosts)
{
  const auto until = Clock::now() + 15s;
  while (Clock::now() < until) {
    std::this_thread::sleep_for(100ms);
    if (std::all_of(aHosts.begin(), aHosts.end(), IsReady)) {
      return true;
    }
  }
  return false;
}

}
