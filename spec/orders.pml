/*
 * Orders of a roll-out: an engine ends at the version that was accepted last,
 * whoever sends orders, and a step is done only when its state was seen.
 *
 * The accepted intent is one row: a sequence number, which is also the fencing
 * number, and whether its step is done. Operators accept version 2 and then
 * take it back, so that version 1 is wanted again. Two nodes drive the roll-out
 * at the same time, since a lease that lapsed in a pause stops nobody. Each
 * reads the row, looks at the engine's state, and either sends an order or, if
 * it saw what is wanted, marks the step done under the condition that the row
 * is as it was read. A step that is done is still looked at.
 *
 * Faults: an order arrives late, also after newer ones; the node that sent it
 * is paused anywhere; a load takes its time and fails now and then.
 *
 * With -DHONOUR the engine refuses an order with an old fencing number, and a
 * step that is done stays done. Without, it takes any order; a late one may
 * undo a step, and the engine comes back to what is wanted.
 *
 * Variants (-D), which the checker must reject:
 *   NO_CONDITION         the row is written without a condition
 *   DONE_ON_ACK          a step is done when the engine took the order
 *   NO_RECHECK           a step that is done is not looked at again
 *   NO_REREAD            a node acts on the row that it read first
 *   HONOUR NO_OWN_FENCE  a step counts as done without an order of its own
 * States (-D), which the checker must reach:
 *   REACH_UNDONE         a late order undoes a step
 *   HONOUR REACH_REFUSED an old order is refused
 */

#define LAST        3
#define WANTED      1  /* the version of the last intent */
#define VERSION(s)  (s == 2 -> 2 : 1)

byte seq = 1;          /* the row: the intent accepted last */
bool done = true;
byte loaded = 1;       /* the engine: its version, and the highest fence seen */
byte fence = 1;
byte loading;          /* sequence number of the order that it is carrying out */
byte failures = 1;     /* loads that may still fail */
bool was[4];           /* the wanted version was loaded since its intent was accepted */

chan order = [2] of { byte };          /* orders on their way, by sequence number */

active proctype Operators()
{
	do
	:: atomic { seq < LAST -> seq++; done = false; was[seq] = (loaded == VERSION(seq)) }
	:: seq == LAST -> break
	od
}

/* begin: a version that is loaded already needs no load. */
inline begin(s)
{
	if
	:: loaded != VERSION(s) || loading != 0 -> loading = s
	:: else
	fi
}

/* The engine takes any order that is on its way, and carries out the last. */
active proctype Engine()
{
	byte s;
end:	do
	:: atomic {
		if
		:: order?s
		:: len(order) == 2 -> order?s; order!s; order?s     /* the later one first */
		fi;
		if
#ifdef HONOUR
		:: s < fence ->                               /* refused */
#ifdef REACH_REFUSED
			assert(false)
#endif
			skip
		:: s >= fence -> fence = s; begin(s)
#else
		:: true -> fence = s; begin(s)
#endif
		fi; s = 0 }
	:: atomic { loading != 0 ->
		if
		:: loaded = VERSION(loading);
			if
			:: loaded == VERSION(seq) -> was[seq] = true
			:: else
			fi;
#ifdef REACH_UNDONE
			assert(!(done && loaded != VERSION(seq)))
#endif
		:: failures > 0 -> failures--
		fi; loading = 0 }
	od
}

/* What a node must have seen to mark a step done. */
#if defined(HONOUR) && !defined(NO_OWN_FENCE)
#define SEEN(s) (loaded == VERSION(s) && fence == s && loading == 0)
#else
#define SEEN(s) (loaded == VERSION(s) && loading == 0)
#endif

#ifdef NO_RECHECK
#define WORK (!done)
#else
#define WORK (!done || !SEEN(seq))
#endif

proctype Driver()
{
	byte mine; bool seen, busy;
#ifdef NO_REREAD
	mine = seq;
#endif
end:	do
	:: WORK ->
#ifndef NO_REREAD
		mine = seq;
#endif
		atomic { seen = SEEN(mine); busy = (loading == mine) };      /* the engine's state */
		if
#ifdef DONE_ON_ACK
		:: !seen -> order!mine; goto mark
#else
		:: !seen && !busy && nfull(order) -> order!mine
		:: !seen && (busy || full(order))               /* wait for what was ordered */
#endif
		:: seen ->
mark:			atomic {
				if
#ifdef NO_CONDITION
				:: assert(mine >= seq); seq = mine; done = true
#else
				:: seq == mine -> assert(was[mine]); done = true
				:: seq != mine                  /* the row has changed */
#endif
				fi }
		fi;
		seen = false; busy = false
	od
}

#ifdef HONOUR
/* A step that is done stays done. */
active proctype Monitor()
{
end:	atomic { done && loaded != VERSION(seq) -> assert(false) }
}
#endif

/* When nothing moves any more, the last intent is in force; and it comes to that:
   no run goes on for ever without it. */
active proctype Morning()
{
	timeout -> assert(seq == LAST && done && loaded == WANTED)
}

ltl converges { <> [] (seq == LAST && done && loaded == WANTED) }

init { atomic { run Driver(); run Driver() } }
