#include "server_stand_in/server/cr_ExpectedAnswer.h"

namespace cr {

std::string
ExpectedTree(const Configuration& aConfiguration,
             const OperationName& aOperation)
{
  std::string tree = ToText(aOperation);
  const OperationDescription* operation = aConfiguration.Find(aOperation);
  if (operation == nullptr || operation->m_calls.empty()) {
    return tree;
  }
  tree += '(';
  for (const CalledOperation& call : operation->m_calls) {
    tree += ExpectedTree(aConfiguration, call.m_name);
    tree += ';';
  }
  return tree + ')';
}

std::string
ExpectedAnswer(const Configuration& aConfiguration,
               const OperationName& aOperation,
               const std::string& aRequest)
{
  return aRequest + ' ' + ExpectedTree(aConfiguration, aOperation);
}

}
