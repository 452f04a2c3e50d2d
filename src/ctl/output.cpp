#include "command.h"

#include <algorithm>
#include <iostream>

namespace eelgrassgw::ctl {

int report_failure(const failure& f) {
    std::cerr << "eelgrassctl: " << f.text() << "\n";
    if (f.code == errc::unreachable || f.code == errc::outcome_unknown) {
        std::cerr << "Repeat the command: repeating is safe, because nothing is counted twice.\n";
        return exit_unreachable;
    }
    return f.code == errc::malformed || f.code == errc::invalid_configuration ? exit_usage : exit_refused;
}

void print_json(const Json::Value& value) {
    std::cout << to_pretty_text(value);
}

void print_table(const std::vector<std::vector<std::string>>& rows) {
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool is_last = i + 1 == row.size();
            std::cout << row[i] << (is_last ? "\n" : std::string(widths[i] - row[i].size() + 2, ' '));
        }
    }
}

} // namespace eelgrassgw::ctl
