/* Model of how processes apply the configuration log (section 9). Operators publish entries with any
 * base. Processes read a prefix of the log from a lagging replica, or copy the state of a peer. Responses
 * can be delayed, and a process may restart while a response is in transit. The content of a version is
 * the set of accepted entries.
 *
 * Mutants: NO_FLOOR (the older state of a peer replaces a newer one), NO_BASE (the base isn't compared),
 * NO_CURSOR (a response that starts after a gap is applied).
 */
#define PROCESSES 2
#define ENTRIES 4
#define READS 3
#define ACCEPTED 1
#define REJECTED 2

byte base[ENTRIES + 1];  /* entries are numbered from 1 */
byte head;
byte version[PROCESSES], cursor[PROCESSES], content[PROCESSES];
byte version_of[PROCESSES]; /* highest version since the last start */
byte holder[ENTRIES + 1];   /* content of each version at the first process that applied it */
byte verdict[ENTRIES + 1];  /* result at the first process that applied the entry */

inline took(p) {
	assert(version[p] >= version_of[p]);
	version_of[p] = version[p];
	if
	:: version[p] == 0
	:: version[p] > 0 && holder[version[p]] == 0 -> holder[version[p]] = content[p]
	:: version[p] > 0 && holder[version[p]] != 0 -> assert(holder[version[p]] == content[p])
	fi
}

inline apply(p, after, upto) {
	i = after + 1;
	do
	:: i > upto -> break
	:: i <= upto && i <= cursor[p] -> i++
	:: i <= upto && i > cursor[p] ->
#ifdef NO_BASE
		if
		:: true ->
#else
		if
		:: base[i] == version[p] ->
#endif
			assert(base[i] == version[p]);
			version[p] = i;
			content[p] = content[p] | (1 << (i - 1));
			assert(verdict[i] != REJECTED);
			verdict[i] = ACCEPTED;
			took(p)
#ifndef NO_BASE
		:: else ->
			assert(verdict[i] != ACCEPTED);
			verdict[i] = REJECTED
#endif
		fi;
		cursor[p] = i;
		i++
	od
}

active proctype Operators() {
	byte b;
	do
	:: head < ENTRIES ->
		atomic {
			select(b : 0 .. head);
			base[head + 1] = b;
			head++;
			b = 0
		}
	:: break
	od
}

proctype Process(byte p) {
	byte reads, after, upto, q, i, v, c, k;
	do
	:: reads < READS ->
		reads++;
		if
		:: atomic { /* reads entries after the cursor from the platform: the replica may lag, the response is delayed */
			after = cursor[p];
			select(upto : 0 .. head) };
			if
			:: atomic { true -> version[p] = 0; cursor[p] = 0; content[p] = 0; version_of[p] = 0 } /* restart */
			:: true
			fi;
			atomic {
#ifndef NO_CURSOR
				if
				:: after <= cursor[p] -> apply(p, after, upto)
				:: else
				fi;
#else
				if
				:: after <= cursor[p] -> apply(p, after, upto)
				:: else -> cursor[p] = after; apply(p, after, upto)
				fi;
#endif
				after = 0; upto = 0; i = 0
			}
		:: atomic { /* copies the state of a peer, which may be out of date on arrival */
			q = 1 - p; v = version[q]; c = content[q]; k = cursor[q] };
			atomic {
				if
#ifdef NO_FLOOR
				:: true ->
#else
				:: v > version[p] && v > cursor[p] ->
#endif
					version[p] = v; content[p] = c; cursor[p] = v; took(p)
#ifndef NO_FLOOR
				:: else
#endif
				fi;
				q = 0; v = 0; c = 0; k = 0
			}
		fi
	:: else -> break
	od
}

init {
	atomic {
		run Process(0);
		run Process(1)
	}
}
