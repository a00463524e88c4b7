#include <gtest/gtest.h>

#include "cr_suspects/cr_suspects.h"

namespace cr {

namespace {

TEST(ContentKey, DependsOnEachPart)
{
  const RequestKey key = MakeContentKey({ "shop", "GET", "/a", "body" });
  EXPECT_EQ(MakeContentKey({ "shop", "GET", "/a", "body" }), key);
  EXPECT_NE(MakeContentKey({ "shop", "POST", "/a", "body" }), key);
  EXPECT_NE(MakeContentKey({ "shop", "GET", "/b", "body" }), key);
  EXPECT_NE(MakeContentKey({ "shop", "GET", "/a", "" }), key);
  EXPECT_NE(MakeContentKey({ "shop", "GET", "/ab", "ody" }), key);
}

}

}
