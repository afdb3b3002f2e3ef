#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/second_send_loans.h"

#include <deque>
#include <map>

namespace mustardtrail::gateway
{

/// Limit on the sends beyond the first of each request, for each service over the whole fleet.
struct resend_limits {
    double ratio = 0.0; ///< Resends per request in the window.
    std::chrono::milliseconds window{ 10'000 };
    double slack = 0.0; ///< Resends that the fleet may always make in a window.
};

/// This instance's share of the limit: the ratio applies to its own requests, the slack is divided by the known
/// instances. Keeps resends from overloading failing servers further, also when instances cannot reach each other. A
/// restarted instance has little slack for one window: after a restart of the whole fleet no instance has a record of
/// its earlier resends, nor at first of the number of other instances.
///
/// An instance that has not used half of its share lends the rest of this half. What it lends it does not use itself, so no
/// second send is ever taken twice, whatever becomes of the loan.
class resend_budget
{
public:
    /// Why a request is sent again.
    enum class cause {
        refused, ///< It has not run; the caller could be asked to retry later.
        silent, ///< Its server may be lost or may only pause; leaves room for those whose server is lost.
        interrupted, ///< It may have run and is otherwise lost to the caller; may use the whole share, and loans.
        copy, ///< It is slow and runs elsewhere too; only what resends have left of half of what the share will surely be.
    };

    /// A resend that was taken.
    struct ticket {
        service_key service = 0;
        cause why = cause::refused;
        time_point takenAt{};
        std::optional<std::uint32_t> borrowed; ///< Number of the ask, if it was borrowed.
    };

    resend_budget(resend_limits limits, time_point slackFrom);
    /// When an instance that starts again has its full slack: until then resends and loans that it does not know may count.
    static time_point slackAfterRestart(const resend_limits &limits, time_point now);

    void countRequest(const service_id &service, time_point now);
    /// Whether the own share has room for a resend.
    bool hasRoom(const service_id &service, cause why, time_point now, size_t instances);
    /// Counts a resend if there is room for it, or a loan.
    std::optional<ticket> tryTake(const service_id &service, cause why, time_point now, size_t instances);
    /// Takes back the count of a resend that reached no server.
    void giveBack(const ticket &taken, time_point now);

    /// Lends to the instance that asks, or returns nothing. `borrower` is the incarnation of its process.
    std::optional<second_send_loan> lend(const second_send_ask &ask, std::uint64_t borrower, size_t instances, time_point now);
    second_send_loans &borrowed();

private:
    struct lent_part {
        time_point until; ///< No window after this time holds a resend that was made with it.
        double sends = 0.0;
    };

    struct service_window {
        std::deque<time_point> requests;
        std::deque<time_point> resends;
        std::deque<time_point> copies;
        std::deque<lent_part> lent;
    };

    void dropExpired(service_window &window, time_point now) const;
    double slackShare(time_point now, size_t instances) const;
    double shareFor(double requests, time_point now, size_t instances) const;
    static double lentSends(const service_window &window);

    resend_limits m_limits;
    time_point m_slackFrom;
    std::map<service_key, service_window> m_services;
    second_send_loans m_borrowed;
};

} // namespace mustardtrail::gateway
