/* Model of at-most-once tickets (section 4 of the design). There is one ticket and one executor host that
 * may restart once. Callers present the ticket to the executor, or to another gateway with any view of the
 * membership. Messages may be delayed or lost. core/ticket/spec_test.go replays the output lines that start
 * with "step" against the code.
 *
 * Mutants: NO_BURN (a failed dial or expiry returns "not run" without burning the ticket),
 * NO_INCARNATION (a restarted executor accepts the ticket as its own), LATE_SENDING (the state changes
 * after the send), GONE_NOT_RUN (a gateway returns "not run" when the executor is gone).
 */
#define CALLERS 3

mtype = { ISSUED, SENDING, DONE, UNKNOWN, BURNED }

mtype state[2];      /* of the ticket in incarnation 0, and of the one with the same sequence number in incarnation 1 */
byte incarnation;    /* current incarnation of the executor host */
bool expired;
byte ran, flying;    /* number of calls that reached the service, and that are in transit to it */
bool denied;         /* a caller got "not run" */

inline check() {
	assert(ran + flying <= 1);
	assert(!denied || ran + flying == 0)
}

inline not_run() { denied = true; check() }

proctype Caller(byte id) {
	byte e;
	bool told;
	/* at another gateway, the call is refused, lost in transit or forwarded */
	if
	:: true /* the caller called the executor directly, or the message arrived */
	:: true ->
#ifdef GONE_NOT_RUN
		not_run();
#endif
		goto end
	fi;
	d_step {
		e = incarnation;
#ifndef NO_INCARNATION
		if
		:: e != 0 -> printf("step begin %d may-have-run\n", id); told = true
		:: else
		fi
#endif
	};
	if
	:: told -> goto end
	:: else
	fi;
again:
	atomic {
		e = incarnation;
#ifndef NO_INCARNATION
		if
		:: e != 0 -> goto end /* the executor restarted while the caller waited */
		:: else
		fi;
#endif
		if
		:: state[e] == ISSUED && expired ->
#ifndef NO_BURN
			state[e] = BURNED;
#endif
			not_run();
			printf("step begin %d not-run\n", id);
			goto end
		:: state[e] == ISSUED && !expired ->
#ifndef LATE_SENDING
			state[e] = SENDING;
#endif
			printf("step begin %d run\n", id)
		:: state[e] == SENDING ->
			printf("step begin %d wait\n", id);
			goto wait
		:: state[e] == DONE ->
			printf("step begin %d recorded\n", id);
			goto end
		:: state[e] == UNKNOWN ->
			printf("step begin %d may-have-run\n", id);
			goto end
		:: state[e] == BURNED ->
			not_run();
			printf("step begin %d not-run\n", id);
			goto end
		fi
	};
	if
	:: atomic { incarnation == e -> /* the dial failed, or the deadline passed before the first byte */
#ifndef NO_BURN
		state[e] = BURNED;
#else
		state[e] = ISSUED;
#endif
		not_run();
		printf("step burn %d not-run\n", id) };
		goto end
	:: atomic { incarnation == e ->
		flying++;
		check();
		printf("step first %d\n", id) }
	:: incarnation != e -> goto end
	fi;
	/* the call arrives at the service, even if the executor restarts, or is lost */
	if
	:: atomic { flying--; ran++; check() }
	:: flying--
	fi;
	atomic {
		if
		:: incarnation == e && ran > 0 -> state[e] = DONE; printf("step finish %d\n", id)
		:: incarnation == e -> state[e] = UNKNOWN; printf("step fail %d\n", id)
		:: else
		fi
	};
	goto end;
wait:
	if
	:: state[e] != SENDING || incarnation != e -> goto again
	:: true -> goto end /* the deadline of the caller passed: "may have run" */
	fi;
end:
	skip
}

proctype Faults() {
	if
	:: d_step { expired = true; printf("step expire\n") }
	:: true
	fi;
	if
	:: d_step { incarnation = 1; printf("step restart\n") }
	:: true
	fi
}

init {
	byte i;
	atomic {
		state[0] = ISSUED;
		state[1] = ISSUED;
		for (i : 0 .. CALLERS - 1) { run Caller(i) };
		run Faults()
	}
}
