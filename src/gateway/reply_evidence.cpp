#include "gateway/reply_evidence.h"

#include <array>
#include <cstddef>

namespace eelgrassgw {

const char* name_of(reply_subject subject) {
    constexpr std::array names = {"this_request", "another_request", "unnamed"};
    return names.at(static_cast<std::size_t>(subject));
}

} // namespace eelgrassgw
