#include "cr_transport/memory/cr_MemoryAccount.h"

#include <algorithm>
#include <utility>

namespace cr {

namespace {

constexpr std::uint64_t kMebibyte = std::uint64_t{ 1024 } * 1024;
/* Program, libraries, connections without requests, logs and the state of the
   decisions. */
constexpr std::uint64_t kFixedBytes = 32 * kMebibyte;
/* Of the rest; what is left is for the heap's own overhead. */
constexpr double kHeldShare = 0.75;
constexpr double kMinHeldShare = 0.25;

/* A request without a body or with a short one. */
constexpr std::uint64_t kMaxSmallBytes = std::uint64_t{ 16 } * 1024;
constexpr std::uint64_t kMaxMediumBytes = std::uint64_t{ 64 } * 1024;
/* Max parts of a small limit that a small or a medium holder may have. */
constexpr std::uint64_t kSmallDivisor = 1024;
constexpr std::uint64_t kMediumDivisor = 256;
constexpr double kMediumShare = 0.85;
constexpr double kLargeShare = 0.7;
constexpr double kStepwiseShare = 0.25;

std::uint64_t
ShareOf(std::uint64_t aLimit, double aShare)
{
  return static_cast<std::uint64_t>(static_cast<double>(aLimit) * aShare);
}

void
Call(const std::vector<std::function<void()>>& aCallbacks)
{
  for (const auto& callback : aCallbacks) {
    callback();
  }
}

}

MemoryAccount::MemoryAccount(std::uint64_t aLimit)
  : m_limit(aLimit)
  , m_smallBytes(std::min(kMaxSmallBytes, aLimit / kSmallDivisor))
  , m_mediumBytes(std::min(kMaxMediumBytes, aLimit / kMediumDivisor))
{
}

std::uint64_t
MemoryAccount::LimitForProcess(std::uint64_t aMemoryBytes)
{
  const std::uint64_t rest = aMemoryBytes - std::min(aMemoryBytes, kFixedBytes);
  return std::max(ShareOf(rest, kHeldShare),
                  ShareOf(aMemoryBytes, kMinHeldShare));
}

std::uint64_t
MemoryAccount::LimitFor(std::uint64_t aBytes, MemoryGrowth aGrowth) const
{
  if (IsLarge(aBytes)) {
    return ShareOf(
      m_limit, aGrowth == MemoryGrowth::Whole ? kLargeShare : kStepwiseShare);
  }
  return aBytes > m_smallBytes ? ShareOf(m_limit, kMediumShare) : m_limit;
}

std::uint64_t
MemoryAccount::LargestHolder() const
{
  return ShareOf(m_limit, kLargeShare);
}

std::uint64_t
MemoryAccount::Held() const
{
  const std::lock_guard lock(m_mutex);
  return m_held;
}

std::uint64_t
MemoryAccount::Peak() const
{
  const std::lock_guard lock(m_mutex);
  return m_peak;
}

std::uint64_t
MemoryAccount::Shortages() const
{
  const std::lock_guard lock(m_mutex);
  return m_shortages;
}

bool
MemoryAccount::HasRoom(const Waiter& aWaiter,
                       Ticket aTicket,
                       std::uint64_t aGranted) const
{
  const bool isFirst = aTicket != 0 && aTicket == m_first;
  const std::uint64_t limit = isFirst
                                ? ShareOf(m_limit, kMediumShare)
                                : LimitFor(aWaiter.m_wanted, aWaiter.m_growth);
  return m_held + aGranted + aWaiter.m_wanted <= limit + aWaiter.m_bytes;
}

bool
MemoryAccount::TryGrow(const Waiter& aWaiter, Ticket aTicket)
{
  const std::lock_guard lock(m_mutex);
  if ((aTicket == 0 && MustQueue(aWaiter)) || !HasRoom(aWaiter, aTicket)) {
    ++m_shortages;
    return false;
  }
  m_held += aWaiter.m_wanted - aWaiter.m_bytes;
  m_peak = std::max(m_peak, m_held);
  return true;
}

void
MemoryAccount::Change(std::uint64_t aBytes, std::uint64_t aWanted)
{
  std::vector<Callback> ready;
  {
    const std::lock_guard lock(m_mutex);
    m_held -= aBytes;
    m_held += aWanted;
    m_peak = std::max(m_peak, m_held);
    if (aWanted < aBytes) {
      ready = TakeReady();
    }
  }
  Call(ready);
}

MemoryAccount::Ticket
MemoryAccount::Wait(Ticket aTicket, Waiter&& aWaiter)
{
  std::vector<Callback> ready;
  Ticket ticket = aTicket;
  {
    const std::lock_guard lock(m_mutex);
    if (ticket == 0) {
      ticket = ++m_lastTicket;
    }
    m_waiting.insert_or_assign(ticket, std::move(aWaiter));
    ChooseFirst();
    ready = TakeReady();
  }
  Call(ready);
  return ticket;
}

void
MemoryAccount::Leave(Ticket aTicket)
{
  std::vector<Callback> ready;
  {
    const std::lock_guard lock(m_mutex);
    m_waiting.erase(aTicket);
    if (m_first == aTicket) {
      m_first = 0;
      ChooseFirst();
    }
    ready = TakeReady();
  }
  Call(ready);
}

void
MemoryAccount::ChooseFirst()
{
  if (m_first != 0) {
    return;
  }
  const auto large = std::find_if(
    m_waiting.begin(), m_waiting.end(), [this](const auto& aWaiter) {
      return IsLarge(aWaiter.second.m_wanted);
    });
  m_first = large != m_waiting.end() ? large->first : 0;
}

/* Returns whether a large holder waits that may not be overtaken. Holders that
   grow in steps have a lower limit, so others don't wait for them. */
bool
MemoryAccount::MustQueue(const Waiter& aWaiter) const
{
  return IsLarge(aWaiter.m_wanted) &&
         std::any_of(
           m_waiting.begin(), m_waiting.end(), [&](const auto& aOther) {
             return IsLarge(aOther.second.m_wanted) &&
                    (aOther.second.m_growth == MemoryGrowth::Whole ||
                     aWaiter.m_growth == MemoryGrowth::Stepwise);
           });
}

/* Returns the callbacks of the waiting holders that fit together. A large one
   that doesn't fit is not overtaken by others with its limit or a lower one. */
std::vector<MemoryAccount::Callback>
MemoryAccount::TakeReady()
{
  std::vector<Callback> ready;
  std::uint64_t granted = 0;
  bool isWholeBlocked = false;
  bool isStepwiseBlocked = false;
  for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
    Waiter& waiter = waiting->second;
    const bool isLarge = IsLarge(waiter.m_wanted);
    const bool isWhole = waiter.m_growth == MemoryGrowth::Whole;
    if ((isLarge && (isWhole ? isWholeBlocked : isStepwiseBlocked)) ||
        !HasRoom(waiter, waiting->first, granted)) {
      isWholeBlocked |= isLarge && isWhole;
      isStepwiseBlocked |= isLarge;
      ++waiting;
      continue;
    }
    granted += waiter.m_wanted - waiter.m_bytes;
    ready.push_back(std::move(waiter.m_onRoom));
    waiting = m_waiting.erase(waiting);
  }
  return ready;
}

//==============================================================================
MemoryReservation::MemoryReservation(std::shared_ptr<MemoryAccount> aAccount)
  : m_account(std::move(aAccount))
{
}

MemoryReservation::MemoryReservation(MemoryReservation&& aOther) noexcept
  : m_account(std::move(aOther.m_account))
  , m_bytes(std::exchange(aOther.m_bytes, 0))
  , m_ticket(std::exchange(aOther.m_ticket, 0))
{
}

MemoryReservation&
MemoryReservation::operator=(MemoryReservation&& aOther) noexcept
{
  std::swap(m_account, aOther.m_account);
  std::swap(m_bytes, aOther.m_bytes);
  std::swap(m_ticket, aOther.m_ticket);
  return *this;
}

MemoryReservation::~MemoryReservation()
{
  Settle(0);
}

bool
MemoryReservation::TryResize(std::uint64_t aBytes, MemoryGrowth aGrowth)
{
  if (m_account && aBytes > m_bytes) {
    if (!m_account->TryGrow({ m_bytes, aBytes, aGrowth, {} }, m_ticket)) {
      return false;
    }
    m_bytes = aBytes;
    return true;
  }
  Resize(aBytes);
  return true;
}

void
MemoryReservation::Resize(std::uint64_t aBytes)
{
  const std::uint64_t before = std::exchange(m_bytes, aBytes);
  if (m_account && before != aBytes) {
    m_account->Change(before, aBytes);
  }
}

void
MemoryReservation::WaitForRoom(std::uint64_t aBytes,
                               MemoryGrowth aGrowth,
                               std::function<void()> aOnRoom)
{
  if (!m_account) {
    aOnRoom();
    return;
  }
  m_ticket =
    m_account->Wait(m_ticket, { m_bytes, aBytes, aGrowth, std::move(aOnRoom) });
}

void
MemoryReservation::Settle(std::uint64_t aBytes)
{
  LeaveQueue();
  Resize(aBytes);
}

void
MemoryReservation::LeaveQueue()
{
  if (m_ticket != 0) {
    m_account->Leave(std::exchange(m_ticket, 0));
  }
}

}
