#include "cr_relay_server/report/cr_RelayLog.h"

#include <algorithm>
#include <chrono>
#include <mutex>

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include "cr_settings/cr_settings.h"

namespace cr {

namespace {

/* Capacity of the ring buffer: over two seconds at the max average rate. */
constexpr std::size_t kRingLines = 256;
/* Capacity of the token bucket: lines that may be written in one burst. */
constexpr double kMaxBurstLines = 200;

std::int64_t
WallMicroseconds()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

}

struct RelayLog::Implementation
{
  struct TokenBucket
  {
    double m_tokens = kMaxBurstLines;
    std::chrono::steady_clock::time_point m_lastRefill =
      std::chrono::steady_clock::now();
  };

  explicit Implementation(std::string aHost)
    : m_host(std::move(aHost))
    , m_pool(std::make_shared<spdlog::details::thread_pool>(kRingLines, 1))
    , m_logger(std::make_shared<spdlog::async_logger>(
        "corianderrack",
        std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        m_pool,
        spdlog::async_overflow_policy::overrun_oldest))
  {
    m_logger->set_pattern("%v");
    m_logger->flush_on(spdlog::level::info);
  }

  bool TryConsumeToken(TokenBucket& aBucket)
  {
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - aBucket.m_lastRefill;
    aBucket.m_lastRefill = now;
    aBucket.m_tokens = std::min(
      kMaxBurstLines, aBucket.m_tokens + elapsed.count() * kMaxLinesPerSecond);
    if (aBucket.m_tokens < 1) {
      ++m_suppressed;
      return false;
    }
    aBucket.m_tokens -= 1;
    return true;
  }

  void Write(TokenBucket& aBucket,
             std::string_view aEvent,
             const std::string& aMembers)
  {
    if (TryConsumeToken(aBucket)) {
      m_logger->info("{{\"at_us\":{},\"host\":\"{}\",\"event\":\"{}\"{}}}",
                     WallMicroseconds(),
                     m_host,
                     aEvent,
                     aMembers);
    }
  }

  std::string m_host;
  std::shared_ptr<spdlog::details::thread_pool> m_pool;
  std::shared_ptr<spdlog::async_logger> m_logger;
  mutable std::mutex m_mutex;
  TokenBucket m_requestLines;
  /* Separate, so that lines about requests cannot displace lines about the
     state of the node. */
  TokenBucket m_nodeLines;
  std::uint64_t m_suppressed = 0;
};

RelayLog::RelayLog(std::string aHost)
  : m_implementation(std::make_unique<Implementation>(std::move(aHost)))
{
}

RelayLog::~RelayLog() = default;

void
RelayLog::Write(std::string_view aEvent, std::string_view aMembers)
{
  m_implementation->Write(m_implementation->m_nodeLines,
                          aEvent,
                          aMembers.empty() ? std::string()
                                           : fmt::format(",{}", aMembers));
}

void
RelayLog::Write(std::string_view aEvent,
                std::string_view aRequest,
                std::string_view aMembers)
{
  m_implementation->Write(m_implementation->m_requestLines,
                          aEvent,
                          fmt::format(",\"request\":{}{}{}",
                                      QuoteJson(aRequest),
                                      aMembers.empty() ? "" : ",",
                                      aMembers));
}

void
RelayLog::Flush()
{
  m_implementation->m_logger->flush();
}

std::uint64_t
RelayLog::LostLines() const
{
  const std::lock_guard lock(m_implementation->m_mutex);
  return m_implementation->m_suppressed +
         m_implementation->m_pool->overrun_counter();
}

}
