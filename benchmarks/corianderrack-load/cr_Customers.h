#pragma once

#include <memory>

#include "cr_Arrivals.h"
#include "cr_LoadResult.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Most requests that customers have open at once; further arrivals end with
    no answer and without a try. */
inline constexpr std::size_t kOpenRequestLimit = 20000;

/** Customers: each sends one request to a random node, checks the answer and
    resends as far as the scenario allows. All methods are thread safe. */
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
  /** Sets the time that arrivals are counted from. */
  void Begin(Instant aStart);

  /** Sends an arrival's request. */
  void Start(const Arrival& aArrival);

  /** From now on resend at once, with so many tries; nothing: as usual. */
  void SetStorm(std::optional<std::uint32_t> aTries);

  //==========================================================================
  /** Returns the number of requests that have not ended. */
  std::size_t Open() const;

  /** Returns the results so far. */
  StreamResults Results() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
