#include "policy/roster_authority.h"

#include "policy/lease_margin.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

// Contacts wait for replay, which needs a few of the reads that are sent every second at most.
constexpr std::size_t contactsKept = 16;
// The instance list may show an incarnation for this many times the list patience after it has left the roster.
constexpr int retiredPatience = 10;

bool contains(const std::vector<roster_member> &members, const roster_member &member)
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

void remove(std::vector<roster_member> &members, const roster_member &member)
{
    members.erase(std::remove(members.begin(), members.end(), member), members.end());
}

} // namespace

roster_authority::roster_authority(data_centre_id dataCentre, roster_member self, roster_settings settings)
    : m_dataCentre(std::move(dataCentre))
    , m_self(std::move(self))
    , m_settings(settings)
{
}

std::vector<roster_action> roster_authority::handle(const roster_event &event, instant now, random_source &random)
{
    actions out;
    std::visit([&](const auto &happened) { on(happened, now, out); }, event);
    countContacts();
    countPledges(now);
    askPeers(now, out);
    propose(now, random, out);
    if (m_leaveFrom && m_hasRoster && !isMember() && !std::exchange(m_hasLeft, true)) {
        out.push_back(roster_left {});
    }
    return out;
}

decision_authority roster_authority::authority() const
{
    decision_authority authority;
    authority.dataCentre = m_dataCentre;
    authority.self = m_self;
    authority.epoch = m_roster.epoch;
    authority.fencingOffset = m_roster.fencingOffset;
    authority.exclusiveFrom = m_settledAt;
    if (isMember() && !m_leaveFrom && !m_roster.isReset) {
        authority.members = m_roster.members;
        authority.until = m_until;
    }
    return authority;
}

bool roster_authority::isMember() const
{
    return contains(m_roster.members, m_self);
}

void roster_authority::on(const roster_replayed &replayed, instant now, actions & /*out*/)
{
    if (m_hasRoster && replayed.covered < m_covered) {
        return;
    }
    m_covered = replayed.covered;
    if (!m_hasRoster || replayed.roster.epoch != m_roster.epoch) {
        beginEpoch(replayed.roster, now);
    }
    m_roster = replayed.roster;
    if (m_roster.takeover && !m_takeoverReadAt) {
        m_takeoverReadAt = now;
    }
    if (m_roster.isReset && !m_resetReadAt) {
        m_resetReadAt = now;
    }
    if (m_proposal && m_roster.takeover && std::holds_alternative<roster_takeover>(m_proposal->record)) {
        m_proposal.reset();
    }
}

void roster_authority::on(const roster_log_read &read, instant /*now*/, actions & /*out*/)
{
    m_isLogLost = false;
    addContact({read.sentAt, read.head, true});
}

void roster_authority::on(const roster_log_unreachable & /*lost*/, instant /*now*/, actions & /*out*/)
{
    m_isLogLost = true;
}

void roster_authority::on(const roster_peer_freshness &freshness, instant /*now*/, actions & /*out*/)
{
    const peer_freshness_response &answer = freshness.answer;
    if (!answer.isPledge) {
        addContact({freshness.askedAt - answer.age, answer.covered + log_offset(1), false});
        return;
    }
    if (answer.epoch == m_roster.epoch) {
        deadline &until = m_pledges[freshness.from];
        until = std::max(until, deadline::after(freshness.askedAt, std::min<boot_clock::duration>(answer.pledged, m_settings.lease)));
    }
}

void roster_authority::on(const roster_freshness_requested &asked, instant now, actions &out)
{
    roster_respond_freshness reply;
    const bool isPledgeAllowed = asked.isSameDataCentre && canPledge(asked.epoch);
    // Once the log is lost, a relay of the last read would end the asker's authority at the very time that this member's own ends, and the
    // next ask would come too late to bridge the gap. A pledge lasts a whole lease from the ask.
    if (canRelay(now) && !(m_isLogLost && isPledgeAllowed)) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *m_ownRead);
        reply.answer = peer_freshness_response {m_roster.epoch, m_covered, age, false, {}};
    } else if (isPledgeAllowed) {
        const auto pledged = std::chrono::floor<std::chrono::milliseconds>(m_settings.lease);
        reply.answer = peer_freshness_response {m_roster.epoch, m_covered, {}, true, pledged};
        m_pledgedUntil = deadline::after(now, withMargin(m_settings.lease));
    }
    out.push_back(reply);
}

void roster_authority::on(const roster_instances_listed &listed, instant /*now*/, actions & /*out*/)
{
    m_list = listed;
}

void roster_authority::on(const roster_leave & /*leave*/, instant now, actions & /*out*/)
{
    if (!m_leaveFrom) {
        m_leaveFrom = deadline::after(now, withMargin(m_settings.loan));
    }
}

void roster_authority::on(const roster_tick & /*tick*/, instant /*now*/, actions & /*out*/)
{
}

void roster_authority::beginEpoch(const roster_state &next, instant now)
{
    if (!isSafeLeave(next)) {
        m_settledAt = deadline::after(now, withMargin(m_settings.lease));
    }
    retire(next, now);
    m_hasRoster = true;
    m_until = deadline();
    m_pledgeLimit = deadline();
    m_pledges.clear();
    m_takeoverReadAt.reset();
    m_resetReadAt.reset();
    m_differsSince.reset();
    if (m_proposal && m_proposal->base < next.epoch) {
        m_proposal.reset();
    }
}

// Only a reader that has seen the epoch before knows that nothing but the leave has changed.
bool roster_authority::isSafeLeave(const roster_state &next) const
{
    if (!m_hasRoster || !next.leaver || next.epoch != m_roster.epoch + roster_epoch(1)) {
        return false;
    }
    std::vector<roster_member> stayed = m_roster.members;
    remove(stayed, *next.leaver);
    return stayed == next.members;
}

void roster_authority::retire(const roster_state &next, instant now)
{
    std::erase_if(m_retired, [now](const auto &entry) { return entry.second.hasPassed(now); });
    for (const roster_member &member : m_roster.members) {
        if (!contains(next.members, member)) {
            m_retired[member.incarnation] = deadline::after(now, m_settings.listPatience * retiredPatience);
        }
    }
}

void roster_authority::addContact(const contact &made)
{
    if (m_contacts.size() >= contactsKept) {
        m_contacts.erase(m_contacts.begin());
    }
    m_contacts.push_back(made);
}

void roster_authority::countContacts()
{
    if (!m_hasRoster) {
        return;
    }
    std::erase_if(m_contacts, [this](const contact &made) {
        if (m_covered + log_offset(1) < made.head) {
            return false;
        }
        m_until = std::max(m_until, deadline::after(made.at, m_settings.lease));
        if (!m_roster.takeover) {
            m_pledgeLimit = std::max(m_pledgeLimit, deadline::after(made.at, m_settings.takeoverWait));
        }
        if (made.isOwn) {
            m_ownRead = std::max(m_ownRead.value_or(made.at), made.at);
        }
        return true;
    });
}

// An own undecided proposal may change the roster at any time, so it ends authority by pledges as it would for another member. A sole
// member gives the pledge to itself, for a lease at a time.
void roster_authority::countPledges(instant now)
{
    if (!isMember() || m_proposal) {
        return;
    }
    deadline until = deadline::after(now, m_settings.lease);
    for (const roster_member &member : m_roster.members) {
        if (member == m_self) {
            continue;
        }
        const auto given = m_pledges.find(member.instance);
        if (given == m_pledges.end()) {
            return;
        }
        until = std::min(until, given->second);
    }
    m_until = std::max(m_until, std::min(until, m_pledgeLimit));
}

bool roster_authority::canRelay(instant now) const
{
    return m_ownRead && now - *m_ownRead < m_settings.lease;
}

bool roster_authority::canPledge(roster_epoch asked) const
{
    return isMember() && asked == m_roster.epoch && !m_proposal;
}

void roster_authority::askPeers(instant now, actions &out)
{
    const bool isShort = m_isLogLost || m_until.remaining(now) < m_settings.lease / 3;
    if (!isMember() || !isShort || !m_askAgainAt.hasPassed(now)) {
        return;
    }
    m_askAgainAt = deadline::after(now, m_settings.retry);
    for (const roster_member &member : m_roster.members) {
        if (member != m_self) {
            out.push_back(roster_request_freshness {member.instance, {m_roster.epoch}});
        }
    }
    for (const instance_id &relay : m_list.relays) {
        out.push_back(roster_request_freshness {relay, {m_roster.epoch}});
    }
}

void roster_authority::propose(instant now, random_source &random, actions &out)
{
    if (!m_proposal) {
        if (!m_hasRoster || !m_pledgedUntil.hasPassed(now) || !canRelay(now)) {
            return;
        }
        std::optional<log_record> wanted = wantedRecord(now);
        if (!wanted) {
            return;
        }
        m_proposal = {record_id(random.hexId()), std::move(*wanted), m_roster.epoch, deadline()};
    }
    if (m_proposal->retryAt.hasPassed(now)) {
        const auto pause = std::chrono::duration_cast<boot_clock::duration>(m_settings.retry * (1.0 + random.uniform()));
        m_proposal->retryAt = deadline::after(now, pause);
        out.push_back(roster_append {m_proposal->id, m_proposal->record});
    }
}

std::optional<log_record> roster_authority::wantedRecord(instant now)
{
    return isMember() && !m_roster.isReset ? wantedByMember(now) : wantedFromNothing(now);
}

std::optional<log_record> roster_authority::wantedByMember(instant now)
{
    if (m_leaveFrom) {
        if (!m_leaveFrom->hasPassed(now)) {
            return std::nullopt;
        }
        roster_change leave = changeTo(m_roster.members);
        remove(leave.members, m_self);
        leave.leaver = m_self;
        return leave;
    }
    if (m_roster.takeover) {
        return changeTo(m_roster.members);
    }
    const std::vector<roster_member> listed = listedMembers(now);
    if (listed == m_roster.members) {
        m_differsSince.reset();
        return std::nullopt;
    }
    if (!hasDifferedFor(m_settings.listPatience + turn(m_roster.members), now)) {
        return std::nullopt;
    }
    return changeTo(listed);
}

std::optional<log_record> roster_authority::wantedFromNothing(instant now)
{
    if (m_leaveFrom || !contains(m_list.joinable, m_self)) {
        return std::nullopt;
    }
    if (m_roster.isReset) {
        const bool hasWaited = now >= *m_resetReadAt + withMargin(m_settings.lease) + turn(m_list.joinable);
        return hasWaited ? std::optional<log_record>(changeTo({m_self})) : std::nullopt;
    }
    const bool isMemberListed = std::any_of(
        m_roster.members.begin(), m_roster.members.end(), [this](const roster_member &member) { return contains(m_list.present, member); });
    if (isMemberListed) {
        m_differsSince.reset();
        return std::nullopt;
    }
    if (!hasDifferedFor(turn(m_list.joinable), now)) {
        return std::nullopt;
    }
    if (m_roster.members.empty()) {
        return changeTo({m_self});
    }
    if (!m_roster.takeover) {
        return hasDifferedFor(m_settings.listPatience, now)
            ? std::optional<log_record>(roster_takeover {m_dataCentre, m_roster.epoch, m_self})
            : std::nullopt;
    }
    const bool hasWaited = now >= *m_takeoverReadAt + withMargin(m_settings.takeoverWait);
    return hasWaited ? std::optional<log_record>(changeTo({m_self})) : std::nullopt;
}

bool roster_authority::hasDifferedFor(boot_clock::duration span, instant now)
{
    if (!m_differsSince) {
        m_differsSince = now;
    }
    return now - *m_differsSince >= span;
}

// Instances propose one after the other, so that usually one proposal is enough.
boot_clock::duration roster_authority::turn(const std::vector<roster_member> &among) const
{
    const std::string key = "roster/" + m_dataCentre.value() + '/' + std::to_string(m_roster.epoch.value());
    return m_settings.retry * static_cast<int>(rendezvousRank(key, among, m_self));
}

roster_change roster_authority::changeTo(std::vector<roster_member> members) const
{
    std::sort(members.begin(), members.end());
    return {m_dataCentre, m_roster.epoch + roster_epoch(1), std::move(members), std::nullopt};
}

// A list that lacks this instance is too old to act on.
std::vector<roster_member> roster_authority::listedMembers(instant now) const
{
    if (!contains(m_list.present, m_self)) {
        return m_roster.members;
    }
    std::vector<roster_member> members;
    for (const roster_member &member : m_roster.members) {
        if (contains(m_list.present, member)) {
            members.push_back(member);
        }
    }
    for (const roster_member &candidate : m_list.joinable) {
        const auto retired = m_retired.find(candidate.incarnation);
        const bool isRetired = retired != m_retired.end() && !retired->second.hasPassed(now);
        if (!isRetired && !contains(members, candidate)) {
            members.push_back(candidate);
        }
    }
    std::sort(members.begin(), members.end());
    return members;
}

} // namespace burdockshelf
