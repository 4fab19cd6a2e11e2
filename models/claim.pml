/* Claims of non-idempotent calls (docs/design.md 6.5, src/idempotency).
 *
 * Two daemons, one key, one object on the platform. Callers send the call to either daemon, and again after any answer or
 * none. A daemon may end between any two steps; its successor has the next incarnation and remembers nothing. Writes are
 * conditional; the answer of a write may be lost after it took effect, and a lost write may take effect later. A sent call
 * stays on its way to the service after its daemon ended, and the service's answer may be lost.
 *
 * Checked: the call runs at most once, and a daemon that says not-run under a token never has that token's call run.
 *
 * Safeguards removed by -D: NO_RELINQUISH (a claim of another daemon is taken over without asking), ENDED_IS_UNUSED (an ended
 * owner's claim is taken over), NO_CONDITION (a take-over is written without condition), NO_TOKEN (a lost write's read-back
 * compares the owner instead of the token), RELINQUISH_SENT (an owner gives up a claim after sending), NO_RECHECK (a
 * daemon sends without asking whether it gave the claim up), SAYS_NOT_RUN (a lost answer of the service is called not-run). */

#define DAEMONS 2
#ifndef SENDS
#define SENDS 2 /* calls begun in all, so that the state space is finite */
#endif
#define MAX_TOKEN 4
#ifndef ENDS
#define ENDS 1 /* daemons that end in all */
#endif

mtype = { absent, claimed, completed, notrun, unknown };

/* The object on the platform. */
mtype state = absent;
byte token = 0;
byte owner = 0;
byte ownerProcess = 0;
byte version = 0;

byte process[DAEMONS]; /* incarnation */
byte runs = 0; /* executions at the service */
byte begun = 0;
byte ended = 0;
byte tokens = 0;

/* What the process that made a token knows of it; cleared when that process ends. */
bool isOpen[MAX_TOKEN]; /* has an entry */
bool isGivenUp[MAX_TOKEN];
bool isSent[MAX_TOKEN];
/* Ghosts for the assertions. */
bool wasSaidNotRun[MAX_TOKEN];
bool hasRun[MAX_TOKEN];

/* A write on its way after its answer was lost. */
byte lateToken = 0;
byte lateOwner, lateProcess, lateVersion;
/* Calls on their way to the service, by token. */
bool onWay[MAX_TOKEN];

/* Writes claim t if the object still has version v. */
inline store(t, d, p, v)
{
    state = claimed;
    token = t;
    owner = d;
    ownerProcess = p;
    version++;
}

/* One request of a caller at a daemon. Every step is possible only while its process lives. */
proctype Session(byte d)
{
    byte t, p, v, seenToken, seenOwner, seenProcess, tries;
    mtype seen;

    atomic {
        p = process[d];
        tokens++;
        t = tokens;
        isOpen[t - 1] = true;
        v = 0;
    }
write:
    /* The process may have ended at each step. */
    atomic {
        if
        :: process[d] != p -> goto gone
        :: process[d] == p
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
        :: lateToken == 0 -> /* lost, and takes effect later */
            lateToken = t;
            lateOwner = d;
            lateProcess = p;
            lateVersion = v;
            goto readBack
        fi
    }
readBack:
    atomic {
        if
        :: process[d] != p -> goto gone
        :: process[d] == p
        fi;
        tries++;
        seen = state;
        seenToken = token;
        seenOwner = owner;
        seenProcess = ownerProcess;
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
        /* Own claims are looked up the same way as a peer's; an owner that does not answer is the last branch. */
        if
        :: process[d] != p -> goto gone
        :: process[d] == p && process[seenOwner] != seenProcess ->
#ifdef ENDED_IS_UNUSED
            goto write
#else
            goto ownerEnded
#endif
        :: process[d] == p && process[seenOwner] == seenProcess ->
            if
            :: !isOpen[seenToken - 1] -> goto write
#ifdef RELINQUISH_SENT
            :: isOpen[seenToken - 1] && seenOwner != d ->
#else
            :: isOpen[seenToken - 1] && seenOwner != d && !isSent[seenToken - 1] ->
#endif
                isGivenUp[seenToken - 1] = true;
                goto write
            :: isOpen[seenToken - 1] -> goto closeEntry /* key_in_use */
            fi
        :: process[d] == p -> goto closeEntry /* unreachable */
        fi
    }
ownerEnded:
    atomic {
        if
        :: process[d] == p && version == v -> state = unknown; version++; goto closeEntry
        :: process[d] == p && version != v -> goto readBack
        :: process[d] != p -> goto gone
        fi
    }
owned:
    atomic {
        seen = 0;
        seenToken = 0;
        seenOwner = 0;
        seenProcess = 0;
        tries = 0;
        v = 0
    }
    /* A pause may come here. */
    atomic {
        if
        :: process[d] != p -> goto gone
#ifndef NO_RECHECK
        :: process[d] == p && isGivenUp[t - 1] -> goto refused
        :: process[d] == p && !isGivenUp[t - 1] -> isSent[t - 1] = true
#else
        :: process[d] == p -> isSent[t - 1] = true
#endif
        :: process[d] == p -> goto refused /* no server */
        fi
    }
    /* The process may end between the mark and the first byte. */
    atomic {
        if
        :: process[d] != p -> goto gone
        :: process[d] == p -> onWay[t - 1] = true
        fi
    }
    atomic {
        if
        :: process[d] != p -> goto gone
        :: process[d] == p && hasRun[t - 1] -> seen = completed /* answer received */
        :: process[d] == p -> seen = unknown /* answer lost or late */
#ifdef SAYS_NOT_RUN
            ; wasSaidNotRun[t - 1] = true; assert(!hasRun[t - 1])
#endif
        fi
    }
record:
    atomic {
        if
        :: process[d] != p -> goto gone
        :: process[d] == p && state == claimed && token == t -> state = seen; version++
        :: process[d] == p && !(state == claimed && token == t)
        fi;
        isOpen[t - 1] = false;
        goto end
    }
refused:
    /* not-run: the claim is closed in memory first, then on the platform as far as it answers. */
    atomic {
        if
        :: process[d] != p -> goto gone
        :: process[d] == p
        fi;
        isOpen[t - 1] = false;
        wasSaidNotRun[t - 1] = true;
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
    /* Values that nobody reads any more are cleared, which keeps the number of states small. */
    atomic {
        isOpen[t - 1] = false;
        isGivenUp[t - 1] = false;
        isSent[t - 1] = false;
        t = 0;
        p = 0;
        v = 0;
        seen = 0;
        seenToken = 0;
        seenOwner = 0;
        seenProcess = 0;
        tries = 0
    }
}

/* Calls on their way reach the service at any time. */
active proctype Service()
{
    byte i;
end:
    do
    :: atomic { onWay[0] -> onWay[0] = false; runs++; hasRun[0] = true; assert(runs <= 1 && !wasSaidNotRun[0]) }
    :: atomic { onWay[1] -> onWay[1] = false; runs++; hasRun[1] = true; assert(runs <= 1 && !wasSaidNotRun[1]) }
    :: atomic { onWay[2] -> onWay[2] = false; runs++; hasRun[2] = true; assert(runs <= 1 && !wasSaidNotRun[2]) }
    :: atomic { onWay[3] -> onWay[3] = false; runs++; hasRun[3] = true; assert(runs <= 1 && !wasSaidNotRun[3]) }
    od
}

/* A lost write takes effect, or not, under its condition. */
active proctype Network()
{
end:
    do
    :: atomic {
        lateToken != 0 ->
        if
        :: version == lateVersion -> store(lateToken, lateOwner, lateProcess, lateVersion)
        :: true
        fi;
        lateToken = 0
    }
    od
}

/* Callers re-send at any time, to either daemon. */
active proctype Callers()
{
    /* Both daemons are alike, so the first send may go to a fixed one. */
    atomic { begun++; run Session(0) }
    do
    :: atomic { begun < SENDS -> begun++; run Session(0) }
    :: atomic { begun < SENDS -> begun++; run Session(1) }
    :: begun >= SENDS -> break
    od
}

active proctype Ends()
{
    do
    :: ended < ENDS -> ended++; process[0]++
    :: ended < ENDS -> ended++; process[1]++
    :: break
    od
}
