/*
 * Evacuation: when nothing more can happen every node has the newest state of the order
 * to evacuate a failure domain, and none goes back to an earlier one in the life of its
 * process.
 *
 * An operator gives the order and takes it back, twice: revisions 1 to 4, the order stands
 * at odd ones. Node 0 can read the table; the others hear of it from peers. A
 * reading shows the row if there is one: a complete one lacks it after an end, a feed shows
 * the end as a deletion while the table remembers it. What a node told may arrive any time
 * later, after others of its words.
 *
 * Faults, a bounded number: the table forgets its history, a node starts again with
 * nothing.
 *
 * Variants (-D), which the checker must reject:
 *   NO_REVISION          the word that came last counts
 *   NO_COMPLETE          a complete reading that lacks the order changes nothing
 *   NO_TOLD_ENDS         nodes tell of orders that stand, and not of ended ones
 * States (-D), which the checker must reach:
 *   REACH_LATE           a word of the first begin arrives after the end is known
 *   REACH_HIDDEN         a complete reading shows an end that no feed has
 */

#define N      3
#define NEWEST 4
#ifndef FAULTS
#define FAULTS 2
#endif
#define stands(r) ((r) % 2 == 1)

byte head = 0;          /* the table's newest revision of the order */
byte oldest = 0;        /* revisions up to it are no longer in the history */
byte known[N];          /* what each node goes by; 0 for nothing */
byte faults = FAULTS;
byte word[N];           /* a word on its way to each node; 0 for none */

/* take takes a word on the order, in one step. */
inline take(i, r) {
	if
#ifndef NO_REVISION
	:: r > known[i] -> known[i] = r
	:: else
#else
	:: true ->
		assert(r >= known[i]);
		known[i] = r
#endif
	fi
}

proctype Operator() {
	do
	:: head < NEWEST -> head++
	:: else -> break
	od
}

#define gap (head > known[0] && (known[0] < oldest || known[0] == 0))

/* Reader reads the table for all, by its feed or, where that has a gap, complete. */
proctype Reader() {
	do
	:: atomic { head > known[0] && known[0] >= oldest && known[0] > 0 -> take(0, head) }
	:: atomic { gap && stands(head) -> take(0, head) }
	:: atomic { gap && !stands(head) && known[0] == 0 -> take(0, head) }  /* none stands */
#ifndef NO_COMPLETE
	:: atomic { gap && !stands(head) && known[0] > 0 ->
#ifdef REACH_HIDDEN
		assert(false);
#endif
		take(0, head) }
#endif
	od
}

#ifdef NO_TOLD_ENDS
#define told(r) stands(r)
#else
#define told(r) ((r) > 0)
#endif

/* Teller sends a word of what a node knows to a peer, where it may wait. */
proctype Teller(byte i) {
	do
	:: atomic { told(known[i]) && word[(i + 1) % N] == 0 && known[i] != known[(i + 1) % N] ->
		word[(i + 1) % N] = known[i] }
	od
}

/* Hearer takes words that have arrived. */
proctype Hearer(byte i) {
	do
	:: atomic { word[i] > 0 ->
#ifdef REACH_LATE
		assert(!(word[i] == 1 && known[i] == 2));
#endif
		take(i, word[i]);
		word[i] = 0 }
	od
}

/* Harm has the table forget, and starts nodes again. */
proctype Harm() {
	byte i;
	do
	:: atomic { faults > 0 && oldest < head -> faults--; oldest = head }
	:: atomic { faults > 0 -> faults--; select(i : 1 .. N-1); known[i] = 0 }
	:: break
	od
}

init {
	atomic {
		byte i;
		run Operator();
		run Harm();
		run Reader();
		for (i : 0 .. N-1) { run Teller(i); run Hearer(i) }
	}
}

/* Rest looks once nothing more can happen: all have the newest state then. */
active proctype Rest() {
	timeout;
	assert(known[0] == NEWEST && known[1] == NEWEST && known[2] == NEWEST)
}
