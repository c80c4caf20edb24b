#include "policy/roster_authority.h"

#include "policy/lease_margin.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

// Proofs are kept until replay covers them, which takes at most a few of the reads that are sent every second. Beyond this number, the
// oldest proof is dropped even if replay does not cover it yet.
constexpr std::size_t maxFreshnessProofs = 16;
// The instance list may show an incarnation for this many stability periods after it has left the roster.
constexpr int removedMemberPeriods = 10;

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
    applyFreshnessProofs();
    applyPledges(now);
    requestPeerFreshness(now, out);
    propose(now, random, out);
    if (m_proposeLeaveAt && m_hasRoster && !isMember() && !std::exchange(m_hasLeft, true)) {
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
    authority.exclusiveFrom = m_exclusiveFrom;
    if (isMember() && !m_proposeLeaveAt && !m_roster.isReset) {
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
    m_isLogUnreachable = false;
    addFreshnessProof({read.sentAt, read.head, true});
}

void roster_authority::on(const roster_log_unreachable & /*lost*/, instant /*now*/, actions & /*out*/)
{
    m_isLogUnreachable = true;
}

void roster_authority::on(const roster_peer_freshness &freshness, instant /*now*/, actions & /*out*/)
{
    const peer_freshness_response &answer = freshness.answer;
    if (!answer.isPledge) {
        addFreshnessProof({freshness.askedAt - answer.age, answer.covered + log_offset(1), false});
        return;
    }
    if (answer.epoch == m_roster.epoch) {
        deadline &until = m_pledges[freshness.from];
        until = std::max(until, deadline::after(freshness.askedAt, std::min<boot_clock::duration>(answer.pledged, m_settings.lease)));
    }
}

void roster_authority::on(const roster_freshness_requested &requested, instant now, actions &out)
{
    roster_respond_freshness reply;
    const bool isPledgeAllowed = requested.isSameDataCentre && canPledge(requested.epoch);
    // Once the log is unreachable, authority by a relay of this member's last read would expire at the same time as this member's own
    // authority, and the next freshness request would come too late to bridge the gap. A pledge lasts a whole lease from the request.
    if (canRelay(now) && !(m_isLogUnreachable && isPledgeAllowed)) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *m_lastOwnRead);
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
    m_instanceList = listed;
}

void roster_authority::on(const roster_leave & /*leave*/, instant now, actions & /*out*/)
{
    if (!m_proposeLeaveAt) {
        m_proposeLeaveAt = deadline::after(now, withMargin(m_settings.loan));
    }
}

void roster_authority::on(const roster_tick & /*tick*/, instant /*now*/, actions & /*out*/)
{
}

void roster_authority::beginEpoch(const roster_state &next, instant now)
{
    if (!isGracefulLeave(next)) {
        m_exclusiveFrom = deadline::after(now, withMargin(m_settings.lease));
    }
    recordRemovedMembers(next, now);
    m_hasRoster = true;
    m_until = deadline();
    m_pledgeAuthorityLimit = deadline();
    m_pledges.clear();
    m_takeoverReadAt.reset();
    m_resetReadAt.reset();
    m_listDiffersSince.reset();
    if (m_proposal && m_proposal->base < next.epoch) {
        m_proposal.reset();
    }
}

// Only an instance that has replayed the previous epoch knows that the leave is the only change.
bool roster_authority::isGracefulLeave(const roster_state &next) const
{
    if (!m_hasRoster || !next.leaver || next.epoch != m_roster.epoch + roster_epoch(1)) {
        return false;
    }
    std::vector<roster_member> stayed = m_roster.members;
    remove(stayed, *next.leaver);
    return stayed == next.members;
}

void roster_authority::recordRemovedMembers(const roster_state &next, instant now)
{
    std::erase_if(m_removedMembers, [now](const auto &entry) { return entry.second.hasPassed(now); });
    for (const roster_member &member : m_roster.members) {
        if (!contains(next.members, member)) {
            m_removedMembers[member.incarnation] = deadline::after(now, m_settings.listStabilityPeriod * removedMemberPeriods);
        }
    }
}

void roster_authority::addFreshnessProof(const freshness_proof &proof)
{
    if (m_freshnessProofs.size() >= maxFreshnessProofs) {
        m_freshnessProofs.erase(m_freshnessProofs.begin());
    }
    m_freshnessProofs.push_back(proof);
}

void roster_authority::applyFreshnessProofs()
{
    if (!m_hasRoster) {
        return;
    }
    std::erase_if(m_freshnessProofs, [this](const freshness_proof &proof) {
        if (m_covered + log_offset(1) < proof.head) {
            return false;
        }
        m_until = std::max(m_until, deadline::after(proof.at, m_settings.lease));
        if (!m_roster.takeover) {
            m_pledgeAuthorityLimit = std::max(m_pledgeAuthorityLimit, deadline::after(proof.at, m_settings.takeoverWait));
        }
        if (proof.isOwn) {
            m_lastOwnRead = std::max(m_lastOwnRead.value_or(proof.at), proof.at);
        }
        return true;
    });
}

// An undecided proposal of this member may change the roster at any time, so it rules out authority by pledges here, as it does for other
// members. A sole member needs no pledge of another member and extends its authority by one lease at a time.
void roster_authority::applyPledges(instant now)
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
    m_until = std::max(m_until, std::min(until, m_pledgeAuthorityLimit));
}

bool roster_authority::canRelay(instant now) const
{
    return m_lastOwnRead && now - *m_lastOwnRead < m_settings.lease;
}

bool roster_authority::canPledge(roster_epoch requested) const
{
    return isMember() && requested == m_roster.epoch && !m_proposal;
}

void roster_authority::requestPeerFreshness(instant now, actions &out)
{
    const bool isShort = m_isLogUnreachable || m_until.remaining(now) < m_settings.lease / 3;
    if (!isMember() || !isShort || !m_nextFreshnessRequestAt.hasPassed(now)) {
        return;
    }
    m_nextFreshnessRequestAt = deadline::after(now, m_settings.retryInterval);
    for (const roster_member &member : m_roster.members) {
        if (member != m_self) {
            out.push_back(roster_request_freshness {member.instance, {m_roster.epoch}});
        }
    }
    for (const instance_id &relay : m_instanceList.relays) {
        out.push_back(roster_request_freshness {relay, {m_roster.epoch}});
    }
}

void roster_authority::propose(instant now, random_source &random, actions &out)
{
    if (!m_proposal) {
        if (!m_hasRoster || !m_pledgedUntil.hasPassed(now) || !canRelay(now)) {
            return;
        }
        std::optional<log_record> wanted = recordToPropose(now);
        if (!wanted) {
            return;
        }
        m_proposal = {record_id(random.hexId()), std::move(*wanted), m_roster.epoch, deadline()};
    }
    if (m_proposal->retryAt.hasPassed(now)) {
        const auto pause = std::chrono::duration_cast<boot_clock::duration>(m_settings.retryInterval * (1.0 + random.uniform()));
        m_proposal->retryAt = deadline::after(now, pause);
        out.push_back(roster_append {m_proposal->id, m_proposal->record});
    }
}

std::optional<log_record> roster_authority::recordToPropose(instant now)
{
    return isMember() && !m_roster.isReset ? recordToProposeAsMember(now) : recordToProposeAsNonMember(now);
}

std::optional<log_record> roster_authority::recordToProposeAsMember(instant now)
{
    if (m_proposeLeaveAt) {
        if (!m_proposeLeaveAt->hasPassed(now)) {
            return std::nullopt;
        }
        roster_change leave = makeRosterChange(m_roster.members);
        remove(leave.members, m_self);
        leave.leaver = m_self;
        return leave;
    }
    if (m_roster.takeover) {
        return makeRosterChange(m_roster.members);
    }
    const std::vector<roster_member> listed = listedMembers(now);
    if (listed == m_roster.members) {
        m_listDiffersSince.reset();
        return std::nullopt;
    }
    if (!hasListDifferedFor(m_settings.listStabilityPeriod + proposalDelay(m_roster.members), now)) {
        return std::nullopt;
    }
    return makeRosterChange(listed);
}

std::optional<log_record> roster_authority::recordToProposeAsNonMember(instant now)
{
    if (m_proposeLeaveAt || !contains(m_instanceList.joinable, m_self)) {
        return std::nullopt;
    }
    if (m_roster.isReset) {
        const bool hasWaited = now >= *m_resetReadAt + withMargin(m_settings.lease) + proposalDelay(m_instanceList.joinable);
        return hasWaited ? std::optional<log_record>(makeRosterChange({m_self})) : std::nullopt;
    }
    const bool isMemberListed = std::any_of(m_roster.members.begin(), m_roster.members.end(), [this](const roster_member &member) {
        return contains(m_instanceList.present, member);
    });
    if (isMemberListed) {
        m_listDiffersSince.reset();
        return std::nullopt;
    }
    if (!hasListDifferedFor(proposalDelay(m_instanceList.joinable), now)) {
        return std::nullopt;
    }
    if (m_roster.members.empty()) {
        return makeRosterChange({m_self});
    }
    if (!m_roster.takeover) {
        return hasListDifferedFor(m_settings.listStabilityPeriod, now)
            ? std::optional<log_record>(roster_takeover {m_dataCentre, m_roster.epoch, m_self})
            : std::nullopt;
    }
    const bool hasWaited = now >= *m_takeoverReadAt + withMargin(m_settings.takeoverWait);
    return hasWaited ? std::optional<log_record>(makeRosterChange({m_self})) : std::nullopt;
}

bool roster_authority::hasListDifferedFor(boot_clock::duration span, instant now)
{
    if (!m_listDiffersSince) {
        m_listDiffersSince = now;
    }
    return now - *m_listDiffersSince >= span;
}

// Instances propose one after another, so that usually a single proposal is enough.
boot_clock::duration roster_authority::proposalDelay(const std::vector<roster_member> &proposers) const
{
    const std::string key = "roster/" + m_dataCentre.value() + '/' + std::to_string(m_roster.epoch.value());
    return m_settings.retryInterval * static_cast<int>(rendezvousRank(key, proposers, m_self));
}

roster_change roster_authority::makeRosterChange(std::vector<roster_member> members) const
{
    std::sort(members.begin(), members.end());
    return {m_dataCentre, m_roster.epoch + roster_epoch(1), std::move(members), std::nullopt};
}

// A list that does not contain this instance is too old to act on.
std::vector<roster_member> roster_authority::listedMembers(instant now) const
{
    if (!contains(m_instanceList.present, m_self)) {
        return m_roster.members;
    }
    std::vector<roster_member> members;
    for (const roster_member &member : m_roster.members) {
        if (contains(m_instanceList.present, member)) {
            members.push_back(member);
        }
    }
    for (const roster_member &candidate : m_instanceList.joinable) {
        const auto removed = m_removedMembers.find(candidate.incarnation);
        const bool isRemoved = removed != m_removedMembers.end() && !removed->second.hasPassed(now);
        if (!isRemoved && !contains(members, candidate)) {
            members.push_back(candidate);
        }
    }
    std::sort(members.begin(), members.end());
    return members;
}

} // namespace burdockshelf
