#include "eelgrassgw/configuration/configuration_follower.h"

namespace eelgrassgw {

std::shared_ptr<const configuration> configuration_holder::current() const {
    const std::lock_guard lock(mutex_);
    return current_;
}

configuration_revision configuration_holder::revision() const {
    const std::lock_guard lock(mutex_);
    return current_ == nullptr ? 0 : current_->revision();
}

bool configuration_holder::offer(const Json::Value& document, const char* source) {
    if (int_member(document, "revision") <= revision()) {
        return false;
    }
    result<configuration> parsed = configuration::from_json(document);
    Json::Value fields;
    fields["source"] = source;
    if (!parsed) {
        fields["reason"] = parsed.error().text();
        log_event(log_level::error, "configuration_rejected", fields);
        return false;
    }
    const std::lock_guard lock(mutex_);
    if (current_ != nullptr && parsed.value().revision() <= current_->revision()) {
        return false;
    }
    current_ = std::make_shared<const configuration>(std::move(parsed.value()));
    fields["revision"] = Json::Int64(current_->revision());
    fields["changed_by"] = string_member(document, "changed_by");
    fields["reason"] = string_member(document, "reason");
    log_event(log_level::info, "configuration_in_force", fields);
    return true;
}

} // namespace eelgrassgw
