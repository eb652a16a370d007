#include "platform/fake_store.hpp"

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

std::string to_big_endian(const std::uint64_t value) {
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes += static_cast<char>((value >> shift) & 0xFFU);
    }
    return bytes;
}

std::uint64_t integer_parameter(const http_exchange& exchange, const std::string& name) {
    return std::stoull(exchange.parameter(name).value_or("0"));
}

} // namespace

fake_store::fake_store(event_loop& loop, const std::uint16_t port)
    : loop_{loop}, server_{loop, {.port = port, .on_request = [this](const std::shared_ptr<http_exchange>& exchange) {
                                      serve(exchange);
                                  }}} {}

void fake_store::put(const std::string& topic, const std::string& key, const std::string& value) {
    auto& log = topics_[topic];
    log.records.push_back({.key = key, .value = value});
    complete_reads(log);
}

std::string fake_store::newest(const std::string& topic, const std::string& key) const {
    const auto found = topics_.find(topic);
    std::string value;
    if (found != topics_.end()) {
        for (const auto& stored_record : found->second.records) {
            value = stored_record.key == key ? stored_record.value : value;
        }
    }
    return value;
}

void fake_store::compact(const std::string& topic) {
    auto& log = topics_[topic];
    log.first_retained = log.records.size();
    complete_reads(log);
}

void fake_store::serve(const std::shared_ptr<http_exchange>& exchange) {
    ++calls_;
    auto& topic = topics_[exchange->parameter("topic").value_or("")];
    if (down_) {
        exchange->reply({.status = 503});
    } else if (exchange->path() == "/goldcrestwell/log-append") {
        append(topic, exchange);
    } else if (exchange->path() == "/goldcrestwell/log-read") {
        read(topic, exchange);
    } else if (exchange->path() == "/goldcrestwell/log-newest") {
        reply_newest(topic, exchange);
    } else {
        exchange->reply({.status = 404});
    }
}

void fake_store::append(topic_log& topic, const std::shared_ptr<http_exchange>& exchange) {
    const nlohmann::json end_document{{"end", topic.records.size()}};
    if (exchange->parameter("at") && integer_parameter(*exchange, "at") != topic.records.size()) {
        exchange->reply({.status = 412, .body = end_document.dump()});
        return;
    }
    const auto page = decode_record_page(std::string(16, '\0') + exchange->body().str(), topic.records.size());
    for (const auto& decoded_record : page->records) {
        topic.records.push_back({.key = decoded_record.key, .value = decoded_record.payload});
    }
    const nlohmann::json result{{"offset", topic.records.size() - 1}, {"end", topic.records.size()}};
    exchange->reply({.status = lose_append_responses_ ? 500U : 200U, .body = result.dump()});
    complete_reads(topic);
}

void fake_store::read(topic_log& topic, const std::shared_ptr<http_exchange>& exchange) {
    const auto from = integer_parameter(*exchange, "from");
    if (from < topic.records.size() || integer_parameter(*exchange, "wait_ms") == 0) {
        reply_read(topic, from, *exchange);
        return;
    }
    const auto pending_read =
        topic.waiting_reads.insert(topic.waiting_reads.end(), {.exchange = exchange, .from = from});
    pending_read->expiry = std::make_unique<timer>(loop_, [this, &topic, pending_read](time_sample) {
        reply_read(topic, pending_read->from, *pending_read->exchange);
        // The timer owns this lambda, so it is destroyed only after the lambda has returned.
        loop_.defer([expired = std::shared_ptr<timer>{std::move(pending_read->expiry)}] {});
        topic.waiting_reads.erase(pending_read);
    });
    pending_read->expiry->schedule_after(std::chrono::milliseconds{integer_parameter(*exchange, "wait_ms")});
}

void fake_store::reply_read(const topic_log& topic, const std::uint64_t from, http_exchange& exchange) {
    if (from < topic.first_retained) {
        exchange.reply({.status = 410, .body = nlohmann::json{{"first", topic.first_retained}}.dump()});
        return;
    }
    auto body = to_big_endian(topic.records.size()) + to_big_endian(topic.first_retained);
    for (auto i = from; i < topic.records.size(); ++i) {
        body += encode_record(topic.records[i].key, topic.records[i].value);
    }
    exchange.reply({.status = 200, .body = body});
}

void fake_store::reply_newest(const topic_log& topic, const std::shared_ptr<http_exchange>& exchange) {
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

void fake_store::complete_reads(topic_log& topic) {
    for (const auto& waiting : std::exchange(topic.waiting_reads, {})) {
        reply_read(topic, waiting.from, *waiting.exchange);
    }
}

} // namespace goldcrestwell::test
