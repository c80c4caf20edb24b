#pragma once

#include "state/stored_record.h"

#include <rapidcheck.h>

/// Random values for the codecs. Texts hold characters that JSON and JSON pointers escape.
burdockshelf::configuration anyConfiguration();
burdockshelf::snapshot anySnapshot();
burdockshelf::log_record anyRecord();
