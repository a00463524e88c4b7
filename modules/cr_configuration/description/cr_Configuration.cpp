#include "cr_configuration/description/cr_Configuration.h"

namespace cr {

namespace {

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
Configuration::FirstTries(const OperationName& aName) const
{
  const auto demand = m_demands.find(aName);
  return demand == m_demands.end() ? 1 : demand->second.m_firstTries;
}

std::uint32_t
Configuration::AttemptTotal(const OperationName& aName) const
{
  const OperationDescription* operation = Find(aName);
  if (operation != nullptr && operation->m_attempts != 0) {
    return operation->m_attempts;
  }
  const std::uint32_t firstTries = FirstTries(aName);
  return firstTries + firstTries / 2 + kSpareAttempts;
}

}
