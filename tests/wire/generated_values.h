#pragma once

#include "state/stored_record.h"

#include <rapidcheck.h>

/// Generators of random values for the codec tests. The strings contain characters that JSON and JSON pointers escape.
burdockshelf::configuration anyConfiguration();
burdockshelf::snapshot anySnapshot();
burdockshelf::log_record anyRecord();
