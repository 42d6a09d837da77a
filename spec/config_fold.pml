/* Model of the configuration as a fold of patches from the log, with snapshots, trimming and states from peers.
 *
 * Operators append patches that are based on the last number they have seen. Answers may be lost, so a patch may be
 * appended twice. Each VM folds the log. The log's oldest records may be trimmed at any time. A VM that is behind, or
 * new, adopts a snapshot or the state of a peer.
 *
 * never_reverts:     the number of a VM never decreases until the VM is replaced.
 * gapless:           numbers are assigned without gaps, and a number identifies the same state on every VM.
 * verdict_is_true:   an operator gets the verdict "accepted" if and only if the fold of the complete log accepts the
 *                    patch.
 *
 * Bounds: 3 patches with 2 appends each, 2 VMs, of which one is replaced once, and 1 stored snapshot, which any VM may
 * overwrite.
 */

#define PATCHES 3
#define LOG_BOUND 6
#define READERS 2
#define SNAPSHOTS 1

/* State after folding a prefix of the log. The chain contains the accepted patches in order, two bits each. The sets
 * of decided and accepted patches have one bit for each patch. */
typedef fold_state {
    byte next;
    byte number;
    byte chain;
    byte decided;
    byte accepted
}

typedef snapshot_record {
    bool written;
    fold_state folded
}

byte log_patch[LOG_BOUND];
byte log_base[LOG_BOUND];
byte log_length = 0;
byte first_retained = 0;

fold_state full_fold;
byte chain_of_number[PATCHES + 1];

byte appends[PATCHES];
byte base_of[PATCHES];
fold_state reader[READERS];
bool restarted;
snapshot_record snapshot[SNAPSHOTS];

inline copy_state(to, from)
{
    to.next = from.next;
    to.number = from.number;
    to.chain = from.chain;
    to.decided = from.decided;
    to.accepted = from.accepted
}

inline fold_patch(state, patch, base)
{
    if
#ifndef BROKEN_JUDGED_TWICE
    :: state.decided & (1 << patch) -> skip
#endif
    :: else ->
        state.decided = state.decided | (1 << patch);
        if
        :: base == state.number ->
            state.number++;
            state.chain = state.chain * 4 + patch + 1;
            state.accepted = state.accepted | (1 << patch)
        :: else -> state.accepted = state.accepted & ~(1 << patch)
        fi
    fi;
    state.next++
}

inline check_reader(id)
{
    assert(reader[id].number <= full_fold.number);
    assert(reader[id].chain == chain_of_number[reader[id].number]);           /* gapless */
    assert((reader[id].accepted & ~full_fold.accepted) == 0);                 /* verdict_is_true */
    assert((reader[id].decided & full_fold.accepted & ~reader[id].accepted) == 0)
}

inline adopt_state(id, state)
{
    assert(state.number >= reader[id].number);                                /* never_reverts */
    copy_state(reader[id], state);
    check_reader(id)
}

active proctype config_fold()
{
    byte id = 0;
    byte patch = 0;
    byte slot = 0;

end:
    do
    /* An operator appends a patch based on the current number of some VM, or appends it again. */
    :: atomic {
        select(patch : 0 .. PATCHES - 1);
        select(id : 0 .. READERS - 1);
        if
        :: appends[patch] < 2 ->
            d_step {
                if
                :: appends[patch] == 0 -> base_of[patch] = reader[id].number
                :: else
                fi;
                appends[patch]++;
                log_patch[log_length] = patch;
                log_base[log_length] = base_of[patch];
                log_length++;
                fold_patch(full_fold, patch, base_of[patch]);
                chain_of_number[full_fold.number] = full_fold.chain
            }
        :: else
        fi;
        patch = 0;
        id = 0
       }

    /* The log trims its oldest record. */
    :: d_step { first_retained < log_length -> first_retained++ }

    :: atomic {
        select(id : 0 .. READERS - 1);
        select(slot : 0 .. SNAPSHOTS - 1);
        if
        /* A VM folds the next record. */
        :: reader[id].next >= first_retained && reader[id].next < log_length ->
            d_step {
                fold_patch(reader[id], log_patch[reader[id].next], log_base[reader[id].next]);
                check_reader(id)
            }
        /* A VM that is behind or new adopts a snapshot and continues after the last offset that the snapshot covers. */
        :: snapshot[slot].written &&
#ifdef BROKEN_OLD_SNAPSHOT
           (reader[id].next < first_retained || reader[id].number == 0) ->
#else
           snapshot[slot].folded.next > reader[id].next ->
#endif
            d_step { adopt_state(id, snapshot[slot].folded) }
#ifdef BROKEN_SKIPPED_GAP
        :: reader[id].next < first_retained -> reader[id].next = first_retained
#endif
        /* A VM adopts the state of a peer that has a larger number. */
        :: reader[1 - id].number > reader[id].number -> d_step { adopt_state(id, reader[1 - id]) }
        /* A VM writes a snapshot. */
        :: reader[id].next > 0 ->
            d_step {
                snapshot[slot].written = true;
                copy_state(snapshot[slot].folded, reader[id]);
#ifdef BROKEN_SNAPSHOT_POSITION
                snapshot[slot].folded.next = log_length;
#endif
#ifdef BROKEN_SNAPSHOT_WITHOUT_VERDICTS
                snapshot[slot].folded.decided = 0;
                snapshot[slot].folded.accepted = 0
#endif
            }
        /* The VM is replaced by a new one. */
        :: id == 1 && !restarted ->
            d_step {
                restarted = true;
                reader[id].next = 0;
                reader[id].number = 0;
                reader[id].chain = 0;
                reader[id].decided = 0;
                reader[id].accepted = 0
            }
        :: else
        fi;
        id = 0;
        slot = 0
       }
    od
}
