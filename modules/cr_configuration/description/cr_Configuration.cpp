#include "cr_configuration/description/cr_Configuration.h"

namespace cr {

namespace {

/* Added to the derived attempt budget, so that an operation that makes no calls
   can be retried too. */
constexpr std::uint32_t kSpareAttempts = 2;

}

const OperationDescription*
Configuration::Find(const OperationName& aName) const
{
  const auto service = m_services.find(aName.m_service);
  if (service == m_services.end()) {
    return nullptr;
  }
  const auto& operations = service->second.m_operations;
  const auto operation = operations.find(aName.m_operation);
  return operation == operations.end() ? nullptr : &operation->second;
}

std::uint32_t
Configuration::FirstAttempts(const OperationName& aName) const
{
  const auto treeSize = m_callTreeSizes.find(aName);
  return treeSize == m_callTreeSizes.end() ? 1
                                           : treeSize->second.m_firstAttempts;
}

std::uint32_t
Configuration::AttemptBudget(const OperationName& aName) const
{
  const OperationDescription* operation = Find(aName);
  if (operation != nullptr && operation->m_attempts != 0) {
    return operation->m_attempts;
  }
  const std::uint32_t firstAttempts = FirstAttempts(aName);
  return firstAttempts + firstAttempts / 2 + kSpareAttempts;
}

}
