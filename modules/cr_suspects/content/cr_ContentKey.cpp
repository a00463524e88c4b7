#include "cr_suspects/content/cr_ContentKey.h"

namespace cr {

ContentKey
MakeContentKey(std::initializer_list<std::string_view> aParts)
{
  ContentKey key{ 1, 2 };
  for (const std::string_view part : aParts) {
    // The seed separates the parts: moving a byte to the next one changes it.
    key.m_high = Hash(part, key.m_high);
    key.m_low = Hash(part, key.m_low);
  }
  return key;
}

}
