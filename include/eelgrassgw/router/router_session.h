#pragma once

/// The state of one router incarnation: its allowances, journal and registration.

#include "eelgrassgw/journal/journal_writer.h"
#include "eelgrassgw/ledger/ledger_client.h"
#include "eelgrassgw/membership/fleet_view.h"
#include "eelgrassgw/membership/router_registration.h"
#include "eelgrassgw/settings/process_settings.h"

#include <atomic>
#include <memory>

namespace eelgrassgw {

/// Reserves and bills tokens for one router incarnation. Once fenced, a session neither reserves nor bills
/// any more, and the router replaces it by a new one. Thread-safe.
template <object_store Store, allowance_policy Policy>
class router_session {
public:
    router_session(Store& store, const router_settings& settings, const fleet_view& view,
                   unsigned ledger_shards, Policy policy,
                   std::function<void(const journal_segment&)> on_journalled)
        : incarnation_(settings.common.name + "-" + random_id()),
          registration_(store, make_member(settings, incarnation_)),
          ledger_(store, incarnation_, ledger_shards, book_, policy,
                  [&view] { return view.live_router_count(); }),
          on_journalled_(std::move(on_journalled)),
          journal_(
              store, make_journal_options(settings, incarnation_),
              [this](const journal_segment& segment) { handle_journalled(segment); },
              [this] { mark_fenced(); }) {}

    const std::string& incarnation() const { return incarnation_; }
    router_registration<Store>& registration() { return registration_; }
    ledger_client<Store, Policy>& ledger() { return ledger_; }
    journal_writer<Store>& journal() { return journal_; }
    const allowance_book& book() const { return book_; }

    bool is_fenced() const { return fenced_; }
    void mark_fenced() { fenced_ = true; }

    /// Reserves `amount`, the maximum cost of a request. Fails like `ledger_client::reserve`, and also if the
    /// session is fenced.
    result<done> reserve(const std::string& budget, tokens amount) {
        if (fenced_) {
            return make_failure(errc::fenced, "reserve", "",
                                "incarnation \"" + incarnation_ + "\" is sealed");
        }
        if (failpoint("admission_skip_reserve") == failpoint_action::skip) {
            return done{};
        }
        const result<done> reserved = ledger_.reserve(budget, amount);
        if (reserved.failed_with(errc::fenced)) {
            mark_fenced();
        }
        return reserved;
    }

    /// Releases the reservation of a request that certainly did not run.
    void release(const std::string& budget, tokens reserved) { book_.settle(budget, reserved, 0); }

    /// Bills a request that ended. The bill never exceeds the reservation.
    void settle(billing_record record, tokens reserved) {
        record.billed = std::clamp<tokens>(record.billed, 0, reserved);
        record.withheld = std::clamp<tokens>(record.withheld, 0, reserved - record.billed);
        book_.settle(record.budget, reserved, record.billed + record.withheld);
        if (record.billed + record.withheld > 0) {
            journal_.add(std::move(record));
        }
    }

private:
    static router_member make_member(const router_settings& settings, const std::string& incarnation) {
        router_member self;
        self.name = settings.common.name;
        self.incarnation = incarnation;
        self.address = settings.common.advertise;
        self.data_centre = settings.common.data_centre;
        return self;
    }

    static journal_writer_options make_journal_options(const router_settings& settings,
                                                       const std::string& incarnation) {
        journal_writer_options options;
        options.incarnation = incarnation;
        options.interval = settings.journal_interval;
        return options;
    }

    void handle_journalled(const journal_segment& segment) {
        ledger_.add_unfolded(segment);
        on_journalled_(segment);
    }

    const std::string incarnation_;
    std::atomic<bool> fenced_{false};
    allowance_book book_;
    router_registration<Store> registration_;
    ledger_client<Store, Policy> ledger_;
    std::function<void(const journal_segment&)> on_journalled_;
    journal_writer<Store> journal_; ///< This member is last, since its thread uses the others.
};

} // namespace eelgrassgw
