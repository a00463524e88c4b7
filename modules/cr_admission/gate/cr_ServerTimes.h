#pragma once

#include <map>

#include "cr_core/cr_core.h"

namespace cr {

/** Expected time of each operation in one backend server, estimated from
    completed calls.

    Keeps at most 256 operations; further ones have no estimate. Not thread
    safe. */
class ServerTimes
{
public:
  /** Records the time that a completed call spent in the server. */
  void RecordTime(const OperationName& aOperation, Duration aTime);

  /** Lowers the estimate by 5 % after a call was refused because of it.
      Otherwise an operation that has become faster would never be called, and
      so never be measured, again. */
  void LowerEstimate(const OperationName& aOperation);

  /** Returns the expected time; zero when the operation was never measured. */
  Duration Expected(const OperationName& aOperation) const;

private:
  std::map<OperationName, double> m_times;
};

}
