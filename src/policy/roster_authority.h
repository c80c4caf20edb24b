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

/// Durations that the rules of ownership need. All instances of a fleet must use the same values.
struct roster_settings
{
    boot_clock::duration lease = std::chrono::seconds(3);
    boot_clock::duration takeoverWait = std::chrono::hours(2);
    /// Longest loan of tokens; a leaving member waits it out before it proposes its leave.
    boot_clock::duration loan = std::chrono::seconds(1);
    /// How long the instance list has to show a difference before a change is proposed; the list lags.
    boot_clock::duration listPatience = std::chrono::seconds(2);
    /// Pause between two tries of one append or two asks for freshness.
    boot_clock::duration retry = std::chrono::milliseconds(500);
};

/// Replay has led to this roster of the own data centre.
struct roster_replayed
{
    log_offset covered;
    roster_state roster;
};

/// The log answered a read. It counts once replay covers all that was in the log then.
struct roster_log_read
{
    instant sentAt;
    log_offset head;
};

/// The log did not answer a read.
struct roster_log_unreachable
{
};

/// A peer's answer to an ask for freshness.
struct roster_peer_freshness
{
    instance_id from;
    instant askedAt;
    peer_freshness_response answer;
};

/// A peer asks for freshness.
struct roster_freshness_requested
{
    roster_epoch epoch;
    /// Pledges are only of use to members of the same roster, and hold back proposals here.
    bool isSameDataCentre = true;
};

/// What the platform lists.
struct roster_instances_listed
{
    /// Instances of the own data centre that are live and not leaving.
    std::vector<roster_member> joinable;
    /// All instances of the own data centre.
    std::vector<roster_member> present;
    /// Instances elsewhere that may relay the freshness of their reads.
    std::vector<instance_id> relays;
};

/// This instance shuts down.
struct roster_leave
{
};

/// Time has passed.
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

/// Append the record; with an id that was used before, the same record again.
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

/// The answer to the peer that asked; none is a refusal.
struct roster_respond_freshness
{
    std::optional<peer_freshness_response> answer;
};

/// This instance is in no roster any more and may stop.
struct roster_left
{
};

using roster_action = std::variant<roster_append, roster_request_freshness, roster_respond_freshness, roster_left>;

/// Decides whether this instance may decide for its data centre, and which changes of the roster it proposes. Authority is a lease from the
/// sending time of a read of the log, own or relayed, or rests on the pledges of all other members. A proposal stays undecided until replay
/// has passed its epoch, whatever the append's result says, since a copy may still be on its way.
class roster_authority
{
public:
    roster_authority(data_centre_id dataCentre, roster_member self, roster_settings settings);

    std::vector<roster_action> handle(const roster_event &event, instant now, random_source &random);

    decision_authority authority() const;
    /// True when the last roster seen names this incarnation.
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

    /// Proof that the log held nothing beyond an offset at an instant.
    struct contact
    {
        instant at;
        log_offset head;
        bool isOwn = false;
    };

    void on(const roster_replayed &replayed, instant now, actions &out);
    void on(const roster_log_read &read, instant now, actions &out);
    void on(const roster_log_unreachable &lost, instant now, actions &out);
    void on(const roster_peer_freshness &freshness, instant now, actions &out);
    void on(const roster_freshness_requested &asked, instant now, actions &out);
    void on(const roster_instances_listed &listed, instant now, actions &out);
    void on(const roster_leave &leave, instant now, actions &out);
    void on(const roster_tick &tick, instant now, actions &out);

    void beginEpoch(const roster_state &next, instant now);
    bool isSafeLeave(const roster_state &next) const;
    void retire(const roster_state &next, instant now);
    void addContact(const contact &made);
    void countContacts();
    void countPledges(instant now);
    bool canRelay(instant now) const;
    bool canPledge(roster_epoch asked) const;
    void askPeers(instant now, actions &out);
    void propose(instant now, random_source &random, actions &out);
    std::optional<log_record> wantedRecord(instant now);
    std::optional<log_record> wantedFromNothing(instant now);
    std::optional<log_record> wantedByMember(instant now);
    bool hasDifferedFor(boot_clock::duration span, instant now);
    boot_clock::duration turn(const std::vector<roster_member> &among) const;
    roster_change changeTo(std::vector<roster_member> members) const;
    std::vector<roster_member> listedMembers(instant now) const;

    data_centre_id m_dataCentre;
    roster_member m_self;
    roster_settings m_settings;

    roster_state m_roster;
    bool m_hasRoster = false;
    log_offset m_covered {-1};
    std::vector<contact> m_contacts;
    deadline m_until;
    deadline m_settledAt;
    // The last own read that counted; the age that peers are told counts from here.
    std::optional<instant> m_ownRead;
    bool m_isLogLost = false;
    // Authority by pledges ends here: the last contact that showed no takeover + the wait.
    deadline m_pledgeLimit;
    std::map<instance_id, deadline> m_pledges;
    deadline m_pledgedUntil;
    deadline m_askAgainAt;
    std::optional<proposal> m_proposal;
    std::optional<instant> m_takeoverReadAt;
    std::optional<instant> m_resetReadAt;
    roster_instances_listed m_list;
    std::optional<instant> m_differsSince;
    std::map<incarnation_id, deadline> m_retired;
    std::optional<deadline> m_leaveFrom;
    bool m_hasLeft = false;
};

} // namespace burdockshelf
