#pragma once

#include "core/boot_clock.h"
#include "core/quantity.h"
#include "core/strong_id.h"

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// One structured log line with the component, the event and named values, formatted as "part=... event=... name=value". Empty values and
/// values with spaces, control characters, '"' or '=' are quoted. Must not contain an API key or a prompt.
class log_line
{
public:
    log_line(std::string_view component, std::string_view event);

    log_line &add(std::string_view name, std::string_view value);
    log_line &add(std::string_view name, const char *value);
    log_line &add(std::string_view name, bool value);
    /// Writes the duration in milliseconds. The name should end in "_ms".
    log_line &add(std::string_view name, boot_clock::duration value);

    template<std::integral Number>
    log_line &add(std::string_view name, Number value)
    {
        return addRaw(name, std::to_string(value));
    }

    template<typename Tag>
    log_line &add(std::string_view name, const strong_id<Tag> &value)
    {
        return add(name, std::string_view(value.value()));
    }

    template<typename Tag>
    log_line &add(std::string_view name, quantity<Tag> value)
    {
        return add(name, value.value());
    }

    const std::string &text() const;

private:
    log_line &addRaw(std::string_view name, std::string_view value);

    std::string m_text;
};

} // namespace burdockshelf
