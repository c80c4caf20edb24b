#pragma once

#include "core/deadline.h"
#include "forwarding/quota_messages.h"

#include <optional>

namespace burdockshelf
{

/// One instance's lease on a part of the rate of a workspace's pool. The instance spends it without asking the holder, also while the
/// holder is unreachable, until the lease ends. It holds at most one lease for a workspace, the one of the request that it sent last.
class rate_lease
{
public:
    /// Long enough for a data centre that is cut off for the 5.7 s for which a holder keeps its partition, after a last renewal of up to
    /// renewAfter before.
    static constexpr std::chrono::milliseconds length {7000};
    static constexpr std::chrono::milliseconds renewAfter {1000};

    /// Limits of the workspace in this instance's plan; a lease that was granted for higher ones is cut.
    void setLimits(double workspaceRate, double workspaceBurst, instant now);
    /// Takes over a lease from the response to a request sent at that time. A response to an earlier request than that of the lease held is
    /// ignored.
    void accept(const instance_id &holder, const rate_lease_grant &grant, instant sentAt, instant now);
    bool isHeld(instant now) const;
    /// True when the holder should be asked although the lease covers the cost, so that the lease is renewed and its size adjusted.
    bool isRenewalDue(instant now) const;
    double level(instant now);
    double rate(instant now) const;
    /// The amount must not exceed the level.
    void take(double amount, instant now);
    /// Returns tokens that were taken and not used.
    void refundCost(double amount);
    /// The report for a request to a holder. Gives up the tokens saved beyond the cost of the request, which the lease has to pay if the
    /// holder does not respond, or the whole lease when another holder granted it.
    lease_report report(const instance_id &holder, double cost, instant now);

private:
    void advance(instant now);
    double cut() const;

    std::optional<instance_id> m_holder;
    rate_lease_grant m_grant;
    instant m_sentAt;
    deadline m_until;
    double m_ownRate = 0.0;
    double m_ownBurst = 0.0;
    double m_level = 0.0;
    double m_spent = 0.0;
    instant m_updated;
};

} // namespace burdockshelf
