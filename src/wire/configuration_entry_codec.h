#pragma once

#include "state/configuration.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

namespace burdockshelf
{

/// Single entries of the configuration. The read functions return no error; it is kept in the reader.
void writeEntry(json_writer &writer, const data_centre_settings &settings);
void writeEntry(json_writer &writer, const workspace_settings &settings);
void writeEntry(json_writer &writer, const service_settings &settings);
void writeEntry(json_writer &writer, const endpoint_settings &settings);
void writeEntry(json_writer &writer, const urgency_class_settings &settings);

void readEntry(json_reader &reader, data_centre_settings &settings);
void readEntry(json_reader &reader, workspace_settings &settings);
void readEntry(json_reader &reader, service_settings &settings);
void readEntry(json_reader &reader, endpoint_settings &settings);
void readEntry(json_reader &reader, urgency_class_settings &settings);

} // namespace burdockshelf
