/*
 * answers - a caller gets the answer to its own request
 *
 * What is modelled. REQUESTS requests of callers go through one node to one
 * server, over CONNECTIONS kept connections. A connection carries requests and
 * answers in order, each at any later moment; the server answers whenever it
 * likes. The node may give a request up at any moment while its answer is
 * outstanding, and tries it again on another connection. A connection may go
 * silent for good.
 *
 * Property. An answer that is handed to a caller belongs to its request, and
 * each request ends once (deliver).
 *
 * Stands for. packages/node and packages/adapters: the HTTP clients for hops and
 * backend servers. The same holds for each of the two ways.
 *
 * Faults, each removing one guard:
 *   REUSE_OUTSTANDING  a connection whose answer is outstanding is used again
 *   NO_CLOSED_CHECK    an answer that comes after the request was given up is
 *                      handed on as the second attempt's
 */
#define REQUESTS 3
#define CONNECTIONS 2
#define ATTEMPTS 2
#define SENDS (REQUESTS * ATTEMPTS)
#define NOBODY 255

chan to_server[CONNECTIONS] = [SENDS] of { byte };
chan to_node[CONNECTIONS] = [SENDS] of { byte };

byte user[CONNECTIONS] = NOBODY; /* request that waits on it */
bool open[CONNECTIONS] = true;
bool silent[CONNECTIONS];
byte attempts[REQUESTS];
bool has_ended[REQUESTS];

#define IS_FREE(c) (open[c] && user[c] == NOBODY)

inline deliver(r, answer)
{
	assert(answer == r);
	assert(!has_ended[r]);
	has_ended[r] = true
}

inline give_up(c)
{
	user[c] = NOBODY;
#ifndef REUSE_OUTSTANDING
	open[c] = false
#endif
}

/* A new connection in the place of one that was closed. */
inline reopen(c)
{
	open[c] = true;
	silent[c] = false;
#ifndef NO_CLOSED_CHECK
	do
	:: to_server[c]?_
	:: to_node[c]?_
	:: empty(to_server[c]) && empty(to_node[c]) -> break
	od
#endif
}

proctype request(byte r)
{
	byte answer;
	byte c;

end:	do
	:: atomic { attempts[r] < ATTEMPTS && (IS_FREE(0) || IS_FREE(1)) ->
		if
		:: IS_FREE(0) -> c = 0
		:: IS_FREE(1) -> c = 1
		fi;
		attempts[r]++;
		user[c] = r;
		to_server[c]!r };
		if
		:: atomic { to_node[c]?answer ->
			user[c] = NOBODY;
			deliver(r, answer);
			break }
		:: atomic { true -> give_up(c) }
		fi
	:: attempts[r] == ATTEMPTS -> break /* ends as "outcome unknown" */
	od
}

proctype connection(byte c)
{
	byte r;

end:	do
	:: atomic { !silent[c] && nempty(to_server[c]) && nfull(to_node[c]) ->
		to_server[c]?r;
		to_node[c]!r;
		r = 0 }
	:: atomic { !silent[c] -> silent[c] = true }
	:: atomic { !open[c] -> reopen(c) }
	od
}

init {
	atomic {
		run request(0);
		run request(1);
		run request(2);
		run connection(0);
		run connection(1)
	}
}
