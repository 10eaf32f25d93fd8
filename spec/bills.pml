/*
 * Bills: the last byte of an answer is out only when its bill cannot be lost,
 * and each request has exactly one bill in the end.
 *
 * Three VMs. VM 0 serves request A and forms row 0 with its bill. The caller
 * sends A again with the same key, to VM 1, which forms row 1 for it. VM 0 is
 * lost, and a new process in its place serves request B and forms row 2. A row
 * is named by its writer's process and a number, and never changes: whoever
 * holds it may write it, and a name that is taken counts as written. Rows are
 * copied to the two other VMs; the last byte leaves when the row is known to
 * be in the store, or both copies are known to be held. A holder keeps a row
 * until it is known to be in the store. Readers of bills count keys, not rows.
 *
 * Faults: the store takes a write late (also after its sender is lost), or
 * without an acknowledgement; a copy or its acknowledgement comes late or
 * never; any two VMs are lost, with all they held. A write that never takes
 * effect is one that is late for ever.
 *
 * Variants (-D), which the checker must reject:
 *   ANSWER_BEFORE_COPIES  the last byte leaves while only one VM holds the bill
 *   ONE_COPY              one copy is held for enough
 *   DROP_WHEN_SENT        a VM drops a row when its write was sent
 *   DROP_ON_TIMEOUT       a VM drops a copy that it has held for long
 *   REUSE_NAMES           a new process names its rows as the one before
 *   COUNT_ROWS            readers of bills count rows
 * States (-D), which the checker must reach:
 *   REACH_TWICE           two rows hold the same request's bill
 *   REACH_LAST_COPY       an answer is out and one VM alone has its bill
 */

#define VMS    3
#define ROWS   3
#define LOSSES 2

#ifdef ONE_COPY
#define COPIES 1
#else
#define COPIES 2
#endif

#ifdef REUSE_NAMES
#define NAME(r) (r == 2 -> 0 : r)
#else
#define NAME(r) (r)
#endif

#define A         0
#define B         1
#define BIT(r)    (1 << (r))
#define OF(r)     (r == 2 -> B : A)            /* the request of a row */
#define OWNER(r)  (r == 1 -> 1 : 0)            /* the VM that forms it */

bool alive[VMS] = true;
bool replaced;                 /* VM 0 runs its second process */
bool formed[ROWS];
byte holds[VMS];               /* rows that the VM must see in the store, as bits */
byte moving[VMS];              /* rows whose copy is on its way to the VM */
byte got[VMS];                 /* rows of which the VM got a copy */
byte copies[ROWS];             /* VMs whose acknowledgement the owner has, as bits */
byte sent;                     /* rows with a write on its way */
byte stored[ROWS];             /* by name: 1 + the request whose bill is there */
bool out[2];                   /* requests whose last byte has left */
byte losses;                   /* VMs that may still be lost */

#define STORED(q)  (stored[0] == q + 1 || stored[1] == q + 1 || stored[2] == q + 1)
#define HELD(n, q) (holds[n] & (q == A -> 3 : 4))
#define SAFE(q)    (!out[q] || STORED(q) || HELD(0, q) || HELD(1, q) || HELD(2, q))

#define lostOwner(r) (!alive[OWNER(r)] || (r == 0 && replaced))

/* check: a bill whose answer is out is in the store or on a living VM. */
#define check() assert(SAFE(A)); assert(SAFE(B))

/* serve: the answer is ready but for its last byte; copies may be lost. */
inline serve(row)
{
	formed[row] = true; holds[n] = holds[n] | BIT(row);
	if
	:: moving[(n + 1) % VMS] = moving[(n + 1) % VMS] | BIT(row)
	:: skip
	fi;
	if
	:: moving[(n + 2) % VMS] = moving[(n + 2) % VMS] | BIT(row)
	:: skip
	fi;
#ifdef ANSWER_BEFORE_COPIES
	out[OF(row)] = true
#endif
}

/* confirm: with copies enough, the last byte leaves. */
inline confirm(row)
{
	if
	:: (copies[row] & 1) + ((copies[row] >> 1) & 1) + (copies[row] >> 2) >= COPIES -> out[OF(row)] = true; check()
	:: else
	fi
}

/* What may happen to a row. */
proctype Row(byte r)
{
end:	do
	/* the store takes a write that is on its way, or finds the name taken */
	:: atomic { (sent & BIT(r)) && stored[NAME(r)] == 0 -> stored[NAME(r)] = OF(r) + 1;
#ifdef REACH_TWICE
		assert(!(stored[0] && stored[1]))
#endif
	   }
	/* its owner learns that a copy is held */
	:: atomic { (got[1] & BIT(r)) && !(copies[r] & 2) && !lostOwner(r) -> copies[r] = copies[r] | 2; confirm(r) }
	:: atomic { (got[2] & BIT(r)) && !(copies[r] & 4) && !lostOwner(r) -> copies[r] = copies[r] | 4; confirm(r) }
	:: atomic { (got[0] & BIT(r)) && !(copies[r] & 1) && !lostOwner(r) -> copies[r] = copies[r] | 1; confirm(r) }
	od
}

/* What a VM does with a row that it holds. */
proctype Holder(byte n; byte r)
{
end:	do
	:: atomic { (moving[n] & BIT(r)) ->
		moving[n] = moving[n] & ~BIT(r);
		if
		:: alive[n] -> holds[n] = holds[n] | BIT(r); got[n] = got[n] | BIT(r)
		:: else
		fi }
	:: atomic { (holds[n] & BIT(r)) && !(sent & BIT(r)) -> sent = sent | BIT(r);
#ifdef DROP_WHEN_SENT
		holds[n] = holds[n] & ~BIT(r); check()
#endif
	   }
	/* it learns that the row is in the store */
	:: atomic { (holds[n] & BIT(r)) && (sent & BIT(r)) && stored[NAME(r)] != 0 ->
		holds[n] = holds[n] & ~BIT(r);
		if
		:: OWNER(r) == n -> out[OF(r)] = true
		:: else
		fi; check() }
#ifdef DROP_ON_TIMEOUT
	:: atomic { (holds[n] & BIT(r)) && OWNER(r) != n -> holds[n] = holds[n] & ~BIT(r); check() }
#endif
	od
}

proctype VM(byte n)
{
end:	do
	:: atomic { alive[n] && n == 0 && !formed[0] && !replaced -> serve(0) }
	:: atomic { alive[n] && n == 1 && !formed[1] && formed[0] -> serve(1) }
	:: atomic { alive[n] && n == 0 && !formed[2] && replaced  -> serve(2) }
	/* lost with all it held; what it sent is still on its way */
	:: atomic { alive[n] && losses > 0 -> losses--; alive[n] = false; holds[n] = 0;
#ifdef REACH_LAST_COPY
		assert(!(out[A] && !STORED(A) && HELD(2, A) && !alive[0] && !alive[1]));
#endif
		check() }
	:: atomic { n == 0 && !alive[n] && !replaced -> alive[n] = true; replaced = true }
	od
}

/* When nothing moves any more, each answered request has exactly one bill. */
active proctype Morning()
{
	timeout ->
		assert(!out[A] || STORED(A));
		assert(!out[B] || STORED(B));
#ifdef COUNT_ROWS
		assert(!(stored[0] && stored[1]))
#endif
}

init {
	byte i, j;
	atomic {
		select (losses : 0 .. LOSSES);
		for (i : 0 .. VMS - 1) { run VM(i); for (j : 0 .. ROWS - 1) { run Holder(i, j) } }
		for (j : 0 .. ROWS - 1) { run Row(j) }
	}
}
