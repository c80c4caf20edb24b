#include "wire/roster_codec.h"

namespace burdockshelf
{

namespace
{

void writeMember(json_writer &writer, const roster_member &member)
{
    writer.set("instance", member.instance);
    writer.set("incarnation", member.incarnation);
}

roster_member readMember(json_reader &reader)
{
    roster_member member;
    member.instance = reader.id<instance_id>("instance");
    member.incarnation = reader.id<incarnation_id>("incarnation");
    return member;
}

} // namespace

void writeMembers(json_writer &writer, std::string_view key, const std::vector<roster_member> &members)
{
    writer.array(key);
    for (const roster_member &member : members) {
        json_writer element = writer.append(key);
        writeMember(element, member);
    }
}

std::vector<roster_member> readMembers(json_reader &reader, std::string_view key)
{
    std::vector<roster_member> members;
    for (json_reader &element : reader.objects(key)) {
        members.push_back(readMember(element));
    }
    return members;
}

void writeOptionalMember(json_writer &writer, std::string_view key, const std::optional<roster_member> &member)
{
    if (member) {
        json_writer element = writer.object(key);
        writeMember(element, *member);
    }
}

std::optional<roster_member> readOptionalMember(json_reader &reader, std::string_view key)
{
    if (!reader.has(key)) {
        return std::nullopt;
    }
    json_reader element = reader.object(key);
    return readMember(element);
}

void writeRosterTakeover(json_writer &writer, const roster_takeover &takeover)
{
    writer.set("data_centre", takeover.dataCentre);
    writer.set("epoch", takeover.epoch);
    json_writer proposer = writer.object("proposer");
    writeMember(proposer, takeover.proposer);
}

roster_takeover readRosterTakeover(json_reader &reader)
{
    roster_takeover takeover;
    takeover.dataCentre = reader.id<data_centre_id>("data_centre");
    takeover.epoch = reader.amount<roster_epoch>("epoch");
    json_reader proposer = reader.object("proposer");
    takeover.proposer = readMember(proposer);
    return takeover;
}

} // namespace burdockshelf
