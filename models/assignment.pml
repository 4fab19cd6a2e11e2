/*
 * Assignment of VMs to replicas (docs/design.md, sections 6.1 to 6.3).
 *
 * NC controllers compete for the lease of one domain with NV VMs and two replicas. The lease may expire at any moment, so a
 * paused holder is modelled as one that acts later on its old copy of the record. A write is conditional on the version that
 * its writer read ("fresh"). Its answer may be lost, and the write may still take effect later. An order may arrive at any
 * later moment, or never, and its answer may be lost. It is settled by an answer or by the end of its lifetime, after which it
 * cannot arrive any more. A release is executed and answered in one step, because a late one does not affect the property. A
 * spare that an isolated holder uses is modelled as a bound VM: it is ordered only into the replica that the record names.
 *
 * Property: an engine joins a replica only while the record has its VM bound to that replica, or being released from it.
 *
 * FENCING: engines refuse a lower fencing number. Variants without a safeguard, whose check has to find a violation:
 *   NO_CONFIRM      a VM becomes free although former controllers are unconfirmed
 *   LAST_ONLY       the record keeps only the last former controller
 *   NO_OWN          the controller's own unsettled orders are ignored
 *   NO_CONDITION    writes are not conditional on the version
 *   ASSUME_SUCCESS  a lost answer counts as a success, without a read-back
 *   ORDER_FIRST     the order for a new binding is sent before the record is written
 *   NO_ANSWER       a VM becomes free as soon as its release was ordered
 */
#ifndef NC
#define NC 3
#endif
#ifndef NV
#define NV 1
#endif
#ifndef MAXEPOCH
#define MAXEPOCH 3
#endif
#ifndef MAXFENCE
#define MAXFENCE 5
#endif
#ifndef MAXLATE
#define MAXLATE 0 /* number of writes that take effect after their writer has stopped waiting for the answer */
#endif
#define NONE 7
#define BIT(c) (1 << (c))
#define AT(c, v) ((c) * NV + (v))

#define FOLLOWER 0
#define HOLDER 1
#define RESOLVING 2

/* The stored record. */
byte epoch = 0;
byte holder = NONE;
byte unconfirmed = 0;
byte replica[NV];   /* 0: free */
bool releasing[NV];
#ifdef FENCING
byte lastFence = 0;
byte fence[NV];
byte engineFence[NV];
#endif

/* Each controller's copy of the record (c...), and its own state. */
byte role[NC];
bool fresh[NC];     /* the record has not been written since this controller read or wrote it */
byte cEpoch[NC];
byte cUnconfirmed[NC];
byte cReplica[NC * NV];
bool cReleasing[NC * NV];
bool answered[NC * NV]; /* the engine has answered the release */
#ifdef FENCING
byte cLastFence[NC];
byte cFence[NC * NV];
#endif

/* A write whose answer was lost and that may still take effect. */
byte lateWrites = 0;
/* Controllers and replicas are symmetric, so they are used for the first time in order, which reduces the number of states. */
byte usedControllers = 0;
byte usedReplicas = 0;
bool late[NC];
bool lateFresh[NC];
byte lateEpoch[NC];
byte lateUnconfirmed[NC];
byte lateReplica[NC * NV];
bool lateReleasing[NC * NV];
#ifdef FENCING
byte lateLastFence[NC];
byte lateFence[NC * NV];
#endif

/* Join order of a controller to a VM: none, in transit, or arrived (or dropped) with its answer lost. */
#define NOTHING 0
#define UNDERWAY 1
#define UNANSWERED 2
byte join[NC * NV];
byte joinReplica[NC * NV];
#ifdef FENCING
byte joinFence[NC * NV];
#endif

byte i;
byte old;

inline readStore(c)
{
    cEpoch[c] = epoch;
    cUnconfirmed[c] = unconfirmed;
    i = 0;
    do
    :: i < NV ->
        cReplica[AT(c, i)] = replica[i];
        cReleasing[AT(c, i)] = releasing[i];
#ifdef FENCING
        cFence[AT(c, i)] = fence[i];
#endif
        i++
    :: else -> break
    od;
#ifdef FENCING
    cLastFence[c] = lastFence;
#endif
    fresh[c] = true;
    i = 0
}

inline markCopiesOutdated()
{
    i = 0;
    do
    :: i < NC -> fresh[i] = false; lateFresh[i] = false; i++
    :: else -> break
    od;
    i = 0
}

/* Stores the controller's copy as the record. */
inline storeCopy(c)
{
    markCopiesOutdated();
    epoch = cEpoch[c];
    holder = c;
    unconfirmed = cUnconfirmed[c];
    i = 0;
    do
    :: i < NV ->
        replica[i] = cReplica[AT(c, i)];
        releasing[i] = cReleasing[AT(c, i)];
#ifdef FENCING
        fence[i] = cFence[AT(c, i)];
#endif
        i++
    :: else -> break
    od;
#ifdef FENCING
    lastFence = cLastFence[c];
#endif
    i = 0
}

inline delayWrite(c)
{
    late[c] = true;
    lateFresh[c] = fresh[c];
    lateEpoch[c] = cEpoch[c];
    lateUnconfirmed[c] = cUnconfirmed[c];
    i = 0;
    do
    :: i < NV ->
        lateReplica[AT(c, i)] = cReplica[AT(c, i)];
        lateReleasing[AT(c, i)] = cReleasing[AT(c, i)];
#ifdef FENCING
        lateFence[AT(c, i)] = cFence[AT(c, i)];
#endif
        i++
    :: else -> break
    od;
#ifdef FENCING
    lateLastFence[c] = cLastFence[c];
#endif
    i = 0
}

inline applyLateWrite(c)
{
    markCopiesOutdated();
    epoch = lateEpoch[c];
    holder = c;
    unconfirmed = lateUnconfirmed[c];
    i = 0;
    do
    :: i < NV ->
        replica[i] = lateReplica[AT(c, i)];
        releasing[i] = lateReleasing[AT(c, i)];
#ifdef FENCING
        fence[i] = lateFence[AT(c, i)];
#endif
        i++
    :: else -> break
    od;
#ifdef FENCING
    lastFence = lateLastFence[c];
#endif
    i = 0
}

inline clearLateWrite(c)
{
    late[c] = false;
    lateFresh[c] = false;
    lateEpoch[c] = 0;
    lateUnconfirmed[c] = 0;
    i = 0;
    do
    :: i < NV ->
        lateReplica[AT(c, i)] = 0;
        lateReleasing[AT(c, i)] = false;
#ifdef FENCING
        lateFence[AT(c, i)] = 0;
#endif
        i++
    :: else -> break
    od;
#ifdef FENCING
    lateLastFence[c] = 0;
#endif
    i = 0
}

#ifdef NO_CONDITION
#define TAKES_EFFECT(c) true
#else
#define TAKES_EFFECT(c) fresh[c]
#endif
#ifdef ASSUME_SUCCESS
#define AFTER_LOST HOLDER
#else
#define AFTER_LOST RESOLVING
#endif

/* Clears the copy of a controller that has to read again, which reduces the number of states. */
inline clearCopy(c)
{
    fresh[c] = false;
    cUnconfirmed[c] = 0;
    i = 0;
    do
    :: i < NV ->
        cReplica[AT(c, i)] = 0;
        cReleasing[AT(c, i)] = false;
        answered[AT(c, i)] = false;
#ifdef FENCING
        cFence[AT(c, i)] = 0;
#endif
        i++
    :: else -> break
    od;
#ifdef FENCING
    cLastFence[c] = 0;
#endif
    i = 0
}

inline becomeFollower(c)
{
    role[c] = FOLLOWER;
    clearCopy(c)
}

/* Writes the controller's changed copy. The write is stored, refused, stored with a lost answer, delayed, or lost. */
inline write(c)
{
    if
    :: TAKES_EFFECT(c) -> storeCopy(c); fresh[c] = true; role[c] = HOLDER
    :: !TAKES_EFFECT(c) -> role[c] = RESOLVING
    :: TAKES_EFFECT(c) -> storeCopy(c); role[c] = AFTER_LOST
    :: !late[c] && lateWrites < MAXLATE -> lateWrites++; delayWrite(c); role[c] = AFTER_LOST
    :: role[c] = AFTER_LOST /* the write was lost */
    fi;
    if
    :: role[c] == RESOLVING -> clearCopy(c)
    :: else
    fi
}

inline forgetAnswers(c)
{
    i = 0;
    do
    :: i < NV -> answered[AT(c, i)] = false; i++
    :: else -> break
    od;
    i = 0
}

inline claim(c)
{
    readStore(c);
    old = holder;
    if
    :: old != NONE ->
#ifdef LAST_ONLY
        cUnconfirmed[c] = BIT(old)
#else
        cUnconfirmed[c] = cUnconfirmed[c] | BIT(old)
#endif
    :: else
    fi;
    cEpoch[c]++;
    forgetAnswers(c);
#ifdef FENCING
    i = 0;
    do
    :: i < NV ->
        if
        :: cReleasing[AT(c, i)] -> cLastFence[c]++; cFence[AT(c, i)] = cLastFence[c]
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0;
#endif
    old = 0;
    write(c)
}

inline bind(c, v, r)
{
    cReplica[AT(c, v)] = r;
#ifdef FENCING
    cLastFence[c]++;
    cFence[AT(c, v)] = cLastFence[c];
#endif
#ifdef ORDER_FIRST
    if
    :: join[AT(c, v)] == NOTHING -> sendJoin(c, v)
    :: else
    fi;
#endif
    write(c)
}

inline startRelease(c, v)
{
    cReleasing[AT(c, v)] = true;
    answered[AT(c, v)] = false;
#ifdef FENCING
    cLastFence[c]++;
    cFence[AT(c, v)] = cLastFence[c];
#endif
    write(c)
}

inline free(c, v)
{
    cReplica[AT(c, v)] = 0;
    cReleasing[AT(c, v)] = false;
    answered[AT(c, v)] = false;
#ifdef FENCING
    cFence[AT(c, v)] = 0;
#endif
    write(c)
}

inline sendJoin(c, v)
{
    join[AT(c, v)] = UNDERWAY;
    joinReplica[AT(c, v)] = cReplica[AT(c, v)];
#ifdef FENCING
    joinFence[AT(c, v)] = cFence[AT(c, v)];
#endif
    answered[AT(c, v)] = false
}

inline settleJoin(c, v)
{
    join[AT(c, v)] = NOTHING;
    joinReplica[AT(c, v)] = 0;
#ifdef FENCING
    joinFence[AT(c, v)] = 0;
#endif
}

#ifdef FENCING
#define ACCEPTS_JOIN(c, v) (joinFence[AT(c, v)] >= engineFence[v])
#define ACCEPTS_RELEASE(c, v) (cFence[AT(c, v)] >= engineFence[v])
#define MAY_COUNT(c) (cLastFence[c] < MAXFENCE)
#else
#define ACCEPTS_JOIN(c, v) true
#define ACCEPTS_RELEASE(c, v) true
#define MAY_COUNT(c) true
#endif

/* Whether all join orders of a former controller are settled. */
#if NV == 1
#define ALL_SETTLED(c) (join[AT(c, 0)] == NOTHING)
#else
#define ALL_SETTLED(c) (join[AT(c, 0)] == NOTHING && join[AT(c, 1)] == NOTHING)
#endif

#ifdef NO_OWN
#define IS_LAST(c, v) true
#else
#ifdef FENCING
#define IS_LAST(c, v) true
#else
#define IS_LAST(c, v) (join[AT(c, v)] == NOTHING)
#endif
#endif

#if defined(NO_CONFIRM) || defined(FENCING)
#define ARE_CONFIRMED(c) true
#else
#define ARE_CONFIRMED(c) (cUnconfirmed[c] == 0)
#endif
#ifdef NO_ANSWER
#define IS_RELEASED(c, v) true
#else
#define IS_RELEASED(c, v) answered[AT(c, v)]
#endif

inline arriveJoin(c, v)
{
    if
    :: ACCEPTS_JOIN(c, v) ->
        assert(replica[v] == joinReplica[AT(c, v)]);
#ifdef FENCING
        engineFence[v] = joinFence[AT(c, v)];
#endif
    :: !ACCEPTS_JOIN(c, v)
    fi;
    if
    :: settleJoin(c, v)
    :: join[AT(c, v)] = UNANSWERED
    fi
}

/* Decisions, orders and their arrival for one VM. */
proctype Vm(byte c; byte v)
{
    do
    :: atomic { role[c] == HOLDER && cReplica[AT(c, v)] == 0 && MAY_COUNT(c) -> usedReplicas = 1; bind(c, v, 1) }
    :: atomic { role[c] == HOLDER && cReplica[AT(c, v)] == 0 && usedReplicas == 1 && MAY_COUNT(c) -> bind(c, v, 2) }
    :: atomic { role[c] == HOLDER && cReplica[AT(c, v)] != 0 && !cReleasing[AT(c, v)] && MAY_COUNT(c) -> startRelease(c, v) }
    :: atomic { role[c] == HOLDER && cReleasing[AT(c, v)] && IS_RELEASED(c, v) && ARE_CONFIRMED(c) -> free(c, v) }
    :: atomic { role[c] == HOLDER && cReplica[AT(c, v)] != 0 && !cReleasing[AT(c, v)] && join[AT(c, v)] == NOTHING -> sendJoin(c, v) }
    :: atomic { role[c] == HOLDER && cReleasing[AT(c, v)] && !answered[AT(c, v)] && IS_LAST(c, v) && ACCEPTS_RELEASE(c, v) ->
            answered[AT(c, v)] = true;
#ifdef FENCING
            engineFence[v] = cFence[AT(c, v)]
#endif
       }
    :: atomic { join[AT(c, v)] == UNDERWAY -> arriveJoin(c, v) }
    /* The order was dropped or its lifetime has ended, so it cannot arrive any more. */
    :: atomic { join[AT(c, v)] != NOTHING -> settleJoin(c, v) }
    od
}

/* Lease, delayed writes and confirmation by former controllers. */
proctype Lease(byte c)
{
    byte d;
    do
    :: atomic { role[c] == FOLLOWER && epoch < MAXEPOCH && c <= usedControllers ->
            if
            :: c == usedControllers -> usedControllers++
            :: else
            fi;
            claim(c) }
    :: atomic { role[c] == RESOLVING ->
            if
            /* Read-back: the write took effect if the record names this controller and the epoch that it wrote last. */
            :: holder == c && (epoch == cEpoch[c]) -> readStore(c); forgetAnswers(c); role[c] = HOLDER
            :: else -> becomeFollower(c)
            fi
       }
    :: atomic { late[c] ->
            if
            :: lateFresh[c] -> applyLateWrite(c)
            :: true
            fi;
            clearLateWrite(c)
       }
    :: atomic { role[c] == HOLDER && cUnconfirmed[c] != 0 ->
            d = 0;
            do
            :: d < NC - 1 -> d++
            :: break
            od;
            if
            :: (cUnconfirmed[c] & BIT(d)) && ALL_SETTLED(d) && (d == c || cEpoch[d] <= cEpoch[c]) ->
                /* Controller d learns the newer epoch and releases the lease. */
                if
                :: d != c -> becomeFollower(d)
                :: else
                fi;
                cUnconfirmed[c] = cUnconfirmed[c] & ~BIT(d);
                forgetAnswers(c);
                write(c)
            :: else
            fi;
            d = 0
       }
    od
}

init
{
    atomic {
        byte c = 0;
        byte v = 0;
        do
        :: c < NC ->
            run Lease(c);
            v = 0;
            do
            :: v < NV -> run Vm(c, v); v++
            :: else -> break
            od;
            c++
        :: else -> break
        od;
        c = 0;
        v = 0
    }
}
