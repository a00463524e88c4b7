#include <gtest/gtest.h>

#include "cr_relay_server/report/cr_RelayLog.h"

namespace cr {

namespace {

/* An overloaded node logged only requests, and not that it read late. */
TEST(RelayLog, RequestLinesDoNotDisplaceNodeLines)
{
  testing::internal::CaptureStdout();
  {
    RelayLog log("host-1");
    for (int line = 0; line < 1000; ++line) {
      log.Write("refuse", "request-1", "");
    }
    log.Flush();
    log.Write("late-read", "\"delay_ms\":500");
    log.Flush();
    EXPECT_GT(log.LostLines(), 0U);
  }
  const std::string output = testing::internal::GetCapturedStdout();
  EXPECT_NE(output.find("\"event\":\"late-read\",\"delay_ms\":500"),
            std::string::npos);
}

}

}
