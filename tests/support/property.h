#pragma once

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

/// Checks a RapidCheck property inside a CppUTest test; prints the failing case and the seed.
#define CHECK_PROPERTY(description, ...) CHECK_TRUE(rc::check(description, __VA_ARGS__))
