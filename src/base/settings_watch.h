#pragma once

/// Detects that a settings file has changed.

#include <filesystem>
#include <string>
#include <system_error>

namespace eelgrassgw {

/// Compares the file's modification time and size with those of the previous check. Not thread-safe.
class settings_watch {
public:
    explicit settings_watch(std::string path) : path_(std::move(path)) { has_changed(); }

    /// Returns whether the file has changed since the previous check. A file that cannot be read counts as
    /// unchanged.
    bool has_changed() {
        std::error_code ec;
        const auto time = std::filesystem::last_write_time(path_, ec);
        const auto size = ec ? 0 : std::filesystem::file_size(path_, ec);
        if (ec || (time == time_ && size == size_)) {
            return false;
        }
        time_ = time;
        size_ = size;
        return true;
    }

private:
    std::string path_;
    std::filesystem::file_time_type time_{};
    std::uintmax_t size_ = 0;
};

} // namespace eelgrassgw
