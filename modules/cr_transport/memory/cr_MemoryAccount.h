#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace cr {

class MemoryReservation;

/** How a holder grows to its final size. */
enum class MemoryGrowth
{
  /** In one step, as the size is known. */
  Whole,
  /** In steps, as the size isn't known. */
  Stepwise
};

/** Account of the bytes that a process holds for its peers: heads and bodies of
    requests and responses, and receive buffers. The larger a holder, the
    smaller the part of the limit up to which it may grow, so that some room is
    always left for small requests. All methods are thread safe.

    @see MemoryReservation */
class MemoryAccount
{
public:
  /** Creates an account of the given bytes. */
  explicit MemoryAccount(std::uint64_t aLimit);

  //==========================================================================
  /** Returns the limit of an account for a process that may use aMemoryBytes,
      programs, libraries, connections and kept state included. */
  static std::uint64_t LimitForProcess(std::uint64_t aMemoryBytes);

  /** Returns how many bytes all holders together may have when one grows to
      aBytes. */
  std::uint64_t LimitFor(std::uint64_t aBytes, MemoryGrowth aGrowth) const;

  /** Returns how many bytes the largest holder may have. */
  std::uint64_t LargestHolder() const;

  /** Returns the limit. */
  std::uint64_t Limit() const { return m_limit; }

  /** Returns the bytes held now. */
  std::uint64_t Held() const;

  /** Returns the most bytes that were held at once. */
  std::uint64_t Peak() const;

  /** Returns how often a holder had no room to grow. */
  std::uint64_t Shortages() const;

private:
  friend class MemoryReservation;

  using Ticket = std::uint64_t;
  using Callback = std::function<void()>;

  struct Waiter
  {
    std::uint64_t m_bytes = 0;
    std::uint64_t m_wanted = 0;
    MemoryGrowth m_growth = MemoryGrowth::Whole;
    Callback m_onRoom;
  };

  bool IsLarge(std::uint64_t aBytes) const { return aBytes > m_mediumBytes; }
  bool MustQueue(const Waiter& aWaiter) const;
  bool TryGrow(const Waiter& aWaiter, Ticket aTicket);
  void Change(std::uint64_t aBytes, std::uint64_t aWanted);
  Ticket Wait(Ticket aTicket, Waiter&& aWaiter);
  void Leave(Ticket aTicket);
  bool HasRoom(const Waiter& aWaiter,
               Ticket aTicket,
               std::uint64_t aGranted = 0) const;
  void ChooseFirst();
  std::vector<Callback> TakeReady();

  const std::uint64_t m_limit;
  const std::uint64_t m_smallBytes;
  const std::uint64_t m_mediumBytes;
  mutable std::mutex m_mutex;
  std::uint64_t m_held = 0;
  std::uint64_t m_peak = 0;
  std::uint64_t m_shortages = 0;
  Ticket m_lastTicket = 0;
  /* The large holder that has waited longest may use a part of the limit that
     others of its size may not: holders that grow in steps and each wait for
     their next one would block each other. */
  Ticket m_first = 0;
  /* In the order of arrival. */
  std::map<Ticket, Waiter> m_waiting;
};

/** Bytes of one holder in an account, released on destruction. Not thread safe;
    different reservations of an account may be used concurrently. */
class MemoryReservation
{
public:
  /** A reservation without an account, which has no limit. */
  MemoryReservation() = default;
  /** An empty reservation in the account. */
  explicit MemoryReservation(std::shared_ptr<MemoryAccount> aAccount);
  MemoryReservation(MemoryReservation&& aOther) noexcept;
  MemoryReservation& operator=(MemoryReservation&& aOther) noexcept;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  /** Releases the bytes; a callback of WaitForRoom() is no longer called,
      unless it is being called. */
  ~MemoryReservation();

  //==========================================================================
  /** Resizes the reservation. Returns false without an effect if it would grow
      and the account has no room. */
  bool TryResize(std::uint64_t aBytes,
                 MemoryGrowth aGrowth = MemoryGrowth::Whole);

  /** Resizes the reservation, also beyond the limit: for bytes that are held
      already. */
  void Resize(std::uint64_t aBytes);

  /** Calls the function once when the account may have room for the size, on
      any thread. Holders that wait come before those that don't. */
  void WaitForRoom(std::uint64_t aBytes,
                   MemoryGrowth aGrowth,
                   std::function<void()> aOnRoom);

  /** Resizes like Resize(), for a holder that will not grow any more. */
  void Settle(std::uint64_t aBytes);

  //==========================================================================
  /** Returns the reserved bytes. */
  std::uint64_t Bytes() const { return m_bytes; }

private:
  void LeaveQueue();

  std::shared_ptr<MemoryAccount> m_account;
  std::uint64_t m_bytes = 0;
  /* 0 unless it has waited. */
  MemoryAccount::Ticket m_ticket = 0;
};

/** Reservation of the memory of a message, shared by its copies. */
using MessageMemory = std::shared_ptr<const MemoryReservation>;

}
