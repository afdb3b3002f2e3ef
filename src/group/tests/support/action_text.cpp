#include "group/tests/support/action_text.h"

#include "group/tests/support/fleet.h"

#include <sstream>

namespace mustardtrail::group::testing
{

namespace
{

std::string stamp(time_point when)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(when - testStart).count()) + "ms";
}

std::ostream &operator<<(std::ostream &out, const engine_call &call)
{
    return out << " backend=" << call.backend << " group=" << engineGroupOf(call.key) << " sequence=" << call.sequence
               << " fencing=" << call.fencingNumber << " deadline=" << stamp(call.deadline) << " not_after=" << stamp(call.notAfter);
}

void write(std::ostream &out, const reserve_at_owner &action)
{
    const reserve_request &request = action.request;
    out << "reserve_at_owner instance=" << action.instance << " backend=" << request.backend << " group=" << engineGroupOf(request.key)
        << " sequence=" << request.sequence << " tokens=" << request.tokens << " lease=" << request.lease.count()
        << "ms deadline=" << stamp(action.deadline);
}

void write(std::ostream &out, const release_at_owner &action)
{
    out << "release_at_owner instance=" << action.instance << " backend=" << action.request.backend
        << " group=" << engineGroupOf(action.request.key);
}

void write(std::ostream &out, const kv_reserve &action)
{
    out << "kv_reserve" << action.call << " tokens=" << action.tokens << " lease=" << action.lease.count() << "ms";
}

void write(std::ostream &out, const kv_prefill &action)
{
    out << "kv_prefill" << action.call << " index=" << action.index << " of=" << action.of << " first=" << action.firstToken
        << " tokens=" << action.tokens << " previous=" << action.previousDigest << " lease=" << action.lease.count() << "ms";
}

void write(std::ostream &out, const kv_export &action)
{
    out << "kv_export" << action.call;
}

void write(std::ostream &out, const kv_import &action)
{
    out << "kv_import" << action.call << " ticket=" << action.ticket << " digest=" << action.digest << " lease=" << action.lease.count()
        << "ms";
}

void write(std::ostream &out, const kv_release &action)
{
    out << "kv_release" << action.call;
}

void write(std::ostream &out, const start_completion &action)
{
    out << "start_completion attempt=" << action.work.attempt << " owner=" << action.owner << action.call << " digest=" << action.digest;
}

void write(std::ostream &out, const cancel_completion &action)
{
    out << "cancel_completion attempt=" << action.attempt << " owner=" << action.owner << " backend=" << action.backend;
}

void write(std::ostream &out, const fail_group &action)
{
    out << "fail_group attempt=" << action.attempt << " code=" << toString(action.failure.code)
        << " verdict=" << toString(action.failure.outcome);
    if (action.failure.retryAfter) {
        out << " retry_after=" << action.failure.retryAfter->count() << "ms";
    }
}

} // namespace

std::string actionText(const group_action &action)
{
    std::ostringstream out;
    out << "  ";
    std::visit(
        [&](const auto &value) {
            write(out, value);
        },
        action);
    out << "\n";
    return out.str();
}

} // namespace mustardtrail::group::testing
