#include "cr_suspects/key/cr_RequestKey.h"

namespace cr {

RequestKey
MakeRequestKey(const RequestId& aRequest, const OperationName& aOperation)
{
  return { aRequest.m_high,
           aRequest.m_low ^ Hash(ToText(aOperation), aRequest.m_high) };
}

RequestKey
MakeContentKey(std::initializer_list<std::string_view> aParts)
{
  RequestKey key{ 1, 2 };
  for (const std::string_view part : aParts) {
    // The seed separates the parts: moving a byte to the next one changes it.
    key.m_high = Hash(part, key.m_high);
    key.m_low = Hash(part, key.m_low);
  }
  return key;
}

}
