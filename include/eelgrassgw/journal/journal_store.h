#pragma once

/// Reads, appends to and seals journals in the object API.

#include "eelgrassgw/base/failpoint.h"
#include "eelgrassgw/journal/journal_segment.h"
#include "eelgrassgw/platform/object_store.h"

#include <algorithm>

namespace eelgrassgw {

/// Builds the contents of one journal from its listed objects: sorts the segments by number and drops those
/// after the seal. Objects under keys of no segment are passed over.
result<journal_contents> to_journal_contents(const std::vector<stored_object>& objects);

/// Gives access to the journals in a store. It is thread-safe because it has no state besides the store.
template <object_store Store>
class journal_store {
public:
    explicit journal_store(Store& store) : store_(store) {}

    /// Creates `segment` unless its number is taken. If it is taken, the stored segment is read and compared
    /// by `writer`, since it may be the same one, written by a call whose answer was lost. Fails with
    /// `fenced` if another writer's segment has the number. After `unreachable` or `outcome_unknown`, the
    /// caller may try again with the same segment.
    result<done> append(const journal_segment& segment) {
        if (failpoint("journal_append") == failpoint_action::error) {
            return make_failure(errc::outcome_unknown, "journal append", "", "failpoint");
        }
        const std::string key = key_of(segment);
        const result<object_version> written = store_.put(key, segment.to_text(), absent_version);
        if (written) {
            return done{};
        }
        if (!written.failed_with(errc::version_conflict)) {
            return written.error();
        }
        return check_own_segment(segment, key);
    }

    /// Reads the whole journal of `incarnation`.
    result<journal_contents> read(const std::string& incarnation) {
        const result<object_changes> listed = store_.list(journal_key_prefix(incarnation));
        if (!listed) {
            return listed.error();
        }
        return to_journal_contents(listed.value().changed);
    }

    /// Ends the journal of `incarnation` with a seal and returns its contents. The call may be repeated
    /// and may run concurrently with others.
    result<journal_contents> seal(const std::string& incarnation, const std::string& writer) {
        for (;;) {
            result<journal_contents> contents = read(incarnation);
            if (!contents || contents.value().seal_number) {
                return contents;
            }
            journal_segment segment;
            segment.incarnation = incarnation;
            segment.number = contents.value().next_number();
            segment.writer = writer;
            segment.seal = true;
            const result<done> written = append(segment);
            if (!written && !written.failed_with(errc::fenced)) {
                return written.error();
            }
        }
    }

    /// Adds the recovery segment after the seal. Returns the segment that the store holds, which may be one
    /// that another recoverer added first.
    result<journal_segment> add_recovery(const journal_segment& segment) {
        const std::string key = recovery_segment_key(segment.incarnation);
        const result<object_version> written = store_.put(key, segment.to_text(), absent_version);
        if (written) {
            return segment;
        }
        if (!written.failed_with(errc::version_conflict)) {
            return written.error();
        }
        const result<std::optional<stored_object>> existing = store_.get(key);
        if (!existing) {
            return existing.error();
        }
        if (!existing.value()) {
            return make_failure(errc::not_found, "read recovery segment", "",
                                "object \"" + key + "\" does not exist");
        }
        return journal_segment::from_text(existing.value()->value);
    }

private:
    static std::string key_of(const journal_segment& segment) {
        return segment_key(segment.incarnation, segment.number);
    }

    /// Succeeds if the object at `key` is `segment`, by its `writer`; fails with `fenced` if it is not.
    result<done> check_own_segment(const journal_segment& segment, const std::string& key) {
        const result<std::optional<stored_object>> existing = store_.get(key);
        if (!existing) {
            return existing.error();
        }
        if (existing.value()) {
            const result<journal_segment> found = journal_segment::from_text(existing.value()->value);
            if (found && found.value().writer == segment.writer) {
                return done{};
            }
        }
        return make_failure(errc::fenced, "journal append", "",
                            "segment \"" + key + "\" was written by another writer");
    }

    Store& store_;
};

} // namespace eelgrassgw
