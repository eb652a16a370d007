#include "goldcrestwell/codec/csv_text.hpp"

#include <csv.h>

namespace goldcrestwell::internal {

namespace {

std::string_view take_line(std::string_view& text) {
    auto end = text.find_first_of("\r\n");
    if (end == std::string_view::npos) {
        end = text.size();
    } else {
        end += text.substr(end).starts_with("\r\n") ? 2 : 1;
    }
    const auto line = text.substr(0, end);
    text.remove_prefix(end);
    return line;
}

bool is_blank(const std::string_view line) {
    return line.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

// Passes the text to libcsv line by line, because libcsv does not report the line on which a row starts.
class csv_splitter {
public:
    csv_splitter() { initialized_ = csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI) == 0; }
    ~csv_splitter() { csv_free(&parser_); }
    csv_splitter(const csv_splitter&) = delete;
    csv_splitter& operator=(const csv_splitter&) = delete;

    csv_text split(std::string_view text) {
        while (!text.empty() && result_.reason == csv_reason::none) {
            feed(take_line(text));
        }
        if (result_.reason == csv_reason::none && (!initialized_ || csv_fini(&parser_, on_field, on_row, this) != 0)) {
            fail();
        }
        return std::move(result_);
    }

private:
    void feed(const std::string_view line) {
        ++line_;
        if (!inside_row_) {
            row_line_ = line_;
        }
        row_ended_ = false;
        if (!initialized_ || csv_parse(&parser_, line.data(), line.size(), on_field, on_row, this) != line.size()) {
            fail();
        }
        inside_row_ = !row_ended_ && (inside_row_ || !is_blank(line));
    }

    void fail() {
        result_.reason = csv_reason::bad_quoting;
        result_.line = row_line_;
        result_.column = fields_.size() + 1;
    }

    static void on_field(void* data, const std::size_t size, void* self) {
        static_cast<csv_splitter*>(self)->fields_.emplace_back(static_cast<const char*>(data), size);
    }
    static void on_row(int /*terminator*/, void* self) {
        auto& splitter = *static_cast<csv_splitter*>(self);
        splitter.row_ended_ = true;
        splitter.result_.rows.push_back({.line = splitter.row_line_, .fields = std::move(splitter.fields_)});
        splitter.fields_.clear();
    }

    csv_parser parser_{};
    csv_text result_;
    std::vector<std::string> fields_;
    std::size_t line_{};
    std::size_t row_line_{1};
    bool initialized_{};
    bool inside_row_{};
    bool row_ended_{};
};

} // namespace

csv_text split_csv(const std::string_view text) {
    csv_splitter splitter;
    return splitter.split(text);
}

std::string csv_field(const std::string_view text) {
    const bool needs_no_quotes = text.find_first_of(",\"\r\n") == std::string_view::npos && !text.starts_with(' ') &&
                                 !text.ends_with(' ') && !text.starts_with('\t') && !text.ends_with('\t');
    if (needs_no_quotes) {
        return std::string{text};
    }
    std::string quoted(csv_write(nullptr, 0, text.data(), text.size()), '\0');
    csv_write(quoted.data(), quoted.size(), text.data(), text.size());
    return quoted;
}

} // namespace goldcrestwell::internal
