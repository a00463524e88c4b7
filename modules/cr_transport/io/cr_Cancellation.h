#pragma once

#include <functional>
#include <utility>

namespace cr {

/** Handle that cancels an asynchronous operation. Copies refer to the same
    operation; a default-constructed handle cancels nothing. Thread safe if the
    function is. */
class Cancellation
{
public:
  Cancellation() = default;
  /** Wraps the function that cancels. */
  explicit Cancellation(std::function<void()> aCancel)
    : m_cancel(std::move(aCancel))
  {
  }

  /** Cancels the operation; no effect once it has ended. */
  void Cancel() const
  {
    if (m_cancel) {
      m_cancel();
    }
  }

private:
  std::function<void()> m_cancel;
};

}
