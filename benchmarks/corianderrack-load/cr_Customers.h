#pragma once

#include <memory>

#include "cr_Arrivals.h"
#include "cr_LoadResult.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Max number of open requests. Further arrivals end as RequestEnd::NoAnswer
    without an attempt. */
inline constexpr std::size_t kOpenRequestLimit = 20000;

/** Simulates customers. Each sends one request to random nodes, checks the
    answer and retries as the scenario allows. All methods are thread safe. */
class Customers
{
public:
  /** The threads must outlive the customers. */
  Customers(IoThreads& aThreads,
            Scenario aScenario,
            Configuration aConfiguration);
  ~Customers();
  Customers(const Customers&) = delete;
  Customers& operator=(const Customers&) = delete;

  //==========================================================================
  /** Sets the start of the load, to which arrival times are relative. */
  void Begin(Instant aStart);

  /** Sends the request of an arrival. */
  void Start(const Arrival& aArrival);

  /** Starts a retry storm: customers retry after 1 ms, up to the given number
      of attempts. An empty value ends the storm. */
  void SetRetryStorm(std::optional<std::uint32_t> aAttempts);

  //==========================================================================
  /** Returns the number of open requests. */
  std::size_t Open() const;

  /** Returns the results so far. */
  StreamResults Results() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
