#include "burdockshelfctl/configuration_file.h"

#include "burdockshelfctl/configuration_check.h"
#include "burdockshelfctl/text_file.h"
#include "wire/configuration_codec.h"

namespace burdockshelf
{

outcome<configuration> loadConfiguration(const std::string &path)
{
    BOOST_OUTCOME_TRY(text, readTextFile(path));
    const auto decoded = decodeConfiguration(text);
    if (decoded.has_error()) {
        return failure(decoded.error().code, path + ": " + decoded.error().message);
    }
    const std::vector<finding> faults = checkConfiguration(decoded.value());
    if (!faults.empty()) {
        return failure(error_code::invalid_settings, joinFindings(faults, path));
    }
    return decoded.value();
}

} // namespace burdockshelf
