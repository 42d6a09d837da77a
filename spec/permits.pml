/* Permits of one backend server across a change of its owner.
 *
 * An owner gives permits with a lifetime, which the holder counts from the sending of its request. Work that was started
 * under a permit may run on past it. After a change, the old owner may go on granting until its view of the zone is up
 * to date, also after a pause. The new owner first waits until the old owner has stopped and its permits have lapsed,
 * and then learns from the server's load report what still runs.
 *
 * permits_within_limit: usable permits and running work never exceed the server's limit.
 *
 * Bounds: limit 2, 3 permits at a time, 2 owners, 2 changes, times in ticks.
 */

#define LIMIT 2
#define PERMITS 3
#define CHANGES 2

#define LIFETIME 1      /* of a permit that is not used */
#define VIEW_LAG 1      /* until a running VM learns that it is no longer the owner */
#define PAUSE_LIMIT 1   /* a longer pause is noticed */
#define WAIT (LIFETIME + VIEW_LAG + PAUSE_LIMIT + 1)

/* A permit's state, at its holder. */
#define FREE 0
#define ASKED 1
#define GIVEN 2         /* on its way to the holder */
#define HELD 3
#define RUNNING 4

/* An owner's state. */
#define NOT_OWNER 0
#define WAITING 1
#define OWNER 2

/* After a pause an owner takes in what came meanwhile, before it can be paused again. */
#ifdef BROKEN_REPEATED_PAUSES
#define may_pause(owner) true
#else
#define may_pause(owner) !(replaced[owner] && lag[owner] == 0)
#endif

byte permit[PERMITS];
byte giver[PERMITS];
byte usable[PERMITS];           /* ticks left */

byte role[2];
byte wait[2];
byte lag[2];                    /* ticks until an owner that was replaced learns of it */
bool replaced[2];
byte unknown_work[2];           /* work of earlier owners' permits, from the load report */
byte paused[2];                 /* 1 + ticks of the pause, or 0 */
byte changes = 0;
byte current = 0;

/* Counts what may run now, and checks the limit. */
inline check_limit()
{
    total = 0;
    index = 0;
    do
    :: index < PERMITS ->
        if
        :: permit[index] == RUNNING || ((permit[index] == GIVEN || permit[index] == HELD) && usable[index] > 0) ->
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

/* What an owner counts against the limit: its own permits until they end, and unknown work. */
inline count_given(owner)
{
    total = unknown_work[owner];
    index = 0;
    do
    :: index < PERMITS ->
        if
        :: permit[index] >= GIVEN && giver[index] == owner -> total++
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0
}

/* A load report shows the running work; an owner subtracts that of its own permits. */
inline read_report(owner)
{
    unknown_work[owner] = 0;
#ifndef BROKEN_NO_REPORT
    index = 0;
    do
    :: index < PERMITS ->
        if
        :: permit[index] == RUNNING && giver[index] != owner -> unknown_work[owner]++
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
    /* It forgets what it gave before; reports will show what still runs. */
    index = 0;
    do
    :: index < PERMITS ->
        if
        :: giver[index] == owner -> giver[index] = 2
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
    giver[slot] = 0;
    usable[slot] = 0
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

/* A replaced owner that runs and whose lag is over learns of it. */
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
        :: usable[index] > 0 -> usable[index]--
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0
}

active proctype world()
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
        :: permit[slot] == FREE -> permit[slot] = ASKED; usable[slot] = LIFETIME + 1
        :: permit[slot] == ASKED ->
            select(owner : 0 .. 1);
            d_step {
                count_given(owner);
                if
                :: role[owner] == OWNER && paused[owner] == 0 && total < LIMIT ->
                    permit[slot] = GIVEN;
                    giver[slot] = owner;
#ifdef BROKEN_LIFETIME_FROM_RECEIPT
                    usable[slot] = LIFETIME + 1
#endif
                :: else
                fi;
                total = 0;
                owner = 0
            }
        :: permit[slot] == ASKED && usable[slot] == 0 -> end_permit(slot)
        :: permit[slot] == GIVEN ->
            permit[slot] = HELD;
#ifdef BROKEN_LIFETIME_FROM_RECEIPT
            usable[slot] = LIFETIME + 1
#endif
        :: permit[slot] == HELD && usable[slot] > 0 -> permit[slot] = RUNNING; usable[slot] = 0
        :: permit[slot] == HELD && usable[slot] == 0 -> end_permit(slot)
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
        /* A new owner whose wait is over starts with a load report. */
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
