#pragma once

namespace mustardtrail::request
{

struct retry_budget_options {
    double share = 0.1; ///< Retries allowed per first attempt.
    double burst = 100.0; ///< Capacity of the bucket, in retries.
};

/// Token bucket that limits retries to a share of first attempts.
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
