#include "stand_in/http_service.hpp"
#include "stand_in/log_stream.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <list>
#include <map>

namespace {

using namespace goldcrestwell::test;
using std::chrono::milliseconds;

constexpr std::uint64_t default_batch = 1000;
constexpr std::string_view stream_prefix = "/streams/";
constexpr std::string_view stream_suffix = "/records";
constexpr const char* msgpack_type = "application/msgpack";

enum class outage_kind : std::uint8_t { none, refuse, close };

struct log_faults {
    outage_kind outage{outage_kind::none};
    milliseconds delay{};
    /** @brief Number of further appends that are stored without a response. */
    std::uint64_t lose_answers{};
};

struct log_options {
    std::uint16_t port{};
    std::chrono::seconds retention{};
    std::size_t retain{};
};

class platform_log {
public:
    explicit platform_log(const log_options& options)
        : options_{options}, service_{
                                 options.port,
                                 [this](evhttp_request* request, const http_input& input) { handle(request, input); },
                                 [this] {
                                     service_.stop();
                                 }} {}

    [[nodiscard]] bool run() {
        if (!service_.ready()) {
            return false;
        }
        service_.run();
        return true;
    }

private:
    struct pending_read {
        std::uint64_t number;
        evhttp_request* request;
        std::string stream;
        std::uint64_t after;
        std::uint64_t limit;
    };

    void handle(evhttp_request* request, const http_input& input) {
        if (input.path == "/faults") {
            handle_faults(request, input);
            return;
        }
        const auto name = stream_name(input.path);
        if (name.empty()) {
            http_service::reply(request, HTTP_NOTFOUND, "no such stream\n");
        } else if (faults_.outage != outage_kind::none) {
            refuse(request);
        } else if (input.method == EVHTTP_REQ_POST) {
            append(request, name, input.body);
        } else {
            read(request, name, input.query);
        }
    }

    static std::string stream_name(const std::string_view path) {
        if (!path.starts_with(stream_prefix) || !path.ends_with(stream_suffix) ||
            path.size() <= stream_prefix.size() + stream_suffix.size()) {
            return {};
        }
        return std::string{
            path.substr(stream_prefix.size(), path.size() - stream_prefix.size() - stream_suffix.size())};
    }

    void handle_faults(evhttp_request* request, const http_input& input) {
        if (input.method == EVHTTP_REQ_POST) {
            set_faults(input.query);
        }
        const char* outage = faults_.outage == outage_kind::none     ? "none"
                             : faults_.outage == outage_kind::refuse ? "refuse"
                                                                     : "close";
        const nlohmann::json report{
            {"outage", outage}, {"delay_ms", faults_.delay.count()}, {"lose_answers", faults_.lose_answers}};
        http_service::reply(request, HTTP_OK, report.dump(), "application/json");
    }

    void set_faults(const parameters& query) {
        if (const auto found = query.find("outage"); found != query.end()) {
            const bool refuse_all = found->second == "refuse" || found->second == "1";
            faults_.outage = refuse_all                 ? outage_kind::refuse
                             : found->second == "close" ? outage_kind::close
                                                        : outage_kind::none;
        }
        const auto delay = static_cast<std::uint64_t>(faults_.delay.count());
        faults_.delay = milliseconds{number_or(query, "delay_ms", delay)};
        faults_.lose_answers = number_or(query, "lose_answers", faults_.lose_answers);
        if (faults_.outage != outage_kind::none) {
            for (const auto& pending : std::exchange(pending_reads_, {})) {
                refuse(pending.request);
            }
        }
    }

    void refuse(evhttp_request* request) const {
        if (faults_.outage == outage_kind::close) {
            http_service::drop(request);
        } else {
            http_service::reply(request, HTTP_SERVUNAVAIL, "outage\n");
        }
    }

    void send(evhttp_request* request, std::string body, const char* type) {
        if (faults_.delay.count() == 0) {
            http_service::reply(request, HTTP_OK, body, type);
            return;
        }
        service_.call_after(faults_.delay, [request, body = std::move(body), type] {
            http_service::reply(request, HTTP_OK, body, type);
        });
    }

    log_stream& retained_stream(const std::string& name) {
        log_stream& stream = streams_[name];
        stream.expire(options_.retention, options_.retain, std::chrono::steady_clock::now());
        return stream;
    }

    void append(evhttp_request* request, const std::string& name, const std::string& record) {
        const auto offset = retained_stream(name).append(record, std::chrono::steady_clock::now());
        if (faults_.lose_answers > 0) {
            --faults_.lose_answers;
            http_service::drop(request);
        } else {
            send(request, std::to_string(offset), "text/plain");
        }
        complete_pending_reads([&name](const pending_read& pending) { return pending.stream == name; });
    }

    void read(evhttp_request* request, const std::string& name, const parameters& query) {
        const auto after = number_or(query, "after", 0);
        const auto limit = number_or(query, "max", default_batch);
        const milliseconds wait{number_or(query, "wait_ms", 0)};
        if (retained_stream(name).head() > after || wait.count() == 0) {
            send(request, retained_stream(name).read(after, limit), msgpack_type);
            return;
        }
        const auto number = next_read_number_++;
        pending_reads_.push_back(
            {.number = number, .request = request, .stream = name, .after = after, .limit = limit});
        service_.call_after(wait, [this, number] {
            complete_pending_reads([number](const pending_read& pending) { return pending.number == number; });
        });
    }

    void complete_pending_reads(const std::function<bool(const pending_read&)>& matches) {
        std::list<pending_read> completed;
        for (auto next = pending_reads_.begin(); next != pending_reads_.end();) {
            const auto current = next++;
            if (matches(*current)) {
                completed.splice(completed.end(), pending_reads_, current);
            }
        }
        for (const auto& pending : completed) {
            send(pending.request, retained_stream(pending.stream).read(pending.after, pending.limit), msgpack_type);
        }
    }

    log_options options_;
    log_faults faults_;
    std::map<std::string, log_stream> streams_;
    std::list<pending_read> pending_reads_;
    std::uint64_t next_read_number_{};
    http_service service_;
};

log_options read_options(const int argc, char** argv) {
    cxxopts::Options options{"stand_in_platform_log", "Stands in for the platform's log in tests"};
    auto add = options.add_options();
    add("port", "Port on 127.0.0.1", cxxopts::value<std::uint16_t>());
    add("retention-s", "Seconds a record is kept, 0 for ever", cxxopts::value<std::uint32_t>()->default_value("0"));
    add("retain", "Records kept in a stream, 0 for all", cxxopts::value<std::size_t>()->default_value("0"));
    const auto parsed = options.parse(argc, argv);
    return {.port = parsed["port"].as<std::uint16_t>(),
            .retention = std::chrono::seconds{parsed["retention-s"].as<std::uint32_t>()},
            .retain = parsed["retain"].as<std::size_t>()};
}

} // namespace

int main(int argc, char** argv) {
    try {
        platform_log log{read_options(argc, argv)};
        if (!log.run()) {
            std::cerr << "stand_in_platform_log: cannot bind the port\n";
            return 1;
        }
    } catch (const std::exception& error) {
        std::cerr << "stand_in_platform_log: " << error.what() << '\n';
        return 2;
    }
    return 0;
}
