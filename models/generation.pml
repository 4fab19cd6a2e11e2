/* Configuration generations: two operators, two daemons (daemon 0 watches the platform with a lag), a platform that is restored
 * once from an older copy, and restarts of the daemons. Checked properties: a daemon process never applies a lower generation;
 * two operators are never both told that they wrote the same generation; and two daemons at the same generation have the same
 * text unless the platform was restored, in which case the difference is reported.
 *
 * -DAPPLY_LOWER   a daemon applies any generation that it is offered
 * -DNO_CONDITION  writes are unconditional
 * -DASSUME_LOST   an operator whose answer is lost assumes that the write failed and reports a conflict
 * -DREADY_EMPTY   a restarted daemon is ready before it has a generation
 */
#define MAXGEN 3
#define NOBODY 0

/* The platform's object: generation, writer token and version. */
byte storedGen = 0;
byte storedWriter = NOBODY;
byte version = 0;
byte lastVersion = 0;      /* versions are never reused, even after a restore */
byte copyGen = 0;          /* older copy that the platform may be restored from */
byte copyWriter = NOBODY;
bool isRestored = false;

byte gen[2];               /* in force at each daemon */
byte writer[2];            /* operator who wrote the text in force */
byte isReady[2];
bool hasReportedConflict = false;     /* the daemons have reported different texts of one generation */

/* Operator who was told that a generation was accepted, by generation. */
byte acceptedBy[6];

/* Applies an offered generation if it is higher than the one in force. */
inline applyOffer(d, g, w)
{
#ifdef APPLY_LOWER
    if
    :: g > 0 ->
        assert(g >= gen[d]);
        gen[d] = g; writer[d] = w; isReady[d] = 1
    :: else
    fi
#else
    if
    :: g > gen[d] -> gen[d] = g; writer[d] = w; isReady[d] = 1
    :: g == gen[d] && g > 0 && w != writer[d] -> hasReportedConflict = true
    :: else
    fi
#endif
}

inline store(g, w)
{
    storedGen = g; storedWriter = w; lastVersion++; version = lastVersion
}

/* An operator reads the object and writes the next generation under the condition that the version has not changed. The answer
 * may be lost. */
proctype Operator(byte me; byte attempts)
{
    byte g, v;
    bool isAccepted, isLost;
    byte tries = 0;

    do
    :: tries < attempts ->
        tries++;
        isAccepted = false; isLost = false;
        atomic { g = storedGen; v = version }
        if
        :: g >= MAXGEN -> break
        :: else
        fi;
        atomic {
            if
#ifdef NO_CONDITION
            :: true -> store(g + 1, me); isAccepted = true
#else
            :: version == v -> store(g + 1, me); isAccepted = true
            :: version != v
#endif
            fi;
            if
            :: isLost = true
            :: skip
            fi
        }
        /* After a lost answer the object is read back and the writer token compared. */
        if
        :: isLost ->
            atomic {
#ifdef ASSUME_LOST
                if
                /* Otherwise the operator is told of a conflict with its own text. */
                :: isAccepted -> assert(!(storedGen == g + 1 && storedWriter == me))
                :: else
                fi;
                isAccepted = false
#else
                if
                :: storedGen == g + 1 && storedWriter == me -> isAccepted = true
                :: storedGen == g + 1 && storedWriter != me -> assert(!isAccepted || isRestored)
                :: else -> isAccepted = false /* the operator is told that the outcome is unknown or that there is a conflict */
                fi
#endif
            }
        :: else
        fi;
        atomic {
            if
            :: isAccepted ->
                /* Two operators are told of the same generation only if a restore has reverted the first one. */
                assert(acceptedBy[g + 1] == NOBODY || acceptedBy[g + 1] == me || isRestored);
                acceptedBy[g + 1] = me
            :: else
            fi;
            g = 0; v = 0; isAccepted = false; isLost = false /* fewer states */
        }
    :: break
    od
}

/* Daemon 0 watches the platform with a lag. The daemons also exchange generations with each other. */
proctype Daemon(byte me; byte limit)
{
    byte seenGen = 0, seenWriter = NOBODY, seenVersion = 0;
    byte steps = 0;

    do
    :: steps < limit ->
        steps++;
        if
        :: me == 0 -> /* receive the watch's answer; it is applied in a later step */
            atomic { seenGen = storedGen; seenWriter = storedWriter; seenVersion = version }
        :: me == 0 ->
            atomic { applyOffer(0, seenGen, seenWriter) }
        :: me == 0 && seenGen < gen[0] -> /* the platform has an older generation: write the newer one back if the version is unchanged */
            atomic {
                if
                :: version == seenVersion && seenVersion > 0 -> store(gen[0], writer[0])
                :: else
                fi
            }
        :: isReady[1 - me] == 1 ->
            atomic { applyOffer(me, gen[1 - me], writer[1 - me]) }
        :: atomic { /* restart: the daemon loses its state and is not ready */
            gen[me] = 0; writer[me] = NOBODY;
#ifndef READY_EMPTY
            isReady[me] = 0;
#endif
            seenGen = 0; seenWriter = NOBODY; seenVersion = 0
           }
        fi;
        atomic {
            assert(isReady[me] == 0 || gen[me] > 0);
            assert(hasReportedConflict || isRestored || gen[0] != gen[1] || writer[0] == writer[1])
        }
    :: break
    od
}

/* Copies the object once and restores the copy once. */
proctype Platform()
{
    atomic { copyGen = storedGen; copyWriter = storedWriter};
    if
    :: atomic { isRestored = true; store(copyGen, copyWriter) }
    :: atomic { copyGen = 0; copyWriter = NOBODY }
    fi
}

init
{
    atomic { run Operator(1, 2); run Operator(2, 1); run Daemon(0, 4); run Daemon(1, 1); run Platform() }
}
