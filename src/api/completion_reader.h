#pragma once

#include "api/completion_fields.h"
#include "base/error.h"

#include <string>
#include <string_view>

namespace mustardtrail::api
{

/// Reads the fields out of a body in one pass without building a document.
/// Errors are request_malformed with the field at fault in the detail.
result<completion_fields> readCompletion(std::string_view body, completion_kind kind);

/// The prompt text, unescaped, as the engines count it: the prompt, or the contents of all messages in order.
result<std::string> promptText(std::string_view body, completion_kind kind);

} // namespace mustardtrail::api
