#include "burdockshelfctl/text_file.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace burdockshelf
{

outcome<std::string> readTextFile(const std::string &path)
{
    std::error_code problem;
    if (!std::filesystem::is_regular_file(path, problem)) {
        return failure(error_code::invalid_settings, path + ": no such file");
    }
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return failure(error_code::invalid_settings, path + ": the file cannot be read");
    }
    return text.str();
}

outcome<void> writeTextFile(const std::string &path, std::string_view text)
{
    const std::string unfinished = path + ".new";
    std::ofstream file(unfinished, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    if (!file) {
        return failure(error_code::invalid_settings, unfinished + ": the file cannot be written");
    }
    std::error_code problem;
    std::filesystem::rename(unfinished, path, problem);
    if (problem) {
        return failure(error_code::invalid_settings, path + ": the file cannot be replaced: " + problem.message());
    }
    return success();
}

bool isExistingFile(const std::string &path)
{
    std::error_code problem;
    return std::filesystem::exists(path, problem);
}

} // namespace burdockshelf
