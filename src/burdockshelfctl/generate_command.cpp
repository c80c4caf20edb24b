#include "burdockshelfctl/answers_file.h"
#include "burdockshelfctl/commands.h"
#include "wire/configuration_codec.h"

namespace burdockshelf
{

exit_status runGenerate(command_context &context)
{
    if (context.options.answersFile.empty()) {
        return context.fail({error_code::invalid_argument, "name the answers file with --answers FILE"});
    }
    const auto loaded = loadAnswers(context.options.answersFile);
    if (loaded.has_error()) {
        return context.fail(loaded.error());
    }
    return context.write(encodeConfiguration(loaded.value()));
}

} // namespace burdockshelf
