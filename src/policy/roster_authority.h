#pragma once

#include "core/outcome.h"
#include "core/random_source.h"
#include "policy/decision_authority.h"
#include "policy/peer_message.h"
#include "state/snapshot.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// Durations used by the rules of ownership. All instances of a fleet must use the same values.
struct roster_settings
{
    boot_clock::duration lease = std::chrono::seconds(3);
    boot_clock::duration takeoverWait = std::chrono::hours(2);
    /// Maximum duration of a token loan. A leaving member waits for this time before it proposes to leave.
    boot_clock::duration loan = std::chrono::seconds(1);
    /// How long the instance list must show a difference before a roster change is proposed, since the list lags.
    boot_clock::duration listStabilityPeriod = std::chrono::seconds(2);
    /// Pause between two attempts of the same append, or between two freshness requests.
    boot_clock::duration retryInterval = std::chrono::milliseconds(500);
};

/// Event: replay has arrived at this roster of the local data centre.
struct roster_replayed
{
    log_offset covered;
    roster_state roster;
};

/// Event: the log answered a read. The read counts once replay covers everything that was in the log at that time.
struct roster_log_read
{
    instant sentAt;
    log_offset head;
};

/// Event: the log did not answer a read.
struct roster_log_unreachable
{
};

/// Event: a peer responded to a freshness request.
struct roster_peer_freshness
{
    instance_id from;
    instant askedAt;
    peer_freshness_response answer;
};

/// Event: a peer requests freshness.
struct roster_freshness_requested
{
    roster_epoch epoch;
    /// Pledges are useful only to members of the same roster, and they delay proposals of the member that gives them.
    bool isSameDataCentre = true;
};

/// Event: a new instance list of the platform.
struct roster_instances_listed
{
    /// Instances of the local data centre that are live and not leaving.
    std::vector<roster_member> joinable;
    /// All instances of the local data centre.
    std::vector<roster_member> present;
    /// Instances of other data centres that may relay the freshness of their reads.
    std::vector<instance_id> relays;
};

/// Event: this instance is shutting down.
struct roster_leave
{
};

/// Event: time has passed.
struct roster_tick
{
};

using roster_event = std::variant<roster_replayed,
                                  roster_log_read,
                                  roster_log_unreachable,
                                  roster_peer_freshness,
                                  roster_freshness_requested,
                                  roster_instances_listed,
                                  roster_leave,
                                  roster_tick>;

/// Action: append the record to the log. An id that was used before repeats the same record.
struct roster_append
{
    record_id id;
    log_record record;
};

struct roster_request_freshness
{
    instance_id to;
    peer_freshness_request ask;
};

/// Action: respond to the peer that requested freshness; no value is a refusal.
struct roster_respond_freshness
{
    std::optional<peer_freshness_response> answer;
};

/// Action: report that this instance is no longer in a roster and may stop.
struct roster_left
{
};

using roster_action = std::variant<roster_append, roster_request_freshness, roster_respond_freshness, roster_left>;

/// Determines whether this instance may make decisions for its data centre, and which roster changes it proposes. Authority is a lease that
/// starts when a read of the log is sent, by this instance or by a peer that relays it, or it rests on the pledges of all other members. A
/// proposal stays undecided until replay has passed its epoch, whatever the result of the append, since a copy of the record may still be
/// in flight.
class roster_authority
{
public:
    roster_authority(data_centre_id dataCentre, roster_member self, roster_settings settings);

    std::vector<roster_action> handle(const roster_event &event, instant now, random_source &random);

    decision_authority authority() const;
    /// True if the last replayed roster contains this incarnation.
    bool isMember() const;

private:
    using actions = std::vector<roster_action>;

    struct proposal
    {
        record_id id;
        log_record record;
        roster_epoch base;
        deadline retryAt;
    };

    /// Proof that at an instant the log contained nothing from the head offset on.
    struct freshness_proof
    {
        instant at;
        log_offset head;
        bool isOwn = false;
    };

    void on(const roster_replayed &replayed, instant now, actions &out);
    void on(const roster_log_read &read, instant now, actions &out);
    void on(const roster_log_unreachable &lost, instant now, actions &out);
    void on(const roster_peer_freshness &freshness, instant now, actions &out);
    void on(const roster_freshness_requested &requested, instant now, actions &out);
    void on(const roster_instances_listed &listed, instant now, actions &out);
    void on(const roster_leave &leave, instant now, actions &out);
    void on(const roster_tick &tick, instant now, actions &out);

    void beginEpoch(const roster_state &next, instant now);
    bool isGracefulLeave(const roster_state &next) const;
    void recordRemovedMembers(const roster_state &next, instant now);
    void addFreshnessProof(const freshness_proof &proof);
    void applyFreshnessProofs();
    void applyPledges(instant now);
    bool canRelay(instant now) const;
    bool canPledge(roster_epoch requested) const;
    void requestPeerFreshness(instant now, actions &out);
    void propose(instant now, random_source &random, actions &out);
    std::optional<log_record> recordToPropose(instant now);
    /// For an instance without a valid membership: it is not in the roster, or the roster was reset.
    std::optional<log_record> recordToProposeAsNonMember(instant now);
    std::optional<log_record> recordToProposeAsMember(instant now);
    bool hasListDifferedFor(boot_clock::duration span, instant now);
    boot_clock::duration proposalDelay(const std::vector<roster_member> &proposers) const;
    roster_change makeRosterChange(std::vector<roster_member> members) const;
    std::vector<roster_member> listedMembers(instant now) const;

    data_centre_id m_dataCentre;
    roster_member m_self;
    roster_settings m_settings;

    roster_state m_roster;
    bool m_hasRoster = false;
    log_offset m_covered {-1};
    std::vector<freshness_proof> m_freshnessProofs;
    deadline m_until;
    deadline m_exclusiveFrom;
    // Time of the last read by this instance that counted. The age reported to peers is measured from here.
    std::optional<instant> m_lastOwnRead;
    bool m_isLogUnreachable = false;
    // Authority by pledges ends at this deadline: takeoverWait after the last proof that showed no takeover.
    deadline m_pledgeAuthorityLimit;
    std::map<instance_id, deadline> m_pledges;
    deadline m_pledgedUntil;
    deadline m_nextFreshnessRequestAt;
    std::optional<proposal> m_proposal;
    std::optional<instant> m_takeoverReadAt;
    std::optional<instant> m_resetReadAt;
    roster_instances_listed m_instanceList;
    std::optional<instant> m_listDiffersSince;
    std::map<incarnation_id, deadline> m_removedMembers;
    std::optional<deadline> m_proposeLeaveAt;
    bool m_hasLeft = false;
};

} // namespace burdockshelf
