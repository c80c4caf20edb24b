#pragma once

#include "core/error.h"

#include <string>
#include <utility>

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace burdockshelf
{

/// Either a value or an error. Accessing the one that is not present violates an invariant and terminates the process.
template<typename Value>
using outcome = boost::outcome_v2::basic_result<Value, error, boost::outcome_v2::policy::terminate>;

/// Creates an error to return from a function with an outcome return type.
inline auto failure(error_code code, std::string message)
{
    return boost::outcome_v2::failure(error {code, std::move(message)});
}

inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace burdockshelf
