#ifndef GOLDCRESTWELL_TEST_PLATFORM_STORE_COPY_HPP
#define GOLDCRESTWELL_TEST_PLATFORM_STORE_COPY_HPP

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief Record of a topic whose records have keys. */
struct store_record {
    std::string key;
    std::string value;
};

/** @brief Records of the only partition of a topic; the offset of a record is its index. */
struct topic_records {
    std::vector<store_record> records;
    std::size_t first_retained{};
};

/** @brief Records of all topics at the time of the copy. */
using store_copy = std::map<std::string, topic_records>;

} // namespace goldcrestwell::test

#endif
