#pragma once

/// Defines the objects of the platform's store and the changes to them that a router follows.

#include "eelgrassgw/base/json.h"
#include "net/http_call.h"

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A point in the store's history. The store counts its revisions anew when it is restored from a copy, and
/// each restore raises its era, so that revisions can be compared only within one era.
struct store_position {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend auto operator<=>(const store_position&, const store_position&) = default;
};

/// Whether the contents of objects are parsed, or handed over as the JSON texts that the store sent.
enum class content_form {
    parsed,
    text,
};

/// One object with its name and content.
struct followed_object {
    std::string name;
    store_position position; ///< Position of the store at which the object last changed.
    Json::Value content;     ///< The parsed content; null if the text was asked for.
    std::string text;        ///< The content's text; empty if the parsed content was asked for.
};

/// One change of an object.
struct followed_change {
    followed_object object;
    bool removed = false; ///< True if the object was removed, false if it was added or updated.
};

/// All objects of a kind, with the store's position from which a watch can continue.
struct object_listing {
    std::vector<followed_object> objects;
    store_position position;
    reply_arrival arrival; ///< How the last page arrived.
};

/// The changes to the objects of a kind since a revision.
struct object_change_list {
    std::vector<followed_change> changes;
    store_position position;   ///< Position from which the next watch continues.
    bool history_lost = false; ///< True if the store no longer has the changes; list the objects again.
    reply_arrival arrival;     ///< How the store's reply arrived.
};

/// The outcome of a conditional write of an object.
struct object_write {
    enum class status_kind {
        applied,  ///< The write succeeded; `current` is the written object.
        conflict, ///< The write was not applied; `current` is the object as it is stored.
        unknown,  ///< The write may have been applied, or may still be applied later.
    };
    status_kind status = status_kind::unknown;
    followed_object current;
    std::string error; ///< Error message if the outcome is `unknown`.
};

/// Requires a store that writes an object only if its revision still equals `expected_revision`, and creates
/// it if that is 0.
template <class T>
concept writable_store = requires(T store, const std::string& text, const Json::Value& content,
                                  std::uint64_t expected_revision) {
    { store.write(text, text, content, expected_revision) } -> std::same_as<task<object_write>>;
};

/// Requires a store whose objects can be listed and watched.
template <class T>
concept followable_store = requires(T store, const std::string& kind, std::uint64_t since_revision,
                                    std::chrono::milliseconds wait, content_form form,
                                    std::size_t max_bytes) {
    { store.list(kind, form) } -> std::same_as<task<result<object_listing>>>;
    {
        store.watch(kind, since_revision, wait, form, max_bytes)
        } -> std::same_as<task<result<object_change_list>>>;
};

} // namespace eelgrassgw
