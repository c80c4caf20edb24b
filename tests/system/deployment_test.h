#pragma once

#include "deployment.h"

#include <memory>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

namespace burdockshelf
{

/// Base of the test groups: hands out the shared deployment and replaces it after a test that has failed, whose faults may still be in
/// place.
class deployment_test : public Utest
{
public:
    void setup() override;
    void teardown() override;

    deployment &running();

private:
    static std::unique_ptr<deployment> sharedDeployment;
};

} // namespace burdockshelf

/// A check whose message is made only when it fails.
#define CHECK_SEEN(condition, seen)                                                                                                        \
    do {                                                                                                                                   \
        const bool holds = (condition);                                                                                                    \
        if (!holds) {                                                                                                                      \
            const std::string message = (seen);                                                                                            \
            CHECK_TEXT(holds, message.c_str());                                                                                            \
        }                                                                                                                                  \
    } while (false)
