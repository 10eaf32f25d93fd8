/*
 * Claims: at most one run of a request that may not be repeated.
 *
 * A shard's claims are an append-only log of rows in the platform's table. A
 * row is created under the condition that it is absent, by a writer that has
 * read all rows before it. Two writers believe that the shard is theirs. A
 * caller sends one request twice with the same key, through two nodes: two
 * attempts. Each node asks a writer for the claim, runs the upstream when it
 * is granted, and settles or releases the claim.
 *
 * Faults: a write takes effect late, never, or without an acknowledgement; a
 * writer crashes and starts again with nothing; an ask, its answer or the
 * upstream's answer is lost or late. A node may stop anywhere, and a pause is
 * any delay: the order of steps covers both.
 *
 * Variants (-D), which the checker must reject:
 *   NO_ABSENCE_CONDITION    a write replaces a row that is there
 *   NO_READ_BEFORE          a restarted writer skips the rows before the end
 *   TRUST_LOST_ACK          a writer takes an unanswered write for done
 *   GRANT_AFTER_TIMEOUT     a claim that has run for long is granted again
 *   RELEASE_IN_DOUBT        a node without an answer releases its claim
 *   NOT_RUN_IN_DOUBT        a node without an answer says "not run"
 *   LAST_SETTLEMENT_WINS    a settled claim can be settled again
 * States (-D), which the checker must reach:
 *   REACH_RETRY_ANSWERED    the second attempt is told the first one's answer
 *   REACH_RUN_AFTER_RELEASE the second attempt runs after the first released
 */

#define ROWS   5       /* enough for every log that these bounds allow */
#ifndef FAULTS
#define FAULTS 3       /* how many faults may come in all, at any moments */
#endif
#define NOBODY 2       /* attempts are 0 and 1 */

mtype = { CLAIM, SETTLE, RELEASE };                   /* asks, and rows */
mtype = { GRANTED, RUNNING, SETTLED, FREE };          /* answers */
mtype = { DONE, DECLINED };                           /* the upstream's word */
mtype = { NONE, COMPLETED, UNKNOWN, NOT_RUN };        /* outcomes */

typedef Row { bool there; mtype kind; byte who; mtype outcome };
Row rows[ROWS];

/* Writes in flight: row, kind, attempt, outcome. The late ones are those whose
   writer has given up waiting or has crashed; they may still take effect. */
chan write[2] = [1] of { byte, mtype, byte, mtype };
chan late     = [2] of { byte, mtype, byte, mtype };
chan acked[2] = [1] of { bool };

chan ask[2]      = [1] of { mtype, byte, mtype };     /* kind, attempt, outcome */
chan answer[2]   = [1] of { mtype, mtype, mtype };    /* kind of the ask, state, outcome */
chan upstream    = [2] of { byte };
chan replied[2]  = [1] of { mtype };

/* What is checked. */
byte  runs = 0;                /* of the request, by any attempt */
bool  ran[2];
mtype told[2] = NONE;          /* what each caller was told */
mtype final = NONE;            /* the settled outcome that a caller was told */
byte  faults = FAULTS;         /* that may still come */

#define FAULT faults > 0 -> faults--

/* The table applies writes at its own pace. An answer that comes too late is
   lost: its writer no longer waits. */
active proctype Table()
{
	byte w, row, who; mtype kind, out; bool applied;
end:	do
	:: atomic {
		if
		:: write[0]?row, kind, who, out -> w = 0
		:: write[1]?row, kind, who, out -> w = 1
		:: late?row, kind, who, out     -> w = 2
		fi;
#ifdef NO_ABSENCE_CONDITION
		applied = true;
#else
		applied = !rows[row].there;
#endif
		if
		:: applied -> rows[row].there = true; rows[row].kind = kind;
			rows[row].who = who; rows[row].outcome = out
		:: else
		fi;
		if
		:: w < 2 -> acked[w]!applied
		:: true
		fi;
		w = 0; row = 0; who = 0; kind = 0; out = 0; applied = false
	   }
	od
}

/* apply takes a row into a writer's view of the key. */
inline apply(r)
{
	if
	:: r.kind == CLAIM && holder == NOBODY -> holder = r.who
#ifdef GRANT_AFTER_TIMEOUT
	:: r.kind == CLAIM && holder != NOBODY && settled == NONE -> holder = r.who
#endif
	:: r.kind == RELEASE && holder == r.who && settled == NONE -> holder = NOBODY
#ifdef LAST_SETTLEMENT_WINS
	:: r.kind == SETTLE && holder == r.who -> settled = r.outcome
#else
	:: r.kind == SETTLE && holder == r.who && settled == NONE -> settled = r.outcome
#endif
	:: else
	fi;
	known++
}

inline readAll()
{
	do
	:: known < ROWS && rows[known].there -> apply(rows[known])
	:: else -> break
	od
}

/* decide sets state to the answer, or leaves it 0 when a row is needed. */
inline decide()
{
	if
	:: kind == CLAIM && settled != NONE -> state = SETTLED
	:: kind == CLAIM && settled == NONE && holder == who -> state = GRANTED
	:: kind == CLAIM && settled == NONE && holder == NOBODY -> skip
	:: kind == CLAIM && settled == NONE && holder == 1 - who -> state = RUNNING
#ifdef GRANT_AFTER_TIMEOUT
	:: kind == CLAIM && settled == NONE && holder == 1 - who -> skip
#endif
#ifdef LAST_SETTLEMENT_WINS
	:: kind == SETTLE && settled == out -> state = SETTLED
	:: kind == SETTLE && settled != out && holder == who -> skip
#else
	:: kind == SETTLE && settled != NONE -> state = SETTLED
	:: kind == SETTLE && settled == NONE && holder == who -> skip
#endif
	:: kind == RELEASE && holder == who && settled == NONE -> skip
	:: else -> state = FREE
	fi
}

/* A writer of the shard; it serves one ask at a time. */
proctype Writer(byte w)
{
	byte known, holder = NOBODY, who; mtype settled = NONE, kind, out, state; bool applied;

end:	do
	:: atomic { ask[w]?kind, who, out ->
again:		readAll();
		decide();
		if
		:: state != 0 ->
			if
			:: nfull(answer[who]) -> answer[who]!kind, state, settled
			:: full(answer[who])                  /* nobody listens any more */
			fi;
			goto served
		:: state == 0 && known == ROWS -> goto served /* out of the model's bound */
		:: state == 0 && known < ROWS -> write[w]!known, kind, who, out
		fi };
		if
		:: atomic { acked[w]?applied ->
			if
			:: applied -> apply(rows[known])
			:: !applied                           /* another row is there: read it */
			fi; applied = false; goto again }
		:: atomic { FAULT;                            /* no answer: read, and write again */
			if
			:: acked[w]?applied -> applied = false  /* it was lost on the way */
			:: write[w]?known, kind, who, out -> late!known, kind, who, out
			fi;
#ifdef TRUST_LOST_ACK
			if
			:: kind == CLAIM -> holder = who; known++
			:: else
			fi;
#endif
			goto again }
		fi;
served:		atomic { kind = 0; who = 0; out = 0; state = 0; applied = false }
	:: atomic { FAULT; known = 0; holder = NOBODY; settled = NONE;
#ifdef NO_READ_BEFORE
		do
		:: known < ROWS && rows[known].there -> known++
		:: else -> break
		od
#endif
	   }
	od
}

/* learn: this caller is told a settled outcome, which never changes. */
inline learn(o)
{
	assert(final == NONE || final == o);
	final = o; told[a] = o
}

/* A node with one attempt. It may stop at any step. */
proctype Node(byte a)
{
	byte w, asked; mtype kind = CLAIM, out = NONE, state, outcome, which;

sending:
	atomic { asked++;
		if
		:: w = 0
		:: w = 1
		fi;
		if
		:: ask[w]!kind, a, out
		:: FAULT                                      /* the writer is not reached */
		fi; w = 0 };
waiting:
	if
	:: atomic { answer[a]?which, state, outcome ->
		if
		:: which != kind -> goto waiting              /* answers an earlier ask */
		:: which == kind && state == GRANTED -> goto running
		:: which == kind && state == RUNNING -> told[a] = UNKNOWN; goto ended
		:: which == kind && state == SETTLED ->
#ifdef REACH_RETRY_ANSWERED
			assert(!(kind == CLAIM && outcome == COMPLETED));
#endif
			learn(outcome); goto ended
		:: which == kind && state == FREE -> goto ended
		fi }
	:: atomic { asked == 1; FAULT; goto sending }     /* no answer: the same attempt again */
	:: atomic { asked == 2; FAULT;                    /* given up: it will not run */
		if
		:: kind == CLAIM -> assert(!ran[a]); told[a] = NOT_RUN
		:: else
		fi; goto ended }
	fi;

running:
	atomic { state = 0; which = 0; outcome = 0; asked = 0; upstream!a };
	if
	:: atomic { replied[a]?DONE -> kind = SETTLE; out = COMPLETED }
	:: atomic { replied[a]?DECLINED -> assert(!ran[a]); told[a] = NOT_RUN; kind = RELEASE }
	:: atomic { FAULT;                                /* no answer in time */
#if defined(RELEASE_IN_DOUBT)
		kind = RELEASE
#elif defined(NOT_RUN_IN_DOUBT)
		assert(!ran[a]); told[a] = NOT_RUN; goto ended
#else
		kind = SETTLE; out = UNKNOWN
#endif
	   }
	fi;
	goto sending;

ended:	atomic { state = 0; which = 0; outcome = 0; asked = 0 };
end:	if                                                /* an answer after giving up is settled too */
	:: atomic { replied[a]?DONE -> kind = SETTLE; out = COMPLETED }; goto sending
	fi
}

/* The upstream runs what reaches it, at its own pace. */
active proctype Upstream()
{
	byte a;
end:	do
	:: atomic { upstream?a ->
		if
		:: runs++; ran[a] = true;
			assert(runs <= 1);                    /* at most one run */
			assert(told[a] != NOT_RUN);           /* "not run" is true */
#ifdef REACH_RUN_AFTER_RELEASE
			assert(!(a == 1 && rows[0].who == 0 && told[0] == NOT_RUN));
#endif
			if
			:: replied[a]!DONE
			:: FAULT                              /* the answer is lost */
			fi
		:: replied[a]!DECLINED                        /* refused before running */
		fi; a = 0 }
	od
}

init { atomic { run Writer(0); run Writer(1); run Node(0); run Node(1) } }
