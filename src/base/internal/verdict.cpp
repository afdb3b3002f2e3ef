#include "base/verdict.h"

namespace mustardtrail
{

std::string_view toString(verdict value)
{
    switch (value) {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

std::optional<verdict> verdictFromString(std::string_view text)
{
    for (const verdict value : { verdict::not_run, verdict::may_have_run, verdict::ran }) {
        if (toString(value) == text) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace mustardtrail
