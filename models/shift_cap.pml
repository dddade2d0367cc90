/*
 * shift_cap - a shift stays under its cap: one seat admits at one node at a time
 *
 * What is modelled. One seat of a shift, that is one row with a version and a
 * holder, and two nodes that want it. The parts of the seats add up to the cap
 * (seat_quota, shown by a table of cases) and a holder counts its own part
 * exactly over any one second, so that the cap holds if no second contains
 * admissions on one seat by two holders. Time passes in ticks that any number
 * of steps may fall between or not: a node is paused for as long as one likes
 * wherever it takes no step. The platform may be down (a read or a write fails
 * or takes any time), lose the answer of a write that took effect, and let a
 * write that was given up take effect at any later moment. A node takes, renews
 * and frees the seat; one whose answer was lost reads the row, and where it
 * finds its own write there, has a lease from that write's sending. A node may
 * restart: it is then another holder that remembers nothing.
 *
 * Clocks. No clocks are compared. The clock of a waiting node may gain DRIFT
 * ticks in one wait on the clock of the holder, which also tells the window.
 * Bounds are closed (a lease holds up to and at its last tick), so that what
 * holds for whole ticks holds for times in between.
 *
 * Versions. What matters of a remembered version is only whether the row still
 * has it. So "seen" is cleared when the row changes, and a write that no longer
 * fits is taken away, which is a write that fails at some moment.
 *
 * Property. An admission on the seat never falls within WINDOW ticks after an
 * admission by another holder, a former life of the same node included
 * (admit).
 *
 * Not modelled: work that a holder admitted before it was paused and sends on
 * afterwards; an admission counts when it is decided. Preference among nodes
 * and how often they read are left open: a node may act at any moment.
 *
 * Stands for. packages/core/seat.c: seat_next_step (request_write, request_free,
 * may_acquire), seat_row_read (own_value_read), seat_row_written
 * (extend_lease), seat_admit;
 * packages/node: the loop that reads and writes rows.
 *
 * Faults, each removing one guard:
 *   LEASE_FROM_REPLY  the lease counts from the write's answer, not its sending
 *   LEASE_FROM_READ   a read that finds its own write counts it from the read
 *   NO_DRIFT          a waiting node waits for the lease only
 *   NO_WINDOW         a new holder admits at once, so that the last admissions
 *                     of the old holder and its first fall into one second
 *   NO_WAIT           it takes the seat as soon as it sees another holder
 *   WAIT_FROM_SENDING the wait counts from the read's sending, not its answer
 *   KEEP_WAIT         it doesn't start the wait again when the row has changed
 *   NO_ADMIT_CHECK    admission trusts a flag that the renewal loop keeps
 *   BLIND_WRITE       a write doesn't name the version that was read
 *   LOST_IS_WRITTEN   a write whose answer is lost counts as done
 *   FREE_KEEPS_LEASE  a holder that frees the row admits until it is answered
 *   FREE_KEEPS_WRITES it still takes a lease from writes older than the freeing
 *   NO_NEW_NAME       a restarted node has the holder name it had before, and
 *                     takes a write of its former life for one of its own
 */
#define NODES 2
#define LEASE 3
#define LAPSED (LEASE + 1)
#define WINDOW 2
#define DRIFT 1
#ifndef RESTARTS
#define RESTARTS 1
#endif

#if defined(NO_WAIT)
#define WAIT 0
#elif defined(NO_DRIFT)
#define WAIT LEASE
#else
#define WAIT (LEASE + DRIFT)
#endif

#ifdef NO_WINDOW
#define HOLD_OFF 0
#else
#define HOLD_OFF WINDOW
#endif

#define ABSENT 255 /* no row yet */
#define FREE 254
#define FORMER 253 /* the name of a life that is over */

mtype = { NO_WRITE, ON_WAY, DONE }; /* DONE: took effect, not yet answered */

/* The platform's row */
byte row_holder = ABSENT;
byte row_age; /* since its write was sent, on the holder's clock */
byte row_hold_off; /* of that write */
bool row_remembered; /* the holder knows the write as one of its own */

/* What the nodes know; ages stop where they no longer matter. */
bool seen[NODES]; /* the row as it is now */
byte wait_age[NODES]; /* since the row was first seen so */
byte gained[NODES]; /* ticks that the wait has gained */
byte lease_age[NODES] = LAPSED; /* since the write that gave it was sent */
byte hold_off[NODES]; /* ticks before the first admission */

/* A write that is waited for, and one that was given up. */
mtype write[NODES] = NO_WRITE;
byte write_age[NODES];
byte write_hold_off[NODES];
bool write_frees[NODES];
bool stray[NODES];
byte stray_age[NODES];
byte stray_hold_off[NODES];
bool stray_frees[NODES];
bool stray_remembered[NODES];
bool former_stray[NODES]; /* sent in a life that is over */

#ifdef WAIT_FROM_SENDING
bool reading[NODES];
byte read_age[NODES];
#endif
#ifdef NO_ADMIT_CHECK
bool flag[NODES];
#endif

/* For the property: ticks since the last admission; WINDOW is long ago. */
byte admitted[NODES] = WINDOW;
byte admitted_by_former = WINDOW;
byte restarts;

inline end_write(n)
{
	write[n] = NO_WRITE;
	write_age[n] = 0;
	write_hold_off[n] = 0;
	write_frees[n] = false
}

inline end_stray(n)
{
	stray[n] = false;
	stray_age[n] = 0;
	stray_hold_off[n] = 0;
	stray_frees[n] = false;
	stray_remembered[n] = false
}

inline row_moves_on(n)
{
	seen[n] = false;
#ifndef KEEP_WAIT
	wait_age[n] = 0;
	gained[n] = 0;
#endif
#ifndef BLIND_WRITE
	if
	:: write[n] == ON_WAY -> end_write(n)
	:: else -> skip
	fi;
	end_stray(n)
#endif
}

inline row_changes(holder, age, off, remembered)
{
	row_holder = holder;
	row_age = age;
	row_hold_off = off;
	row_remembered = remembered;
	row_moves_on(0);
	row_moves_on(1)
}

inline row_is_freed()
{
	row_changes(FREE, 0, 0, false)
}

inline admit(n)
{
	assert(admitted[1 - n] >= WINDOW);
	assert(admitted_by_former >= WINDOW);
	admitted[n] = 0
}

inline older(age, top)
{
	if
	:: age < top -> age++
	:: else -> skip
	fi
}

inline sooner(left)
{
	if
	:: left > 0 -> left--
	:: else -> skip
	fi
}

#define IS_OTHERS(n) (row_holder != n && row_holder < FREE)
#define WAITS(n) (seen[n] && IS_OTHERS(n))

inline tick(n)
{
	older(lease_age[n], LAPSED);
	sooner(hold_off[n]);
	if
	:: write[n] != NO_WRITE ->
		older(write_age[n], LAPSED);
		sooner(write_hold_off[n])
	:: else -> skip
	fi;
	if
	:: stray[n] ->
		older(stray_age[n], LAPSED);
		sooner(stray_hold_off[n])
	:: else -> skip
	fi;
	if
	:: row_holder == n ->
		older(row_age, LAPSED);
		sooner(row_hold_off)
	:: else -> skip
	fi;
	if
	:: WAITS(n) && gained[n] < DRIFT ->
		gained[n]++;
		older(wait_age[n], WAIT);
		older(wait_age[n], WAIT)
	:: WAITS(n) -> older(wait_age[n], WAIT)
	:: !WAITS(n) -> skip
	fi;
#ifdef WAIT_FROM_SENDING
	older(read_age[n], WAIT);
#endif
	older(admitted[n], WINDOW)
}

active proctype time()
{
end:	do
	:: atomic {
		tick(0);
		tick(1);
		older(admitted_by_former, WINDOW) }
	od
}

inline hold(n, age, off)
{
	if
	:: age < lease_age[n] -> lease_age[n] = age
	:: else -> skip
	fi;
	if
	:: off > hold_off[n] -> hold_off[n] = off
	:: else -> skip
	fi;
#ifdef NO_ADMIT_CHECK
	flag[n] = true
#endif
}

inline end_lease(n)
{
	lease_age[n] = LAPSED;
#ifdef NO_ADMIT_CHECK
	flag[n] = false
#endif
}

inline saw_own_row(n)
{
	if
	:: row_remembered ->
#ifdef LEASE_FROM_READ
		hold(n, 0, row_hold_off)
#else
		hold(n, row_age, row_hold_off)
#endif
#ifdef NO_NEW_NAME
	/* Both lives number their writes from one. */
	:: !row_remembered && stray[n] && !stray_frees[n] ->
		hold(n, stray_age[n], stray_hold_off[n])
#endif
	:: !row_remembered && lease_age[n] == LAPSED -> hold_off[n] = HOLD_OFF
	:: else -> skip
	fi
}

inline saw_row(n, age)
{
	if
	:: !seen[n] ->
		seen[n] = true;
#ifndef KEEP_WAIT
		wait_age[n] = age
#endif
	:: else -> skip
	fi;
	if
	:: row_holder == n -> saw_own_row(n)
	:: else -> end_lease(n)
	fi
}

inline send_lease(n)
{
	write[n] = ON_WAY;
	if
	:: row_holder != n && row_holder != ABSENT ->
		write_hold_off[n] = HOLD_OFF
	:: else -> skip
	fi
}

inline send_freeing(n)
{
	write[n] = ON_WAY;
	write_frees[n] = true;
#ifndef FREE_KEEPS_LEASE
	end_lease(n);
#endif
#ifndef FREE_KEEPS_WRITES
	row_remembered = false;
	stray_remembered[n] = false
#endif
}

inline write_lands(n)
{
	write[n] = DONE;
	if
	:: write_frees[n] -> row_is_freed()
	:: else -> row_changes(n, write_age[n], write_hold_off[n], true)
	fi
}

inline stray_lands(n)
{
	if
	:: stray_frees[n] -> row_is_freed()
	:: !stray_frees[n] && stray_remembered[n] ->
		row_changes(n, stray_age[n], stray_hold_off[n], true)
	:: !stray_frees[n] && !stray_remembered[n] ->
		row_changes(n, LAPSED, 0, false)
	fi;
	end_stray(n)
}

/* The same of a life that is over; its name isn't anybody's now. */
inline former_stray_lands(n)
{
	if
	:: stray_frees[n] -> row_is_freed()
	:: else -> row_changes(FORMER, 0, 0, false)
	fi;
	former_stray[n] = false;
	end_stray(n)
}

inline answered(n)
{
	if
	:: write_frees[n] -> end_lease(n)
	:: else ->
#ifdef LEASE_FROM_REPLY
		hold(n, 0, write_hold_off[n])
#else
		hold(n, write_age[n], write_hold_off[n])
#endif
	fi;
	end_write(n)
}

inline go_astray(n)
{
	stray[n] = true;
	stray_age[n] = write_age[n];
	stray_hold_off[n] = write_hold_off[n];
	stray_frees[n] = write_frees[n];
	stray_remembered[n] = true
}

inline give_up(n)
{
	if
	:: write[n] == ON_WAY -> go_astray(n)
	:: else -> skip
	fi;
#ifdef LOST_IS_WRITTEN
	if
	:: !write_frees[n] -> hold(n, write_age[n], write_hold_off[n])
	:: else -> skip
	fi;
#endif
	end_write(n)
}

inline restart(n)
{
	if
	:: admitted[n] < admitted_by_former -> admitted_by_former = admitted[n]
	:: else -> skip
	fi;
	admitted[n] = WINDOW;
	if
	:: write[n] == ON_WAY -> go_astray(n)
	:: else -> skip
	fi;
#ifndef NO_NEW_NAME
	former_stray[n] = stray[n];
	if
	:: row_holder == n -> row_holder = FORMER
	:: else -> skip
	fi;
#endif
	if
	:: row_holder == n || row_holder == FORMER ->
		row_age = 0;
		row_hold_off = 0;
		row_remembered = false
	:: else -> skip
	fi;
	stray_age[n] = 0;
	stray_hold_off[n] = 0;
	stray_remembered[n] = false;
	end_write(n);
	seen[n] = false;
	wait_age[n] = 0;
	gained[n] = 0;
	hold_off[n] = 0;
	end_lease(n)
}

proctype node(byte n)
{
end:	do
#ifdef WAIT_FROM_SENDING
	:: atomic { !reading[n] -> reading[n] = true; read_age[n] = 0 }
	:: atomic { reading[n] && write[n] == NO_WRITE ->
		reading[n] = false;
		saw_row(n, read_age[n]) }
#else
	:: atomic { write[n] == NO_WRITE -> saw_row(n, 0) }
#endif

	/* Renew, or take what is free or has lapsed; or give it back. */
	:: atomic { write[n] == NO_WRITE && seen[n] &&
		(!IS_OTHERS(n) || wait_age[n] >= WAIT) ->
		send_lease(n) }
	:: atomic { write[n] == NO_WRITE && seen[n] && row_holder == n ->
		send_freeing(n) }
	:: atomic { write[n] == ON_WAY -> write_lands(n) }
	:: atomic { write[n] == DONE -> answered(n) }

	/* No answer: lost, or the write is still on its way. */
	:: atomic { write[n] == DONE || (write[n] == ON_WAY && !stray[n]) ->
		give_up(n) }
	:: atomic { stray[n] && !former_stray[n] -> stray_lands(n) }
	:: atomic { stray[n] && former_stray[n] -> former_stray_lands(n) }

#ifdef NO_ADMIT_CHECK
	:: atomic { flag[n] && hold_off[n] == 0 -> admit(n) }
	:: atomic { lease_age[n] == LAPSED && flag[n] -> flag[n] = false }
#else
	:: atomic { lease_age[n] <= LEASE && hold_off[n] == 0 -> admit(n) }
#endif
	:: atomic { restarts < RESTARTS -> restarts++; restart(n) }
	od
}

init {
	atomic {
		run node(0);
		run node(1)
	}
}
