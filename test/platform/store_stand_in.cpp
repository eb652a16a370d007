#include "platform/store_stand_in.hpp"

#include "goldcrestwell/platform/store_codec.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace goldcrestwell::test {

namespace {

std::string to_base64(const std::string& bytes) {
    using namespace boost::archive::iterators;
    using encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(encoder{bytes.begin()}, encoder{bytes.end()});
    return text.append((4 - text.size() % 4) % 4, '=');
}

std::string big_endian(const std::uint64_t value) {
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes += static_cast<char>((value >> shift) & 0xFFU);
    }
    return bytes;
}

std::uint64_t number(const http_exchange& exchange, const std::string& name) {
    return std::stoull(exchange.parameter(name).value_or("0"));
}

} // namespace

store_stand_in::store_stand_in(event_loop& loop, const std::uint16_t port)
    : loop_{loop}, server_{loop, {.port = port, .on_request = [this](const std::shared_ptr<http_exchange>& exchange) {
                                      serve(exchange);
                                  }}} {}

void store_stand_in::put(const std::string& topic, const std::string& key, const std::string& value) {
    auto& state = topics_[topic];
    state.records.push_back({.key = key, .value = value});
    wake(state);
}

std::string store_stand_in::newest(const std::string& topic, const std::string& key) const {
    const auto found = topics_.find(topic);
    std::string value;
    if (found != topics_.end()) {
        for (const auto& entry : found->second.records) {
            value = entry.key == key ? entry.value : value;
        }
    }
    return value;
}

void store_stand_in::compact(const std::string& topic) {
    auto& state = topics_[topic];
    state.first = state.records.size();
    wake(state);
}

void store_stand_in::serve(const std::shared_ptr<http_exchange>& exchange) {
    ++calls_;
    auto& topic = topics_[exchange->parameter("topic").value_or("")];
    if (down_) {
        exchange->reply({.status = 503});
    } else if (exchange->path() == "/goldcrestwell/log-append") {
        append(topic, exchange);
    } else if (exchange->path() == "/goldcrestwell/log-read") {
        read(topic, exchange);
    } else if (exchange->path() == "/goldcrestwell/log-newest") {
        show_newest(topic, exchange);
    } else {
        exchange->reply({.status = 404});
    }
}

void store_stand_in::append(topic_state& topic, const std::shared_ptr<http_exchange>& exchange) {
    const nlohmann::json ends{{"end", topic.records.size()}};
    if (exchange->parameter("at") && number(*exchange, "at") != topic.records.size()) {
        exchange->reply({.status = 412, .body = ends.dump()});
        return;
    }
    const auto page = decode_record_page(std::string(16, '\0') + exchange->body(), topic.records.size());
    for (const auto& entry : page->records) {
        topic.records.push_back({.key = entry.key, .value = entry.payload});
    }
    const nlohmann::json done{{"offset", topic.records.size() - 1}, {"end", topic.records.size()}};
    exchange->reply({.status = lose_answers_ ? 500U : 200U, .body = done.dump()});
    wake(topic);
}

void store_stand_in::read(topic_state& topic, const std::shared_ptr<http_exchange>& exchange) {
    const auto from = number(*exchange, "from");
    if (from < topic.records.size() || number(*exchange, "wait_ms") == 0) {
        answer_read(topic, from, *exchange);
        return;
    }
    const auto place = topic.waiting.insert(topic.waiting.end(), {.exchange = exchange, .from = from});
    place->expiry = std::make_unique<timer>(loop_, [this, &topic, place](time_sample) {
        answer_read(topic, place->from, *place->exchange);
        // The timer owns this function, so it is freed after the function has returned.
        loop_.defer([ended = std::shared_ptr<timer>{std::move(place->expiry)}] {});
        topic.waiting.erase(place);
    });
    place->expiry->arm_after(std::chrono::milliseconds{number(*exchange, "wait_ms")});
}

void store_stand_in::answer_read(const topic_state& topic, const std::uint64_t from, http_exchange& exchange) {
    if (from < topic.first) {
        exchange.reply({.status = 410, .body = nlohmann::json{{"first", topic.first}}.dump()});
        return;
    }
    auto body = big_endian(topic.records.size()) + big_endian(topic.first);
    for (auto i = from; i < topic.records.size(); ++i) {
        body += encode_record(topic.records[i].key, topic.records[i].value);
    }
    exchange.reply({.status = 200, .body = body});
}

void store_stand_in::show_newest(const topic_state& topic, const std::shared_ptr<http_exchange>& exchange) {
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < topic.records.size(); ++i) {
        newest[topic.records[i].key] = i;
    }
    auto items = nlohmann::json::array();
    for (const auto& [key, offset] : newest) {
        items.push_back({{"key", key}, {"value", to_base64(topic.records[offset].value)}, {"offset", offset}});
    }
    const nlohmann::json page{{"items", items}, {"more", false}, {"end", topic.records.size()}};
    exchange->reply({.status = 200, .body = page.dump()});
}

void store_stand_in::wake(topic_state& topic) {
    for (const auto& waiting : std::exchange(topic.waiting, {})) {
        answer_read(topic, waiting.from, *waiting.exchange);
    }
}

} // namespace goldcrestwell::test
