#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

/// A folder for one test's files; removed with its content at the end of the test.
class scratch_folder
{
public:
    scratch_folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "burdockshelf-test-XXXXXX").string();
        m_path = mkdtemp(name.data());
    }

    ~scratch_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    scratch_folder(const scratch_folder &) = delete;
    scratch_folder &operator=(const scratch_folder &) = delete;

    std::string path(const std::string &file) const
    {
        return (m_path / file).string();
    }

private:
    std::filesystem::path m_path;
};
