/*
 * Spreading: when nothing more can happen every node has the newest configuration;
 * none goes backwards in the life of its process, and none has one that nobody wrote.
 *
 * An operator writes versions 2 and 3 into the table. Node 0 can read the table, node 1
 * until it is turned away for good; node 2 depends on its peers.
 * What a reading showed is put in force some time after it. Beside that, a node
 * takes what leads from its own version to a peer's newest, in two pieces, which
 * may come from different peers; an update is named by what it leads from and to.
 * Meanwhile its own version may have changed, and so may the peer's.
 *
 * Faults, a bounded number: a transfer is cut, a node starts again with nothing, node 1
 * is turned away by the table.
 *
 * Variants (-D), which the checker must reject:
 *   NO_UPWARD            what was read or taken is put in force whatever is
 *   NO_BASE              an update is applied to another version than it leads from
 *   NO_NAME              pieces of two updates are joined
 *   NO_AGAIN             a transfer that was cut is not begun again
 * States (-D), which the checker must reach:
 *   REACH_OTHER_PEER     a transfer goes on at another peer
 *   REACH_OVERTAKEN      the table was faster than a transfer
 */

#define N      3
#define NEWEST 3
#ifndef FAULTS
#define FAULTS 1
#endif

byte head = 1;          /* the table's version */
byte version[N];        /* in force; 0 for none */
bool sound[N];          /* whether it is one that was written */
byte life[N];           /* starts of the process, modulo 2 */
byte faults = FAULTS;
bool away[N];           /* the table turns the node away */

/* enforce puts a version in force, in one step. */
inline enforce(i, v, good) {
	if
#ifndef NO_UPWARD
	:: v <= version[i] -> skip
	:: v > version[i] ->
#else
	:: true ->
		assert(v >= version[i]);
#endif
		sound[i] = good;   /* before the version, which it may look at */
		version[i] = v;
		assert(sound[i])
	fi
}

proctype Operator() {
	do
	:: head < NEWEST -> head++
	:: else -> break
	od
}

/* Reader reads the table and puts in force what it showed, some time later. */
proctype Reader(byte i) {
	byte seen, born;
	do
	:: atomic { !away[i] && head > version[i] -> seen = head; born = life[i] };
	   atomic {
		if
		:: born == life[i] -> enforce(i, seen, true)
		:: else
		fi;
		seen = 0
	   }
	od
}

/* with_any lets a step be taken with any peer that has a version above v. */
#define with_any(v) \
	if \
	:: version[0] > v -> peer = 0 \
	:: version[1] > v -> peer = 1 \
	:: version[2] > v -> peer = 2 \
	fi

/* Taker takes newer versions from peers, in two pieces. */
proctype Taker(byte i) {
	byte from, to, got, peer, born;
	bool mixed, stuck, cut;
	do
	:: atomic { got == 0 && !stuck ->          /* begin */
		with_any(version[i]);
		from = version[i]; to = version[peer]; got = 1;
		mixed = false; cut = false; born = life[i] }
	:: atomic { got == 1 && !cut ->            /* the sender ends what it has begun */
		if
		:: born == life[i] && version[peer] >= to -> got = 2
		:: else -> got = 0
		fi }
	:: atomic { got == 1 && !cut && faults > 0 ->
		faults--;
#ifdef NO_AGAIN
		stuck = true; got = 0
#else
		cut = true
#endif
		}
	:: atomic { got == 1 && cut ->             /* it goes on at any peer */
		with_any(to - 1);
		cut = false;
		if
		:: born == life[i] && version[peer] == to ->
#ifdef REACH_OTHER_PEER
			assert(false);
#endif
			got = 2
		:: born == life[i] && version[peer] > to ->
#ifdef NO_NAME
			mixed = true; to = version[peer]; got = 2
#else
			got = 0                    /* another update: begin that */
#endif
		:: else -> got = 0
		fi }
	:: atomic { got == 2 ->                    /* all has come */
		if
		:: born != life[i] -> skip
#ifndef NO_BASE
		:: born == life[i] && version[i] != from ->
#ifdef REACH_OVERTAKEN
			assert(false);
#endif
			skip                       /* it leads from another version */
		:: born == life[i] && version[i] == from ->
#else
		:: born == life[i] ->
#endif
			enforce(i, to, (!mixed && version[i] == from))
		fi;
		got = 0 }
	od
}

/* Harm starts nodes again and has the table turn them away. */
proctype Harm() {
	byte i;
	do
	:: atomic { faults > 0 -> faults--; select(i : 1 .. N-1); version[i] = 0; sound[i] = true; life[i] = 1 - life[i] }
	:: atomic { faults > 0 && !away[1] -> faults--; away[1] = true }
	:: break
	od
}

init {
	atomic {
		byte i;
		for (i : 0 .. N-1) { sound[i] = true; version[i] = 1 };
		run Operator();
		run Harm();
		for (i : 0 .. N-1) { run Taker(i) };
		run Reader(0); run Reader(1)
	}
}

/* Rest looks once nothing more can happen: all have the newest then. */
active proctype Rest() {
	timeout;
	assert(version[0] == NEWEST && version[1] == NEWEST && version[2] == NEWEST)
}
