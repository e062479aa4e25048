/* Model of orders with fencing numbers (section 8). Two owners of the same engine send orders concurrently,
 * with increasing configuration versions. Orders can arrive after their owner has given them up. Loading a
 * model drops the adapters, and an engine doesn't report its adapters. An owner therefore relies on the
 * results of its own orders as long as the engine reports the fencing number of the owner.
 *
 * Mutants: NO_FENCE (the engine doesn't compare fencing numbers), NO_TERM (owners don't increase the term),
 * SHARED_TERM (two owners may use the same term), KEPT_TERM (an owner keeps its term after an order
 * without a result).
 */
#define OWNERS 2
#define ROUNDS 3

#define ORDERS 6 /* OWNERS * ROUNDS */

byte fence_config, fence_term;   /* of the engine */
byte loaded;                     /* configuration version of the loaded model */
bool adapter;
bool believes[OWNERS];           /* the owner assumes that the adapter is loaded, */
byte believes_config[OWNERS], believes_term[OWNERS]; /* from the result of an order with this fencing number */
byte result[OWNERS];             /* of the order that the owner waits for: 0 none, 1 done, 2 refused */
byte waits[OWNERS];              /* number of that order */

/* Orders in transit, which arrive in any sequence. Order n of an owner has index owner * ROUNDS + n - 1. */
bool flying[ORDERS], is_adapter[ORDERS];
byte config_of[ORDERS], term_of[ORDERS];

inline check() {
	for (k : 0 .. OWNERS - 1) {
		assert(!(believes[k] && believes_config[k] == fence_config && believes_term[k] == fence_term)
			|| (adapter && loaded == fence_config))
	}
}

proctype Engine() {
	byte i, k, before;
end:
	do
	:: atomic {
		if
		:: flying[0] -> i = 0
		:: flying[1] -> i = 1
		:: flying[2] -> i = 2
		:: flying[3] -> i = 3
		:: flying[4] -> i = 4
		:: flying[5] -> i = 5
		fi;
		flying[i] = false;
		before = loaded;
		if
#ifndef NO_FENCE
		:: config_of[i] < fence_config || (config_of[i] == fence_config && term_of[i] < fence_term) ->
			if
			:: waits[i / ROUNDS] == i % ROUNDS + 1 -> result[i / ROUNDS] = 2
			:: else
			fi
#endif
		:: else ->
			fence_config = config_of[i];
			fence_term = term_of[i];
			if
			:: is_adapter[i] -> adapter = (loaded == config_of[i])
			:: else -> loaded = config_of[i]; adapter = false
			fi;
			if
			:: waits[i / ROUNDS] == i % ROUNDS + 1 -> result[i / ROUNDS] = 1
			:: else
			fi
		fi;
		assert(loaded >= before);
		check();
		config_of[i] = 0; term_of[i] = 0; is_adapter[i] = false;
		i = 0; k = 0; before = 0
	}
	od
}

proctype Owner(byte me) {
	byte config = 1, term, round, k, last, i;
	bool has_model;
	do
	:: round < ROUNDS ->
		round++;
		atomic {
			if
			:: config = 2; has_model = false; believes[me] = false /* a newer configuration version arrived */
			:: true
			fi;
			/* a report arrives: the owner increases its term above the engine's unless its own is the highest */
			if
			:: config < fence_config -> goto out /* an owner with a newer version sent an order: send none */
			:: else
			fi;
#ifdef NO_TERM
			term = 1;
#else
			if
			:: term == 0 || fence_term > term ->
				if
				:: fence_term > last -> last = fence_term
				:: else
				fi;
#ifdef SHARED_TERM
				term = last + 1;
#else
				term = (last / OWNERS + 1) * OWNERS + me;
#endif
				has_model = false;
				believes[me] = false
			:: else
			fi;
#endif
			last = term;
			waits[me] = round;
			result[me] = 0;
			if
			:: !has_model -> believes[me] = false
			:: else
			fi;
			i = me * ROUNDS + round - 1;
			flying[i] = true; config_of[i] = config; term_of[i] = term; is_adapter[i] = has_model;
			i = 0
		};
		if
		:: atomic { result[me] == 1 ->
			if
			:: has_model ->
				believes[me] = true;
				believes_config[me] = config;
				believes_term[me] = term;
				check();
				k = 0
			:: else -> has_model = true
			fi }
		:: atomic { result[me] == 2 -> term = 0; has_model = false; believes[me] = false }
		:: atomic { true -> /* no result in time; the order may still arrive */
			waits[me] = 0;
			has_model = false;
			believes[me] = false;
#ifndef KEPT_TERM
			term = 0
#endif
			}
		fi
	:: else -> break
	od;
out:
	skip
}

init {
	byte i;
	atomic {
		run Engine();
		for (i : 0 .. OWNERS - 1) { run Owner(i) }
	}
}
