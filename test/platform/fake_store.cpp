#include "platform/fake_store.hpp"

#include "goldcrestwell/platform/store_codec.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include <iterator>
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
    : loop_{loop}, port_{port}, era_header_{[](const std::uint64_t era) {
          return std::to_string(era);
      }},
      server_{make_server()} {}

std::unique_ptr<http_server> fake_store::make_server() {
    return std::make_unique<http_server>(
        loop_, http_server_options{.port = port_, .on_request = [this](const std::shared_ptr<http_exchange>& exchange) {
                                       serve(exchange);
                                   }});
}

void fake_store::put(const std::string& topic, const std::string& key, const std::string& value) {
    auto& log = topics_[topic];
    log.content.records.push_back({.key = key, .value = value});
    complete_reads(log);
}

std::string fake_store::newest(const std::string& topic, const std::string& key) const {
    const auto found = topics_.find(topic);
    std::string value;
    if (found != topics_.end()) {
        for (const auto& stored_record : found->second.content.records) {
            value = stored_record.key == key ? stored_record.value : value;
        }
    }
    return value;
}

void fake_store::compact(const std::string& topic) {
    auto& log = topics_[topic];
    log.content.first_retained = log.content.records.size();
    for (const auto& waiting : std::exchange(log.waiting_reads, {})) {
        reply_read(log.content, waiting.from, waiting.exchange);
    }
}

store_copy fake_store::copy() const {
    store_copy copy;
    for (const auto& [name, topic] : topics_) {
        copy.emplace(name, topic.content);
    }
    return copy;
}

void fake_store::go_away(const store_outage& outage) {
    outage_ = outage;
    if (outage.kind == outage_kind::closed || !outage.keeps_long_polls) {
        for (auto& [name, topic] : topics_) {
            topic.waiting_reads.clear();
        }
    }
    if (outage.kind == outage_kind::closed) {
        server_.reset();
    }
}

bool fake_store::come_back() {
    outage_.reset();
    auto bound = true;
    if (server_ == nullptr) {
        server_ = make_server();
        bound = server_->start();
    }
    for (auto& [name, topic] : topics_) {
        complete_reads(topic);
    }
    return bound;
}

bool fake_store::come_back(const store_copy& copy) {
    ++era_;
    for (auto& [name, topic] : topics_) {
        const auto found = copy.find(name);
        // A topic that the copy does not have stays for its long polls.
        topic.content = found == copy.end() ? topic_records{} : found->second;
    }
    return come_back();
}

bool fake_store::send_held_response() {
    const auto held = std::exchange(held_response_, std::nullopt);
    if (!held || !held->exchange->open()) {
        return false;
    }
    held->exchange->reply(held->response);
    return true;
}

void fake_store::serve(const std::shared_ptr<http_exchange>& exchange) {
    ++calls_;
    if (outage_) {
        return;
    }
    auto& topic = topics_[exchange->parameter("topic").value_or("")];
    if (down_) {
        reply(exchange, {.status = 503});
    } else if (exchange->path() == "/goldcrestwell/log-append") {
        append(topic, exchange);
    } else if (exchange->path() == "/goldcrestwell/log-read") {
        read(topic, exchange);
    } else if (exchange->path() == "/goldcrestwell/log-newest") {
        reply_newest(topic.content, exchange);
    } else {
        reply(exchange, {.status = 404});
    }
}

void fake_store::append(topic_log& topic, const std::shared_ptr<http_exchange>& exchange) {
    auto& records = topic.content.records;
    const nlohmann::json end_document{{"end", records.size()}};
    if (exchange->parameter("at") && integer_parameter(*exchange, "at") != records.size()) {
        reply(exchange, {.status = 412, .body = end_document.dump()});
        return;
    }
    const auto page = decode_record_page(std::string(16, '\0') + exchange->body().str(), records.size());
    for (const auto& decoded_record : page->records) {
        records.push_back({.key = decoded_record.key, .value = decoded_record.payload});
    }
    const nlohmann::json result{{"offset", records.size() - 1}, {"end", records.size()}};
    reply(exchange, {.status = lose_append_responses_ ? 500U : 200U, .body = result.dump()});
    complete_reads(topic);
}

void fake_store::read(topic_log& topic, const std::shared_ptr<http_exchange>& exchange) {
    const auto from = integer_parameter(*exchange, "from");
    if (from != topic.content.records.size() || integer_parameter(*exchange, "wait_ms") == 0) {
        reply_read(topic.content, from, exchange);
        return;
    }
    const auto pending_read =
        topic.waiting_reads.insert(topic.waiting_reads.end(), {.exchange = exchange, .from = from});
    pending_read->expiry = std::make_unique<timer>(
        loop_, [this, &topic, pending_read](time_sample) { on_read_expired(topic, pending_read); });
    pending_read->expiry->schedule_after(std::chrono::milliseconds{integer_parameter(*exchange, "wait_ms")});
}

void fake_store::on_read_expired(topic_log& topic, const std::list<waiting_read>::iterator expired_read) {
    if (!outage_) {
        reply_read(topic.content, expired_read->from, expired_read->exchange);
    }
    // The timer owns the function that runs now, so it is destroyed only after the function has returned.
    loop_.defer([expired = std::shared_ptr<timer>{std::move(expired_read->expiry)}] {});
    topic.waiting_reads.erase(expired_read);
}

void fake_store::reply_read(const topic_records& topic, const std::uint64_t from,
                            const std::shared_ptr<http_exchange>& exchange) {
    if (from < topic.first_retained || from > topic.records.size()) {
        reply(exchange, {.status = 410, .body = nlohmann::json{{"first", topic.first_retained}}.dump()});
        return;
    }
    auto body = to_big_endian(topic.records.size()) + to_big_endian(topic.first_retained);
    for (auto i = from; i < topic.records.size(); ++i) {
        body += encode_record(topic.records[i].key, topic.records[i].value);
    }
    reply(exchange, {.status = 200, .body = body});
}

void fake_store::reply_newest(const topic_records& topic, const std::shared_ptr<http_exchange>& exchange) {
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < topic.records.size(); ++i) {
        newest[topic.records[i].key] = i;
    }
    auto items = nlohmann::json::array();
    for (const auto& [key, offset] : newest) {
        items.push_back({{"key", key}, {"value", to_base64(topic.records[offset].value)}, {"offset", offset}});
    }
    const nlohmann::json page{{"items", items}, {"more", false}, {"end", topic.records.size()}};
    reply(exchange, {.status = 200, .body = page.dump()});
}

void fake_store::complete_reads(topic_log& topic) {
    if (outage_) {
        return;
    }
    std::list<waiting_read> complete;
    for (auto read = topic.waiting_reads.begin(); read != topic.waiting_reads.end();) {
        const auto next = std::next(read);
        if (read->from < topic.content.records.size()) {
            complete.splice(complete.end(), topic.waiting_reads, read);
        }
        read = next;
    }
    for (const auto& waiting : complete) {
        reply_read(topic.content, waiting.from, waiting.exchange);
    }
}

void fake_store::reply(const std::shared_ptr<http_exchange>& exchange, http_response response) {
    if (auto value = era_header_(era_)) {
        response.headers.push_back({.name = "Store-Era", .value = std::move(*value)});
    }
    if (!held_path_.empty() && exchange->path() == held_path_) {
        held_path_.clear();
        held_response_ = held_response{.exchange = exchange, .response = std::move(response)};
        return;
    }
    exchange->reply(response);
}

} // namespace goldcrestwell::test
