// What an owner answers to a request, decided from the folded state alone.
#pragma once

#include <agatespar/ledger/ledger_messages.h>
#include <agatespar/ledger/ledger_settings.h>
#include <agatespar/ledger/partition_reader.h>
#include <agatespar/ledger/partition_state.h>
#include <agatespar/support/clock.h>

namespace agatespar {

/// What an owner knows when it decides.
struct owner_view {
    const partition_state& state;
    window_state window{window_state::recovering};
    /// Whether the state holds all records that stood in the log when the request came.
    bool fresh{false};
    wall_time now;
};

enum class owner_step {
    /// Answer with the judgement.
    answer,
    /// The request's record must be written to the log first.
    write,
    /// Read on before deciding.
    wait,
};

struct owner_decision {
    owner_step step{owner_step::wait};
    key_judgement judgement;
};

/// @param record what the request carries. @return how to serve the request.
owner_decision decide_request(const owner_view& view, ledger_operation operation, const ledger_record& record,
                              const ledger_settings& settings);

} // namespace agatespar
