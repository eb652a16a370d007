#include "stand_in/log_stream.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <string_view>

namespace goldcrestwell::test {

namespace {

// Far below the largest response that a node accepts.
constexpr std::size_t max_response_bytes = std::size_t{4} << 20U;

void pack_entry(msgpack::packer<msgpack::sbuffer>& packer, const std::string_view key, const std::uint64_t value) {
    packer.pack(key);
    packer.pack_uint64(value);
}

} // namespace

std::uint64_t log_stream::append(std::string record, const time_point now) {
    records_.push_back({.bytes = std::move(record), .at = now});
    return head();
}

void log_stream::expire(const std::chrono::seconds retention, const std::size_t retain, const time_point now) {
    const auto expired = [&] {
        const bool too_many = retain != 0 && records_.size() > retain;
        return too_many || (retention.count() != 0 && now - records_.front().at > retention);
    };
    while (!records_.empty() && expired()) {
        records_.pop_front();
        ++first_;
    }
}

std::string log_stream::read(const std::uint64_t after, const std::size_t limit) const {
    const std::uint64_t begin = std::max(after + 1, first_);
    std::uint64_t end = begin;
    for (std::size_t bytes = 0; end <= head() && end - begin < limit && bytes < max_response_bytes; ++end) {
        bytes += records_[end - first_].bytes.size();
    }
    msgpack::sbuffer buffer;
    msgpack::packer packer{buffer};
    packer.pack_map(4);
    pack_entry(packer, "first_retained", first_);
    pack_entry(packer, "head", head());
    pack_entry(packer, "through", end > head() ? head() : end - 1);
    packer.pack(std::string_view{"records"});
    packer.pack_array(static_cast<std::uint32_t>(end - begin));
    for (std::uint64_t offset = begin; offset < end; ++offset) {
        const std::string& bytes = records_[offset - first_].bytes;
        packer.pack_array(2);
        packer.pack_uint64(offset);
        packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
        packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
    }
    return {buffer.data(), buffer.size()};
}

} // namespace goldcrestwell::test
