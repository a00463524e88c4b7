#include <gtest/gtest.h>

#include "cr_HtmlReport.h"
#include "cr_SvgPlot.h"

namespace cr {

namespace {

TEST(MeasureLine, ParsesOnlyCompleteLines)
{
  const auto lines = ParseMeasureLines("goodput 98.5 % >=90 pass\n"
                                       "a sentence that ends in fail\n"
                                       "recovery 2100 ms <=2000 fail\n"
                                       "recovery 2100 ms <=2000 fail again\n");
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[0].m_name, "goodput");
  EXPECT_TRUE(lines[0].m_pass);
  EXPECT_DOUBLE_EQ(lines[1].m_value, 2100);
  EXPECT_FALSE(lines[1].m_pass);
}

TEST(HtmlReport, ShowsFailuresAndBothPolicies)
{
  const auto lines = ParseMeasureLines("goodput.full.2x 98 % >=90 pass\n"
                                       "goodput.naive.2x 40 % none fail\n"
                                       "bad<name> 1 runs <=0 fail\n");
  const std::string page = WriteHtmlReport(lines, {});
  EXPECT_NE(page.find("<tr class='fail'><td>bad&lt;name&gt;</td>"),
            std::string::npos);
  EXPECT_NE(page.find(">goodput.full.2x (%)</text>"), std::string::npos);
  EXPECT_EQ(page.find("No experiment printed"), std::string::npos);
}

}

}
