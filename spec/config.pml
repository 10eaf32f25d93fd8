/*
 * Configuration: a revision that operators were told is in force is the oldest
 * under which any node admits work, from then on.
 *
 * Revision 1 is stored. Two operators change it at the same time, by
 * compare-and-set of the head row; one makes revision 2. Three nodes learn of
 * it by reading the head, or by asking a peer, whose answer carries the age of
 * its own proof. A node admits work while its proof is younger than a bound;
 * the proof counts from the instant at which the call was sent. When the table
 * cannot be reached, a node may ask its peers to vote for an outage: with the
 * votes of a majority it goes on under the highest revision among the voters.
 * A vote binds: until it has run out its voter confirms no newer revision. An
 * operator is told "in force" when a majority has confirmed the revision and
 * it is older than the bound.
 *
 * Node 0 may have been the whole fleet, and asleep since before the others were
 * started: it knows only itself then, until it has had lists for a while, or a
 * peer that did not sleep has the same list.
 *
 * Faults: an answer is late or lost; the acknowledgement of a change is lost; a
 * node is paused anywhere, or starts again with nothing. Time may advance
 * between any two steps; instants are kept as ages, which end at the bound, so
 * that time is not limited. An answer is given at the instant of its call: a
 * later one would only make a weaker proof.
 *
 * With -DRACE the operators' race is checked, without nodes; else the nodes.
 *
 * Variants (-D), which the checker must reject:
 *   RACE NO_CAS          the head row is written without a condition
 *   RACE TRUST_REVISION  a lost acknowledgement: the revision alone is compared
 *   NO_UPWARD            a late answer may bring back an older revision
 *   PROOF_FROM_ARRIVAL   a proof counts from the instant the answer came
 *   MINORITY_OUTAGE      a node goes on when it alone sees an outage
 *   VOTE_AFTER_RESTART   a node votes that has forgotten what it confirmed
 *   OLD_PROOF_PROVES     a proof from before a node's start lets it vote
 *   NO_PROMISE           a vote does not bind
 *   TRUST_OLD_LIST       a node that wakes counts its majority by the list of before
 *   CONFIRM_AT_ONCE      a restarted node forgets that its votes bind
 *   NO_SETTLE            "in force" does not wait for the bound
 * States (-D), which the checker must reach:
 *   REACH_LAGGING        in force while a node still has the older revision
 *   REACH_OUTAGE         work admitted by votes alone
 */

#define N      3
#ifndef BOUND
#define BOUND  2       /* ticks; an age of BOUND is too old */
#endif
#ifndef LATE
#define LATE   1       /* how many answers come late */
#endif
#ifndef ROUNDS
#define ROUNDS 1       /* how many times votes are asked for */
#endif

byte head = 1;         /* the head row */

#ifdef RACE

byte writer = 9, accepted;

/* An operator changes revision 1. */
proctype Operator(byte me)
{
	bool applied;
	atomic {
#ifdef NO_CAS
		applied = true;
#else
		applied = head == 1;
#endif
		if
		:: applied -> head = 2; writer = me
		:: else
		fi };
	if
	:: applied -> accepted++
	:: !applied                                      /* told the present revision */
	:: atomic { true;                                /* no acknowledgement: read the row */
#ifdef TRUST_REVISION
		if
		:: head == 2 -> accepted++
#else
		if
		:: head == 2 && writer == me -> accepted++
#endif
		:: else
		fi }
	fi;
	assert(accepted <= 1)                            /* one wins */
}

init { atomic { run Operator(0); run Operator(1) } }

#else

typedef Node {
	byte rev;                         /* applied */
	byte proof;                       /* age of the proof of the table */
	byte grant;                       /* age of the proof of an outage */
	byte up;                          /* age of the process */
	bool proved;                      /* has had a proof that is younger than the process */
	byte binds; byte promised;        /* ticks for which its votes still bind; what it confirms */
	bool late; byte ansRev; byte ansAge;        /* an answer on its way */
	byte voted; byte votedRev; byte sent;       /* a round of votes: who, the highest revision, its age */
};
Node node[N];

byte lates = LATE, rounds = ROUNDS, restarts = 1;
bool asleep, alone;    /* node 0 sleeps; it knows of no other node */
byte since;            /* age of the change, at most BOUND */
bool inForce;
byte confirmed;        /* nodes that have confirmed revision 2, as bits */

#define FRESH(x) (node[x].proof < BOUND || node[x].grant < BOUND)
#define WRONG(x) (node[x].rev < 2 && FRESH(x))
#define COUNT(m) ((m & 1) + ((m >> 1) & 1) + ((m >> 2) & 1))
#ifdef MINORITY_OUTAGE
#define QUORUM(x) 1
#else
#define QUORUM(x) ((x) == 0 && alone -> 1 : 2)
#endif
#ifdef TRUST_OLD_LIST
#define KNOWS(x) true
#else
#define KNOWS(x) ((x) != 0 || !alone)
#endif
#define AWAKE(x) ((x) != 0 || !asleep)
#ifdef VOTE_AFTER_RESTART
#define MAYVOTE(x) (node[x].rev > 0)
#else
#define MAYVOTE(x) (node[x].rev > 0 && node[x].proved)
#endif

/* The nodes begin alike: the one that restarts may be called 0, and of the two
   others the one that asks for votes first may be called 1. */
#define FIRST(x) (x != 2 || rounds < ROUNDS)

/* apply takes the revision r, and forgets the proofs of an older one. */
inline apply(x)
{
	if
#ifdef NO_UPWARD
	:: r != node[x].rev ->
#else
	:: r > node[x].rev ->
#endif
		assert(r >= node[x].rev);                 /* never goes down */
		node[x].rev = r; node[x].proof = BOUND; node[x].grant = BOUND
	:: else
	fi
}

/* hear: an answer says that the head was r, as long ago as its age. */
inline hear(x)
{
	apply(x);
	if
	:: r == node[x].rev && age < node[x].proof -> node[x].proof = age
	:: else
	fi;
	if
#ifdef OLD_PROOF_PROVES
	:: r == node[x].rev -> node[x].proved = true
#else
	:: r == node[x].rev && age < node[x].up -> node[x].proved = true
#endif
	:: else
	fi;
	r = 0; age = 0
}

/* vote: a node tells its revision, and binds itself. */
inline vote(x, asker)
{
	node[asker].voted = node[asker].voted | (1 << x);
	if
	:: node[x].rev > node[asker].votedRev -> node[asker].votedRev = node[x].rev
	:: else
	fi;
#ifndef NO_PROMISE
	if
	:: node[x].binds == 0 -> node[x].promised = node[x].rev
	:: else
	fi;
	node[x].binds = BOUND
#endif
}

inline endRound(x)
{
	node[x].voted = 0; node[x].votedRev = 0; node[x].sent = 0
}

inline older(age)
{
	if
	:: age < BOUND -> age++
	:: else
	fi
}

proctype Entry(byte n)
{
	byte p, r, age;
	if
	:: n == 0 -> asleep = false          /* it wakes, at any time */
	:: else
	fi;
end:	do
	/* read the head, or ask a peer; the answer may stay on its way */
	:: d_step { true -> r = head; age = 0; hear(n) }
	:: d_step { !node[n].late && lates > 0 -> lates--;
		node[n].late = true; node[n].ansRev = head; node[n].ansAge = 0 }
	:: d_step { AWAKE((n + 1) % N) && node[(n + 1) % N].rev > 0 -> r = node[(n + 1) % N].rev; age = node[(n + 1) % N].proof; hear(n) }
	:: d_step { AWAKE((n + 2) % N) && node[(n + 2) % N].rev > 0 -> r = node[(n + 2) % N].rev; age = node[(n + 2) % N].proof; hear(n) }
	/* a late answer comes, or is lost */
	:: atomic { node[n].late ->
		if
		:: r = node[n].ansRev; age = node[n].ansAge; hear(n)
		:: skip
		fi;
		node[n].late = false; node[n].ansRev = 0; node[n].ansAge = 0 }
	/* ask for votes */
	:: d_step { n == 0 && alone -> alone = false }   /* the list names the others */
	:: d_step { node[n].voted == 0 && rounds > 0 && FIRST(n) && MAYVOTE(n) -> rounds--; vote(n, n) }
	:: atomic { node[n].voted != 0 ->
		if
		:: p = (n + 1) % N
		:: p = (n + 2) % N
		fi;
		if
		:: AWAKE(p) && MAYVOTE(p) && !(node[n].voted & (1 << p)) -> vote(p, n)
		:: else
		fi; p = 0 }
	:: d_step { COUNT(node[n].voted) >= QUORUM(n) && KNOWS(n) -> r = node[n].votedRev; apply(n); r = 0;
		if
		:: node[n].votedRev == node[n].rev && node[n].sent < node[n].grant -> node[n].grant = node[n].sent
		:: else
		fi;
#ifdef REACH_OUTAGE
		assert(!(node[n].proof == BOUND && node[n].grant < BOUND));
#endif
		endRound(n) }
	/* a new process in its place */
	:: d_step { restarts > 0 && n == 0 && !alone -> restarts--; endRound(n);
		node[n].rev = 0; node[n].proof = BOUND; node[n].grant = BOUND; node[n].up = 0; node[n].proved = false;
		node[n].binds = 0; node[n].promised = 0; node[n].late = false; node[n].ansRev = 0; node[n].ansAge = 0 }
	od
}

active proctype Clock()
{
	byte i;
end:	do
	:: d_step {
		for (i : 0 .. N - 1) {
			older(node[i].proof); older(node[i].grant); older(node[i].up);
#ifndef PROOF_FROM_ARRIVAL
			if
			:: node[i].late -> older(node[i].ansAge)
			:: else
			fi;
#endif
			if
			:: node[i].voted != 0 && node[i].sent + 1 < BOUND -> node[i].sent++
			:: node[i].voted != 0 && node[i].sent + 1 >= BOUND -> endRound(i)   /* worth nothing */
			:: else
			fi;
			if
			:: node[i].binds == 1 -> node[i].binds = 0; node[i].promised = 0
			:: node[i].binds > 1 -> node[i].binds--
			:: else
			fi
		}
		if
		:: head == 2 -> older(since)
		:: else
		fi; i = 0 }
	od
}

/* confirms: what a node answers when it is asked which revision it has. */
#ifdef CONFIRM_AT_ONCE
#define CONFIRMS(x) (node[x].binds > 0 -> node[x].promised : node[x].rev)
#else
#define CONFIRMS(x) (node[x].up < BOUND -> 0 : (node[x].binds > 0 -> node[x].promised : node[x].rev))
#endif
#ifdef NO_SETTLE
#define SETTLED true
#else
#define SETTLED (since == BOUND)
#endif

/* An operator changes the configuration and asks whether it is in force. */
active proctype Operator()
{
	byte x;
	head = 2;
end:	do
	:: atomic { !inForce ->
		if
		:: x = 0
		:: x = 1
		:: x = 2
		fi;
		if
		:: AWAKE(x) && CONFIRMS(x) == 2 -> confirmed = confirmed | (1 << x)
		:: else
		fi; x = 0 }
	:: atomic { !inForce && COUNT(confirmed) >= 2 && SETTLED -> inForce = true; confirmed = 0;
#ifdef REACH_LAGGING
		assert(node[0].rev == 2 && node[1].rev == 2 && node[2].rev == 2)
#endif
	   }
	od
}

/* "In force" is true at every moment afterwards. */
active proctype Monitor()
{
end:	atomic { inForce && (WRONG(0) || WRONG(1) || WRONG(2)) -> assert(false) }
}

init {
	byte i;
	atomic {
		for (i : 0 .. N - 1) {
			node[i].rev = 1; node[i].proved = true;
			node[i].up = BOUND; run Entry(i)
		}
		i = 0;
		if
		:: asleep = true; alone = true
		:: skip
		fi
	}
}

#endif
