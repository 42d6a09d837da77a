// Decides how an owner serves a request, from the folded state of the partition.
#pragma once

#include <agatespar/ledger/ledger_messages.h>
#include <agatespar/ledger/ledger_settings.h>
#include <agatespar/ledger/partition_reader.h>
#include <agatespar/ledger/partition_state.h>
#include <agatespar/support/clock.h>

namespace agatespar {

/// The input of an owner's decision.
struct owner_view {
    const partition_state& state;
    window_state window{window_state::recovering};
    /// Whether the state includes all records that were in the log when the request arrived.
    bool fresh{false};
    wall_time now;
};

enum class owner_step {
    /// Answer with `owner_decision::evaluation`.
    answer,
    /// Write the request's record to the log before answering.
    write,
    /// Read more of the log before deciding.
    wait,
};

struct owner_decision {
    owner_step step{owner_step::wait};
    key_evaluation evaluation;
};

/// @param record the record in the request. @return how to serve the request.
owner_decision decide_request(const owner_view& view, ledger_operation operation, const ledger_record& record,
                              const ledger_settings& settings);

} // namespace agatespar
