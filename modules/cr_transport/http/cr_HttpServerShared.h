#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

#include "cr_transport/http/cr_HttpServer.h"

namespace cr {

/** What the connections of one HTTP server share. Thread safe. */
struct HttpServerShared
{
  /** Returns the limits for the next request. */
  HttpLimits Limits() const
  {
    const std::lock_guard lock(m_mutex);
    return m_limits;
  }

  /** Changes the limits for later requests. */
  void SetLimits(const HttpLimits& aLimits)
  {
    const std::lock_guard lock(m_mutex);
    m_limits = aLimits;
  }

  /** Returns whether connections close after the requests in progress. */
  bool IsClosing() const { return m_stopping || m_closesAfterResponses; }

  std::shared_ptr<MemoryAccount> m_account;
  HttpHeaders m_refusalHeaders;
  std::string m_echoedHeader;
  HttpHandler m_handler;
  HttpOverlapCheck m_mayOverlap;
  std::atomic<std::size_t> m_inProgress{ 0 };
  /** Bytes of request bodies, and of responses that wait for earlier ones. */
  std::atomic<std::uint64_t> m_heldBytes{ 0 };
  std::atomic<bool> m_stopping{ false };
  std::atomic<bool> m_closesAfterResponses{ false };
  mutable std::mutex m_mutex;
  HttpLimits m_limits;
};

}
