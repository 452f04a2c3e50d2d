#pragma once

/// Registration of an agent in the object API, and its lookups of routers.

#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/base/log.h"
#include "eelgrassgw/membership/member.h"

#include <algorithm>
#include <mutex>
#include <set>

namespace eelgrassgw {

/// Registers one agent incarnation and checks whether routers are sealed. Thread-safe.
///
/// An agent registers before it looks up a router, and recovery seals a router before it lists the agents.
/// Therefore either the agent sees the seal, or recovery sees the agent.
template <object_store Store>
class agent_registration {
public:
    agent_registration(Store& store, agent_member self) : store_(store), self_(std::move(self)) {}

    /// Writes the entry of this backend server and replaces any earlier one. If the previous incarnation did
    /// not close its entry, the new entry lists it as lost, together with the routers that may have had
    /// tickets there. Safe to repeat after a lost reply.
    result<done> register_now() {
        const std::lock_guard lock(mutex_);
        const result<std::optional<stored_object>> existing = store_.get(agent_key(self_.backend_server));
        if (!existing) {
            return existing.error();
        }
        if (existing.value()) {
            const result<agent_member> previous = agent_member::from_object(*existing.value());
            if (!previous) {
                return previous.error();
            }
            if (previous.value().incarnation == self_.incarnation) {
                set_registered_version(existing.value()->version);
                return done{};
            }
            const result<done> recorded = record_predecessor(previous.value());
            if (!recorded) {
                return recorded;
            }
        }
        const object_version expected = existing.value() ? existing.value()->version : absent_version;
        const result<object_version> written =
            store_.put(agent_key(self_.backend_server), self_.to_text(), expected);
        if (!written) {
            return written.error();
        }
        set_registered_version(written.value());
        return done{};
    }

    /// Returns true if a router that registered at store version `registered_at` needs no lookup because it
    /// registered after this agent. Its recovery can only begin later still, so that it will find this agent
    /// in the list and query it. Precondition: this agent is registered.
    bool recovery_will_query_agent(object_version registered_at) const {
        const std::lock_guard lock(mutex_);
        return registered_at > registered_at_;
    }

    /// Returns true if agents may still run tickets of `router`. Fails if the object API is unreachable.
    result<bool> is_router_open(const std::string& router) {
        const result<std::optional<stored_object>> object = store_.get(router_key(router));
        if (!object) {
            return object.error();
        }
        if (!object.value()) {
            return false;
        }
        const result<router_member> found = router_member::from_object(*object.value());
        if (!found) {
            return found.error();
        }
        return is_open(found.value().state);
    }

    /// Returns all routers that have an entry, including closed ones.
    result<std::vector<router_member>> routers() {
        const result<object_changes> listed = store_.list(routers_prefix);
        if (!listed) {
            return listed.error();
        }
        std::vector<router_member> found;
        for (const stored_object& object : listed.value().changed) {
            const result<router_member> router = router_member::from_object(object);
            if (router) {
                found.push_back(router.value());
            }
        }
        return found;
    }

    /// Changes the state in the entry. Fails with `fenced` if another incarnation has replaced the entry.
    result<done> set_state(member_state state) {
        const std::lock_guard lock(mutex_);
        agent_member changed = self_;
        changed.state = state;
        return write_entry(std::move(changed));
    }

    /// Checks that the entry still belongs to this incarnation. Fails with `fenced` if it does not.
    result<done> check_entry() {
        const result<std::optional<stored_object>> object = store_.get(agent_key(self_.backend_server));
        if (!object) {
            return object.error();
        }
        const result<agent_member> found =
            object.value() ? agent_member::from_object(*object.value())
                           : result<agent_member>(make_failure(errc::fenced, "check registration", "",
                                                               "the registration entry does not exist"));
        if (!found) {
            return found.error();
        }
        if (found.value().incarnation != self_.incarnation) {
            return make_failure(errc::fenced, "check registration", "",
                                "agent \"" + found.value().incarnation +
                                    "\" has taken over backend server \"" + self_.backend_server + "\"");
        }
        return done{};
    }

    /// Returns true if the platform lists `vm` as leaving. The list may be out of date.
    bool is_vm_leaving(const std::string& vm) {
        const result<std::optional<stored_object>> object = store_.get("vms/" + vm);
        if (!object || !object.value()) {
            return false;
        }
        const result<Json::Value> entry = parse_json(object.value()->value);
        return entry && string_member(entry.value(), "state") == "leaving";
    }

    /// Returns the entry that was last written.
    agent_member self() const {
        const std::lock_guard lock(mutex_);
        return self_;
    }

    /// Returns a number that grows with every registration of this backend server. Engines that check it
    /// refuse requests with a lower number.
    std::uint64_t fencing_number() const {
        const std::lock_guard lock(mutex_);
        return self_.version;
    }

private:
    void set_registered_version(object_version version) {
        self_.version = version;
        registered_at_ = version;
    }

    result<done> record_predecessor(const agent_member& previous) {
        self_.lost_incarnations = previous.lost_incarnations;
        const result<std::vector<router_member>> listed = routers();
        if (!listed) {
            return listed.error();
        }
        std::set<std::string> open_routers;
        for (const router_member& router : listed.value()) {
            if (router.state != member_state::closed) {
                open_routers.insert(router.incarnation);
            }
        }
        if (previous.state != member_state::closed) {
            self_.lost_incarnations.push_back(
                {previous.incarnation, {open_routers.begin(), open_routers.end()}});
        }
        remove_settled_incarnations(open_routers);
        return done{};
    }

    /// Removes the lost incarnations whose routers are all closed.
    void remove_settled_incarnations(const std::set<std::string>& open_routers) {
        std::erase_if(self_.lost_incarnations, [&](const lost_incarnation& entry) {
            return std::none_of(entry.routers.begin(), entry.routers.end(),
                                [&](const std::string& router) { return open_routers.contains(router); });
        });
    }

    result<done> write_entry(agent_member changed) {
        const result<object_version> written =
            store_.put(agent_key(self_.backend_server), changed.to_text(), self_.version);
        if (written) {
            changed.version = written.value();
            self_ = std::move(changed);
            return done{};
        }
        if (!written.failed_with(errc::version_conflict)) {
            return written.error();
        }
        const result<std::optional<stored_object>> object = store_.get(agent_key(self_.backend_server));
        if (object && object.value() && object.value()->value == changed.to_text()) {
            changed.version = object.value()->version;
            self_ = std::move(changed);
            return done{};
        }
        return make_failure(errc::fenced, "change registration", "", "another agent holds the entry");
    }

    Store& store_;
    mutable std::mutex mutex_;
    agent_member self_;
    object_version registered_at_ = absent_version;
};

} // namespace eelgrassgw
