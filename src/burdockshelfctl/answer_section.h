#pragma once

#include "burdockshelfctl/answer_field.h"
#include "core/ids.h"

#include <map>
#include <span>
#include <string_view>

namespace burdockshelf
{

/// One list of the answers file: all entries of a kind, with the questions about each.
template<typename Id, typename Settings>
struct answer_section
{
    using id_type = Id;
    using settings_type = Settings;

    std::string_view key;
    /// One entry in words, for example "data centre".
    std::string_view singular;
    /// What the section is about, in a sentence or two.
    std::string_view introduction;
    std::map<Id, Settings> configuration::*entries;
    std::span<const answer_field<Settings>> fields;
};

extern const answer_section<urgency_class_id, urgency_class_settings> urgencyClassSection;
extern const answer_section<data_centre_id, data_centre_settings> dataCentreSection;
extern const answer_section<workspace_id, workspace_settings> workspaceSection;
extern const answer_section<service_id, service_settings> serviceSection;
extern const answer_section<endpoint_id, endpoint_settings> endpointSection;

/// Calls the visitor with each section, in an order in which every name is known before it is referred to.
template<typename Visitor>
void forEachSection(Visitor &&visit)
{
    visit(urgencyClassSection);
    visit(dataCentreSection);
    visit(workspaceSection);
    visit(serviceSection);
    visit(endpointSection);
}

} // namespace burdockshelf
