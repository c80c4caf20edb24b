#pragma once

#include "core/error.h"

#include <string>
#include <utility>

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace burdockshelf
{

/// A value or the error that stood in its way. Reading the wrong one is a broken invariant and stops the process.
template<typename Value>
using outcome = boost::outcome_v2::basic_result<Value, error, boost::outcome_v2::policy::terminate>;

/// An error, ready to be returned from a function whose type is outcome.
inline auto failure(error_code code, std::string message)
{
    return boost::outcome_v2::failure(error {code, std::move(message)});
}

inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace burdockshelf
