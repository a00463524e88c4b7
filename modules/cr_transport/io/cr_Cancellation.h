#pragma once

#include <functional>
#include <utility>

namespace cr {

/** A way to cancel something that was started. Copies stand for the same thing;
    one that was built without a function cancels nothing. Thread safe if the
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

  /** Cancels; no effect once the thing has ended. */
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
