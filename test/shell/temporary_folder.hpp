#ifndef GOLDCRESTWELL_TEST_SHELL_TEMPORARY_FOLDER_HPP
#define GOLDCRESTWELL_TEST_SHELL_TEMPORARY_FOLDER_HPP

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <system_error>

namespace goldcrestwell::test {

/** @brief Temporary folder that is removed on destruction. */
struct temporary_folder {
    temporary_folder() {
        auto name = (std::filesystem::temp_directory_path() / "goldcrestwell-log-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        path = name;
    }
    ~temporary_folder() {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::filesystem::path path;
};

} // namespace goldcrestwell::test

#endif
