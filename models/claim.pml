/* Claims of non-idempotent calls (docs/design.md 6.5, src/idempotency).
 *
 * Two daemons, one key, one object on the platform. Callers send the call to either daemon, and send it again with or without
 * an answer. The process of a daemon may end between any two steps; its successor has the next incarnation and no state.
 * Writes are conditional; the answer of a write may be lost after it took effect, and a lost write may take effect later. A
 * sent call stays in transit to the service after its daemon ended, and the service's answer may be lost.
 *
 * Checked properties: the call runs at most once, and it never runs under a token that a daemon has reported as not run.
 *
 * Each -D removes a safeguard: NO_RELINQUISH (a claim of another daemon is taken over without asking it), ENDED_IS_UNUSED (the
 * claim of an ended owner is taken over), NO_CONDITION (a take-over is written without condition), NO_TOKEN (the read-back
 * after a lost write compares the owner instead of the token), RELINQUISH_SENT (an owner relinquishes a claim after sending),
 * NO_RECHECK (a daemon sends without checking whether it has relinquished the claim), SAYS_NOT_RUN (a lost answer of the
 * service is reported as not run). */

#define DAEMONS 2
#ifndef SENDS
#define SENDS 2 /* total number of calls that callers start; makes the state space finite */
#endif
#define MAX_TOKEN 4
#ifndef ENDS
#define ENDS 1 /* total number of ends of daemon processes */
#endif

mtype = { absent, claimed, completed, notrun, unknown };

/* The object on the platform. */
mtype state = absent;
byte token = 0;
byte owner = 0;
byte ownerIncarnation = 0;
byte version = 0;

byte incarnation[DAEMONS]; /* of each daemon's current process */
byte runs = 0; /* executions at the service */
byte started = 0;
byte ended = 0;
byte tokens = 0;

/* State of each token in the process that created it; cleared when that process ends. */
bool isOpen[MAX_TOKEN]; /* the process has an entry for the token */
bool isRelinquished[MAX_TOKEN];
bool isSent[MAX_TOKEN];
/* History variables for the assertions. */
bool wasReportedNotRun[MAX_TOKEN];
bool hasRun[MAX_TOKEN];

/* A write without an answer that may still take effect. */
byte lateToken = 0;
byte lateOwner, lateIncarnation, lateVersion;
/* Calls in transit to the service, by token. */
bool inTransit[MAX_TOKEN];

/* Stores claim t of daemon d with incarnation p. The caller checks the version condition. */
inline store(t, d, p, v)
{
    state = claimed;
    token = t;
    owner = d;
    ownerIncarnation = p;
    version++;
}

/* One request of a caller at daemon d. Each step requires that the process that received it has not ended. */
proctype Session(byte d)
{
    byte t, p, v, seenToken, seenOwner, seenIncarnation, tries;
    mtype seen;

    atomic {
        p = incarnation[d];
        tokens++;
        t = tokens;
        isOpen[t - 1] = true;
        v = 0;
    }
write:
    /* Every step checks whether the process has ended. */
    atomic {
        if
        :: incarnation[d] != p -> goto gone
        :: incarnation[d] == p
        fi;
        if
#ifdef NO_CONDITION
        :: state == absent || v != 0 ->
#else
        :: version == v ->
#endif
            store(t, d, p, v);
            if
            :: goto owned
            :: goto readBack /* answer lost */
            fi
        :: version != v -> goto readBack
        :: lateToken == 0 -> /* the write is delayed and may take effect later */
            lateToken = t;
            lateOwner = d;
            lateIncarnation = p;
            lateVersion = v;
            goto readBack
        fi
    }
readBack:
    atomic {
        if
        :: incarnation[d] != p -> goto gone
        :: incarnation[d] == p
        fi;
        tries++;
        seen = state;
        seenToken = token;
        seenOwner = owner;
        seenIncarnation = ownerIncarnation;
        v = version;
        if
        :: tries > 2 -> goto refused
        :: tries <= 2
        fi;
        if
#ifdef NO_TOKEN
        :: seen == claimed && seenOwner == d -> goto owned
#endif
        :: seen == absent -> goto write
        :: seen != absent && seenToken == t -> goto owned
        :: seen == completed && seenToken != t -> goto closeEntry /* replayed */
        :: seen == unknown && seenToken != t -> goto closeEntry
        :: seen == notrun && seenToken != t -> goto write
        :: seen == claimed && seenToken != t -> goto ask
        fi
    }
ask:
#ifdef NO_RELINQUISH
    goto write;
#endif
    atomic {
        /* Claims of this daemon and of the other are handled in the same way. The last branch is an owner that does not answer. */
        if
        :: incarnation[d] != p -> goto gone
        :: incarnation[d] == p && incarnation[seenOwner] != seenIncarnation ->
#ifdef ENDED_IS_UNUSED
            goto write
#else
            goto ownerEnded
#endif
        :: incarnation[d] == p && incarnation[seenOwner] == seenIncarnation ->
            if
            :: !isOpen[seenToken - 1] -> goto write
#ifdef RELINQUISH_SENT
            :: isOpen[seenToken - 1] && seenOwner != d ->
#else
            :: isOpen[seenToken - 1] && seenOwner != d && !isSent[seenToken - 1] ->
#endif
                isRelinquished[seenToken - 1] = true;
                goto write
            :: isOpen[seenToken - 1] -> goto closeEntry /* key_in_use */
            fi
        :: incarnation[d] == p -> goto closeEntry /* unreachable */
        fi
    }
ownerEnded:
    atomic {
        if
        :: incarnation[d] == p && version == v -> state = unknown; version++; goto closeEntry
        :: incarnation[d] == p && version != v -> goto readBack
        :: incarnation[d] != p -> goto gone
        fi
    }
owned:
    atomic {
        seen = 0;
        seenToken = 0;
        seenOwner = 0;
        seenIncarnation = 0;
        tries = 0;
        v = 0
    }
    /* The daemon may be paused here, until another one has taken the claim over. */
    atomic {
        if
        :: incarnation[d] != p -> goto gone
#ifndef NO_RECHECK
        :: incarnation[d] == p && isRelinquished[t - 1] -> goto refused
        :: incarnation[d] == p && !isRelinquished[t - 1] -> isSent[t - 1] = true
#else
        :: incarnation[d] == p -> isSent[t - 1] = true
#endif
        :: incarnation[d] == p -> goto refused /* no server */
        fi
    }
    /* The process may end after it has set isSent and before it sends the first byte. */
    atomic {
        if
        :: incarnation[d] != p -> goto gone
        :: incarnation[d] == p -> inTransit[t - 1] = true
        fi
    }
    atomic {
        if
        :: incarnation[d] != p -> goto gone
        :: incarnation[d] == p && hasRun[t - 1] -> seen = completed /* answer received */
        :: incarnation[d] == p -> seen = unknown /* answer lost or late */
#ifdef SAYS_NOT_RUN
            ; wasReportedNotRun[t - 1] = true; assert(!hasRun[t - 1])
#endif
        fi
    }
record:
    atomic {
        if
        :: incarnation[d] != p -> goto gone
        :: incarnation[d] == p && state == claimed && token == t -> state = seen; version++
        :: incarnation[d] == p && !(state == claimed && token == t)
        fi;
        isOpen[t - 1] = false;
        goto end
    }
refused:
    /* Report not-run: close the claim in memory first, and then on the platform if it answers. */
    atomic {
        if
        :: incarnation[d] != p -> goto gone
        :: incarnation[d] == p
        fi;
        isOpen[t - 1] = false;
        wasReportedNotRun[t - 1] = true;
        assert(!hasRun[t - 1]);
        if
        :: state == claimed && token == t -> state = notrun; version++
        :: true
        fi;
        goto end
    }
closeEntry:
gone:
end:
    /* Clear values that are no longer read, which reduces the number of states. */
    atomic {
        isOpen[t - 1] = false;
        isRelinquished[t - 1] = false;
        isSent[t - 1] = false;
        t = 0;
        p = 0;
        v = 0;
        seen = 0;
        seenToken = 0;
        seenOwner = 0;
        seenIncarnation = 0;
        tries = 0
    }
}

/* Calls in transit reach the service at any time. */
active proctype Service()
{
    byte i;
end:
    do
    :: atomic { inTransit[0] -> inTransit[0] = false; runs++; hasRun[0] = true; assert(runs <= 1 && !wasReportedNotRun[0]) }
    :: atomic { inTransit[1] -> inTransit[1] = false; runs++; hasRun[1] = true; assert(runs <= 1 && !wasReportedNotRun[1]) }
    :: atomic { inTransit[2] -> inTransit[2] = false; runs++; hasRun[2] = true; assert(runs <= 1 && !wasReportedNotRun[2]) }
    :: atomic { inTransit[3] -> inTransit[3] = false; runs++; hasRun[3] = true; assert(runs <= 1 && !wasReportedNotRun[3]) }
    od
}

/* A delayed write takes effect when its condition holds, or is lost. */
active proctype Network()
{
end:
    do
    :: atomic {
        lateToken != 0 ->
        if
        :: version == lateVersion -> store(lateToken, lateOwner, lateIncarnation, lateVersion)
        :: true
        fi;
        lateToken = 0
    }
    od
}

/* Callers send the call again at any time, to either daemon. */
active proctype Callers()
{
    /* The daemons are symmetric, so the first request can always go to daemon 0. */
    atomic { started++; run Session(0) }
    do
    :: atomic { started < SENDS -> started++; run Session(0) }
    :: atomic { started < SENDS -> started++; run Session(1) }
    :: started >= SENDS -> break
    od
}

active proctype DaemonRestarts()
{
    do
    :: ended < ENDS -> ended++; incarnation[0]++
    :: ended < ENDS -> ended++; incarnation[1]++
    :: break
    od
}
