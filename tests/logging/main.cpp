#include "support/test_main.h"
