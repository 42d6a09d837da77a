/* Claims of one key of a non-idempotent request.
 *
 * A caller submits the key to VM 0, may stop waiting and submit it to VM 1, and may then cancel it. Both VMs claim
 * through either of two owners of the partition, whose answers may be lost and whose appends may take effect late. A
 * holder may be paused past its claim's expiry or abandon the claim at any time. Part of the log may be trimmed before
 * owner 1 reads it.
 *
 * runs_at_most_once: the request runs at most once.
 * not_run_is_true:   a request that was reported as not run has not run and never will.
 *
 * Bounds: 2 claimants with 2 appends per claim, 1 cancel, 2 owners, 1 trimmed record, 1 owner that starts later.
 */

#define NONE 0
#define CLAIM_0 1
#define CLAIM_1 2
#define ABANDON_0 3
#define ABANDON_1 4
#define CANCEL 5
#define RECORD_KINDS 6
#define LOG_BOUND 8
#define APPEND_BOUND 2

/* States of a claimant. */
#define IDLE 0
#define CLAIMING 1
#define GRANTED 2
#define CHECKED 3
#define ENDED 4

/* Verdicts. */
#define NO_VERDICT 0
#define WON 1
#define LOST 2
#define CLOSED 3

byte log[LOG_BOUND];
byte log_length = 0;
bool trimmed = false;           /* whether the first record has been trimmed */
bool late[RECORD_KINDS];        /* appends that reported an error and have not taken effect yet */

byte first_read[2];             /* index of the first record that each owner reads */
bool started[2];
bool window_read[2];

byte claimant[2];
byte appends[2];
bool expired[2];
bool abandon_pending[2];
byte cancels = 0;
byte awaited = 0;               /* whose answer the caller waits for: VM 0, VM 1, or 2 for the cancel */

byte runs = 0;
byte highest_fence = 0;
bool reported_not_run = false;

/* Results of fold. */
byte holder;                    /* 1 + the claimant that holds the key */
bool closed;
bool seen[2];

inline fold(from, until)
{
    holder = 0;
    closed = false;
    seen[0] = false;
    seen[1] = false;
    index = from;
    do
    :: index < until ->
        if
        :: log[index] == CLAIM_0 || log[index] == CLAIM_1 ->
            claimer = log[index] - CLAIM_0;
            if
            :: !seen[claimer] ->
                seen[claimer] = true;
                if
                :: holder == 0 && !closed -> holder = claimer + 1
#if defined(BROKEN_TAKE_OVER) || defined(BROKEN_FENCED_TAKE_OVER)
                :: holder != 0 && expired[holder - 1] -> holder = claimer + 1
#endif
                :: else
                fi
            :: else
            fi
        :: log[index] == ABANDON_0 || log[index] == ABANDON_1 ->
            claimer = log[index] - ABANDON_0;
            seen[claimer] = true;
            if
            :: holder == claimer + 1 -> holder = 0
            :: else
            fi
        :: log[index] == CANCEL ->
            if
            :: holder == 0 -> closed = true
#ifdef BROKEN_CANCEL
            :: holder != 0 -> closed = true
#endif
            :: else
            fi
        fi;
        index++
    :: else -> break
    od;
    index = 0;
    claimer = 0
}

inline reset_fold()
{
    holder = 0;
    closed = false;
    seen[0] = false;
    seen[1] = false
}

/* The append takes effect now, later or never. The model does not use its answer. */
inline append(record)
{
    if
    :: log_length < LOG_BOUND -> log[log_length] = record; log_length++
    :: late[record] = true
    :: skip
    fi
}

/* A running owner decides from any prefix of the log: a verdict must hold regardless of how much the owner has read. */
inline decide_verdict(vm, owner, verdict)
{
    verdict = NO_VERDICT;
    if
    :: started[owner] ->
        select(prefix : 0 .. log_length);
        fold(first_read[owner], prefix);
        prefix = 0;
        if
        :: closed && window_read[owner] -> verdict = CLOSED
        :: !closed && holder == vm + 1 && window_read[owner] -> verdict = WON
        :: !closed && holder != 0 && holder != vm + 1 -> verdict = LOST
        :: else
        fi;
        reset_fold()
    :: else
    fi
}

inline report_not_run()
{
    assert(runs == 0);          /* not_run_is_true */
    reported_not_run = true
}

/* A refusal without a verdict proves that the request has not run only if the caller has not sent the key before. */
inline refuse(vm)
{
    if
#ifdef BROKEN_REFUSAL
    :: awaited == vm -> report_not_run()
#else
    :: vm == 0 && awaited == 0 -> report_not_run()
#endif
    :: else
    fi
}

inline dispatch(vm)
{
#ifdef BROKEN_FENCED_TAKE_OVER
    /* The backend server refuses fencing numbers lower than the highest seen. */
    fold(0, log_length);
    fence = 1;
    do
    :: fence <= log_length && log[fence - 1] != CLAIM_0 + vm -> fence++
    :: else -> break
    od;
    if
    :: fence >= highest_fence ->
        highest_fence = fence;
        assert(runs == 0);
        runs++
    :: else
    fi;
    fence = 0
#else
    assert(runs == 0);          /* runs_at_most_once */
    assert(!reported_not_run);  /* not_run_is_true */
    runs++
#endif
}

active proctype claim_protocol()
{
    byte vm = 0;
    byte owner = 0;
    byte verdict = NO_VERDICT;
    byte record = NONE;
    byte index = 0;
    byte claimer = 0;
    byte fence = 0;
    byte prefix = 0;

    d_step {
        started[0] = true;
        window_read[0] = true
    }

end:
    do
    /* The caller. */
    :: atomic { claimant[0] == IDLE -> claimant[0] = CLAIMING }
    :: atomic { claimant[0] != IDLE && awaited == 0 && !reported_not_run -> awaited = 1; claimant[1] = CLAIMING }
    :: atomic { awaited == 1 && !reported_not_run -> awaited = 2 }

    /* The claimants. */
    :: atomic {
        select(vm : 0 .. 1);
        if
        :: claimant[vm] == CLAIMING && appends[vm] < APPEND_BOUND ->
            appends[vm]++;
#ifdef BROKEN_NO_READ_BACK
            if
            :: log_length < LOG_BOUND -> log[log_length] = CLAIM_0 + vm; log_length++; claimant[vm] = GRANTED
            :: skip
            fi
#else
            append(CLAIM_0 + vm)
#endif
        :: claimant[vm] == CLAIMING ->
            select(owner : 0 .. 1);
            decide_verdict(vm, owner, verdict);
            if
            :: verdict == WON -> claimant[vm] = GRANTED
            :: verdict == LOST -> claimant[vm] = ENDED
            :: verdict == CLOSED ->
                claimant[vm] = ENDED;
                if
                :: awaited == vm -> report_not_run()
                :: else
                fi
            :: else
            fi
        :: claimant[vm] == CLAIMING || claimant[vm] == GRANTED ->
            refuse(vm);
            abandon_pending[vm] = true;
#ifdef BROKEN_GIVES_UP_AND_RUNS
            if
            :: claimant[vm] == GRANTED -> claimant[vm] = CHECKED
            :: else -> claimant[vm] = ENDED
            fi
#else
            claimant[vm] = ENDED
#endif
        :: claimant[vm] == GRANTED && !expired[vm] -> claimant[vm] = CHECKED
        :: claimant[vm] == CHECKED -> dispatch(vm); claimant[vm] = ENDED
        :: abandon_pending[vm] -> abandon_pending[vm] = false; append(ABANDON_0 + vm)
        :: else
        fi;
        verdict = NO_VERDICT; owner = 0; vm = 0
       }
    :: atomic { claimant[0] >= GRANTED && !expired[0] -> expired[0] = true }
    :: atomic { claimant[1] >= GRANTED && !expired[1] -> expired[1] = true }

    /* The cancel. */
    :: atomic { awaited == 2 && cancels == 0 -> cancels = 1; append(CANCEL) }
    :: atomic {
        awaited == 2 && !reported_not_run ->
        select(owner : 0 .. 1);
        decide_verdict(2, owner, verdict);
        if
        :: verdict == CLOSED -> report_not_run()
        :: else
        fi;
        verdict = NO_VERDICT; owner = 0
       }

    /* The log and its owners. */
    :: atomic {
        select(record : CLAIM_0 .. CANCEL);
        if
        :: late[record] && log_length < LOG_BOUND ->
            late[record] = false;
            log[log_length] = record;
            log_length++
        :: else
        fi;
        record = NONE
       }
    :: atomic { log_length > 0 && !trimmed -> trimmed = true }
    :: atomic {
        !started[1] ->
        started[1] = true;
        first_read[1] = (trimmed -> 1 : 0);
#ifdef BROKEN_TRIMMED_WINDOW
        window_read[1] = true
#else
        window_read[1] = !trimmed
#endif
       }
    od
}
