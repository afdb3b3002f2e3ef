#pragma once

#include "base/error.h"

#include <string>

namespace mustardtrail::gateway
{

/// What the operator of a gateway sets apart from the platform's settings; may change while the gateway runs.
struct operator_policy {
    double secondCopyLimit = 0.0; ///< Work of second copies as a share of the requests' work, 0 to 0.2; 0: no copies.
};

/// Reads the policy from an INI file. Unknown, duplicate and malformed keys are errors, all named in the detail.
result<operator_policy> readPolicyFile(const std::string &fileName);

} // namespace mustardtrail::gateway
