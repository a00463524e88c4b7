#pragma once

#include <string>

#include "cr_configuration/cr_configuration.h"

namespace cr {

/** Returns the body with which simulated backend servers answer a request that
    completed: the request identifier and the tree of operations that ran.
    Thread safe. */
std::string
ExpectedAnswer(const Configuration& aConfiguration,
               const OperationName& aOperation,
               const std::string& aRequest);

/** Returns the tree of operations in that body, without the request identifier.
    Thread safe. */
std::string
ExpectedTree(const Configuration& aConfiguration,
             const OperationName& aOperation);

}
