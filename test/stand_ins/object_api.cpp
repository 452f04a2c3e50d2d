/// Stand-in for the platform's object API that keeps its objects in memory. It writes its history to a file,
/// which the checker of the system tests reads.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/transport/http_client.h"
#include "eelgrassgw/transport/http_server.h"
#include "test/stand_ins/stand_in.h"

#include <gflags/gflags.h>

#include <condition_variable>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

DEFINE_string(listen, "127.0.0.1:0", "address and port");
DEFINE_string(history, "",
              "file to which each write is appended as a line of JSON; no history is written if empty");

namespace eelgrassgw::stand_in {

/// Size up to which the object API accepts a value.
constexpr std::size_t max_value_bytes = 1U << 20U;

/// Handles the requests of the object API. Thread-safe.
class object_api {
public:
    void handle(const http_request& request, http_exchange& exchange) {
        if (request.path == "/v1/object" && request.method == "GET") {
            get(request, exchange);
        } else if (request.path == "/v1/object") {
            write(request, exchange);
        } else if (request.path == "/v1/objects") {
            exchange.send(json_response(200, changes(request.parameter("prefix"), 0)));
        } else if (request.path == "/v1/watch") {
            watch(request, exchange);
        } else {
            exchange.send({404, {}, ""});
        }
    }

private:
    /// A stored object. A deleted object remains with the version of its deletion, so that watches report it.
    struct object {
        std::uint64_t version = 0; ///< Version of the store at the last write of this object.
        std::string value;
        bool deleted = false;
    };

    void get(const http_request& request, http_exchange& exchange) {
        const std::lock_guard lock(mutex_);
        const auto it = objects_.find(request.parameter("key"));
        if (it == objects_.end() || it->second.deleted) {
            exchange.send({404, {}, ""});
            return;
        }
        exchange.send({200, {{"object-version", std::to_string(it->second.version)}}, it->second.value});
    }

    /// Puts or deletes an object if its current version equals the expected one.
    void write(const http_request& request, http_exchange& exchange) {
        if (request.body.size() > max_value_bytes) {
            exchange.send({413, {}, ""});
            return;
        }
        const std::lock_guard lock(mutex_);
        const std::string key = request.parameter("key");
        const auto it = objects_.find(key);
        const std::uint64_t current = it == objects_.end() || it->second.deleted ? 0 : it->second.version;
        if (request.header("expected-version") != std::to_string(current)) {
            exchange.send({412, {{"object-version", std::to_string(current)}}, ""});
            return;
        }
        objects_[key] = {++version_, request.body, request.method == "DELETE"};
        append_to_history(key);
        changed_.notify_all();
        exchange.send({200, {{"object-version", std::to_string(version_)}}, ""});
    }

    /// Waits until an object under the prefix has a version above `since`, at most for `wait_ms`, and sends
    /// the changed objects.
    void watch(const http_request& request, http_exchange& exchange) {
        const std::string prefix = request.parameter("prefix");
        const std::uint64_t since = std::strtoull(request.parameter("since").c_str(), nullptr, 10);
        const std::chrono::milliseconds max_wait(std::atoi(request.parameter("wait_ms").c_str()));
        {
            std::unique_lock lock(mutex_);
            changed_.wait_for(lock, max_wait, [&] { return has_changes(prefix, since); });
        }
        exchange.send(json_response(200, changes(prefix, since)));
    }

    bool has_changes(const std::string& prefix, std::uint64_t since) const {
        for (auto it = objects_.lower_bound(prefix); it != objects_.end() && it->first.starts_with(prefix);
             ++it) {
            if (it->second.version > since) {
                return true;
            }
        }
        return false;
    }

    /// Returns the objects under `prefix` with a version above `since`. If `since` is 0, deleted objects are
    /// left out.
    Json::Value changes(const std::string& prefix, std::uint64_t since) {
        const std::lock_guard lock(mutex_);
        Json::Value body;
        body["store_version"] = Json::UInt64(version_);
        body["objects"] = Json::arrayValue;
        for (auto it = objects_.lower_bound(prefix); it != objects_.end() && it->first.starts_with(prefix);
             ++it) {
            if (it->second.version <= since || (since == 0 && it->second.deleted)) {
                continue;
            }
            Json::Value entry;
            entry["key"] = it->first;
            entry["version"] = Json::UInt64(it->second.deleted ? 0 : it->second.version);
            entry["value"] = it->second.value;
            body["objects"].append(entry);
        }
        return body;
    }

    /// Appends the last write, which changed `key`, to the history file. The mutex must be held.
    void append_to_history(const std::string& key) {
        if (FLAGS_history.empty()) {
            return;
        }
        static std::ofstream out(FLAGS_history, std::ios::app);
        Json::Value line;
        line["key"] = key;
        line["version"] = Json::UInt64(version_);
        line["deleted"] = objects_[key].deleted;
        line["value"] = objects_[key].value;
        out << to_text(line) << std::endl;
    }

    std::mutex mutex_;
    std::condition_variable changed_; ///< Notified after each write.
    std::map<std::string, object> objects_;
    std::uint64_t version_ = 0; ///< Version of the whole store, which grows by one with every write.
};

} // namespace eelgrassgw::stand_in

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    eelgrassgw::stand_in::object_api api;
    return eelgrassgw::stand_in::serve(
        FLAGS_listen, [&](const auto& request, auto& exchange) { api.handle(request, exchange); });
}
