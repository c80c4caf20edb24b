#include "burdockshelfctl/exit_status.h"

namespace burdockshelf
{

namespace
{

struct status_of_code
{
    error_code code;
    exit_status status;
};

constexpr status_of_code statuses[] = {
    {error_code::invalid_argument, exit_status::usage},
    {error_code::not_found, exit_status::usage},
    {error_code::invalid_settings, exit_status::bad_configuration},
    {error_code::invalid_message, exit_status::bad_configuration},
    {error_code::conflict, exit_status::lost_race},
    {error_code::outcome_unknown, exit_status::try_again},
    {error_code::in_progress, exit_status::try_again},
};

} // namespace

exit_status exitStatusOf(error_code code)
{
    for (const status_of_code &entry : statuses) {
        if (entry.code == code) {
            return entry.status;
        }
    }
    return exit_status::platform_unavailable;
}

} // namespace burdockshelf
