#include "eelgrassgw/journal/journal_store.h"

namespace eelgrassgw {

namespace {

bool by_number(const journal_segment& a, const journal_segment& b) {
    return a.number < b.number;
}

} // namespace

result<journal_contents> to_journal_contents(const std::vector<stored_object>& objects) {
    journal_contents contents;
    std::vector<journal_segment> all;
    for (const stored_object& object : objects) {
        if (!is_segment_key(object.key)) {
            continue; // Another writer left the object.
        }
        const result<journal_segment> segment = journal_segment::from_text(object.value);
        if (!segment) {
            return make_failure(errc::malformed, "read journal", object.key, segment.error().message);
        }
        if (object.key.ends_with("/recovery")) {
            contents.recovery = segment.value();
        } else {
            all.push_back(segment.value());
        }
    }
    std::sort(all.begin(), all.end(), by_number);
    for (const journal_segment& segment : all) {
        if (segment.seal) {
            contents.seal_number = segment.number;
            break;
        }
        contents.segments.push_back(segment);
    }
    return contents;
}

} // namespace eelgrassgw
