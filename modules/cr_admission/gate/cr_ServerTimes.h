#pragma once

#include <map>

#include "cr_core/cr_core.h"

namespace cr {

/** Expected time of each operation in one backend server, from measurement.

    Keeps at most 256 operations; those beyond have no expectation. Not thread
    safe. */
class ServerTimes
{
public:
  /** Takes in the time that a completed call spent in the server. */
  void Learn(const OperationName& aOperation, Duration aTime);

  /** Lowers the expectation a little after a call was refused because of it, so
      that an operation which grew faster again is not refused for ever. */
  void Doubt(const OperationName& aOperation);

  /** Returns the expected time; zero when nothing was measured. */
  Duration Expected(const OperationName& aOperation) const;

private:
  std::map<OperationName, double> m_times;
};

}
