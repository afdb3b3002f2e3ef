#pragma once

namespace mustardtrail::request
{

struct retry_budget_options {
    double share = 0.1; ///< Further attempts allowed per first attempt.
    double burst = 100.0; ///< Further attempts that may be saved up.
};

/// Token bucket that holds further attempts to a share of first attempts.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options);

    void onFirstAttempt();
    bool trySpend();
    double left() const;

private:
    retry_budget_options m_options;
    double m_left;
};

} // namespace mustardtrail::request
