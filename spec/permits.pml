/* Permits of one backend server across changes of its owner.
 *
 * An owner grants permits with a lifetime, which the holder counts from the time at which it sent its request. Work
 * started under a permit may continue after the permit has expired. After a change of the owner, the old owner may
 * grant permits until its view of the zone is up to date, also after a pause. The new owner first waits until the old
 * owner has stopped granting and its permits have expired. It then reads from the server's load report what still
 * runs.
 *
 * permits_within_limit: usable permits and running work never exceed the server's limit.
 *
 * Bounds of the model: limit 2, 3 permits at a time, 2 owners, 2 changes. Times are in ticks.
 */

#define LIMIT 2
#define PERMITS 3
#define CHANGES 2

#define LIFETIME 1      /* of a permit that is not used */
#define VIEW_LAG 1      /* delay until a replaced owner that is not paused has an up-to-date view */
#define PAUSE_LIMIT 1   /* an owner detects a longer pause when it resumes */
#define WAIT (LIFETIME + VIEW_LAG + PAUSE_LIMIT + 1)

/* The state of a permit at its holder. */
#define FREE 0
#define REQUESTED 1
#define GRANTED 2       /* granted, not received by the holder yet */
#define HELD 3
#define RUNNING 4

/* The role of a VM. */
#define NOT_OWNER 0
#define WAITING 1
#define OWNER 2

/* After a pause, an owner processes the messages that arrived during the pause before it can be paused again. */
#ifdef BROKEN_REPEATED_PAUSES
#define may_pause(owner) true
#else
#define may_pause(owner) !(replaced[owner] && lag[owner] == 0)
#endif

byte permit[PERMITS];
byte granter[PERMITS];
byte expires_in[PERMITS];       /* ticks until an unused permit expires */

byte role[2];
byte wait[2];
byte lag[2];                    /* ticks until a replaced owner has an up-to-date view */
bool replaced[2];
byte unknown_work[2];           /* running work under permits of other owners, from the load report */
byte paused[2];                 /* 1 + ticks since the pause began; 0 if not paused */
byte changes = 0;
byte current = 0;

/* Counts running work and permits that may still be used, and checks the limit. */
inline check_limit()
{
    total = 0;
    index = 0;
    do
    :: index < PERMITS ->
        if
        :: permit[index] == RUNNING || ((permit[index] == GRANTED || permit[index] == HELD) && expires_in[index] > 0) ->
            total++
        :: else
        fi;
        index++
    :: else -> break
    od;
    assert(total <= LIMIT);     /* permits_within_limit */
    total = 0;
    index = 0
}

/* Computes what an owner counts against the limit: its own permits until they end, and unknown work. */
inline count_granted(owner)
{
    total = unknown_work[owner];
    index = 0;
    do
    :: index < PERMITS ->
        if
        :: permit[index] >= GRANTED && granter[index] == owner -> total++
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0
}

/* A load report shows all running work; the owner subtracts the work under its own permits. */
inline read_report(owner)
{
    unknown_work[owner] = 0;
#ifndef BROKEN_NO_REPORT
    index = 0;
    do
    :: index < PERMITS ->
        if
        :: permit[index] == RUNNING && granter[index] != owner -> unknown_work[owner]++
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0
#endif
}

inline start_waiting(owner)
{
    role[owner] = WAITING;
#ifdef BROKEN_NO_WAIT
    wait[owner] = 0;
#else
    wait[owner] = WAIT;
#endif
    /* The owner discards its record of earlier grants; load reports show the work that still runs under them. */
    index = 0;
    do
    :: index < PERMITS ->
        if
        :: granter[index] == owner -> granter[index] = 2
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0;
    unknown_work[owner] = 0
}

inline end_permit(slot)
{
    permit[slot] = FREE;
    granter[slot] = 0;
    expires_in[slot] = 0
}

inline resume(owner)
{
    if
#ifndef BROKEN_UNNOTICED_PAUSE
    :: paused[owner] - 1 > PAUSE_LIMIT && role[owner] != NOT_OWNER -> start_waiting(owner)
#endif
    :: else
    fi;
    paused[owner] = 0
}

/* Advances one owner by a tick. A replaced owner that is not paused stops granting once its lag is over. */
inline tick_owner(owner)
{
    if
    :: paused[owner] > 0 && paused[owner] <= PAUSE_LIMIT + 1 -> paused[owner]++
    :: paused[owner] == 0 && replaced[owner] && lag[owner] == 0 -> role[owner] = NOT_OWNER; replaced[owner] = false
    :: else
    fi;
    if
    :: lag[owner] > 0 -> lag[owner]--
    :: else
    fi;
    if
    :: wait[owner] > 0 && paused[owner] == 0 -> wait[owner]--
    :: else
    fi
}

inline tick_permits()
{
    index = 0;
    do
    :: index < PERMITS ->
        if
        :: expires_in[index] > 0 -> expires_in[index]--
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0
}

active proctype permit_protocol()
{
    byte slot = 0;
    byte owner = 0;
    byte index = 0;
    byte total = 0;

    role[0] = OWNER;
end:
    do
    :: atomic {
        select(slot : 0 .. PERMITS - 1);
        if
        :: permit[slot] == FREE -> permit[slot] = REQUESTED; expires_in[slot] = LIFETIME + 1
        :: permit[slot] == REQUESTED ->
            select(owner : 0 .. 1);
            d_step {
                count_granted(owner);
                if
                :: role[owner] == OWNER && paused[owner] == 0 && total < LIMIT ->
                    permit[slot] = GRANTED;
                    granter[slot] = owner;
#ifdef BROKEN_LIFETIME_FROM_RECEIPT
                    expires_in[slot] = LIFETIME + 1
#endif
                :: else
                fi;
                total = 0;
                owner = 0
            }
        :: permit[slot] == REQUESTED && expires_in[slot] == 0 -> end_permit(slot)
        :: permit[slot] == GRANTED ->
            permit[slot] = HELD;
#ifdef BROKEN_LIFETIME_FROM_RECEIPT
            expires_in[slot] = LIFETIME + 1
#endif
        :: permit[slot] == HELD && expires_in[slot] > 0 -> permit[slot] = RUNNING; expires_in[slot] = 0
        :: permit[slot] == HELD && expires_in[slot] == 0 -> end_permit(slot)
        :: permit[slot] == RUNNING -> end_permit(slot)
        fi;
        d_step { check_limit() };
        slot = 0
       }
    :: d_step {
        changes < CHANGES && role[1 - current] == NOT_OWNER ->
        changes++;
        replaced[current] = true;
        lag[current] = VIEW_LAG;
        current = 1 - current;
        start_waiting(current)
       }
    :: atomic {
        select(owner : 0 .. 1);
        if
        /* A new owner reads a load report after its wait, before it grants permits. */
        :: role[owner] == WAITING && wait[owner] == 0 && paused[owner] == 0 && !replaced[owner] ->
            d_step { read_report(owner); role[owner] = OWNER }
        :: role[owner] == OWNER && paused[owner] == 0 && unknown_work[owner] > 0 -> d_step { read_report(owner) }
        :: paused[owner] == 0 && role[owner] != NOT_OWNER && may_pause(owner) -> paused[owner] = 1
        :: paused[owner] > 0 -> d_step { resume(owner) }
        :: else
        fi;
        owner = 0
       }
    :: d_step {
        tick_permits();
        tick_owner(0);
        tick_owner(1)
       }
    od
}
