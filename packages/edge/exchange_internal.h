/*
 * exchange_internal - shared by the exchange*.c files only
 */
#ifndef EDGE_EXCHANGE_INTERNAL_H
#define EDGE_EXCHANGE_INTERNAL_H

#include "core/retry.h"
#include "edge/accounts.h"
#include "edge/exchange.h"
#include "edge/hops.h"

struct exchange {
	struct conn_user user; /* first member */
	struct edge *edge;
	struct exchange_sink *sink;
	struct message *request;
	struct route_table *routes; /* keeps query's route and service alive */
	struct choose_query query;
	const char *request_id; /* from the request's headers, or "none" */
	uint64_t fingerprint; /* 0: not computed yet */
	uint64_t arrived_us;
	uint64_t due_us; /* when the caller must have its answer */
	bool is_hop; /* handed over by another node */
	const char *not_run; /* of a hop: value of HOP_NOT_RUN, or NULL */

	struct conn *conn; /* in use, or NULL */
	struct choice choice; /* the server of conn; holds a reference */
	struct hop_peer *peer; /* of conn, if it leads to a peer, or NULL */
	struct hop_query hops; /* peers tried */
	bool answered_by_peer;
	struct account_state *account; /* of query.account, or NULL */
	struct account_waiter account_waiter; /* queued while it waits */
	uint32_t account_asks; /* times it asked for tokens */
	bool has_account_token; /* has an unused one */
	bool spent_account_token; /* for its latest send */
	uint64_t connect_deadline_us; /* 0 once it is open */
	bool has_claimed; /* its next run, as a suspect's */
	bool is_suspect; /* servers may have crashed while running it */
	bool runs_as_suspect; /* its run at choice.backend is recorded */
	uint32_t token_holds; /* times it was held for a rate token */
	bool took_token; /* has an unused token of the server's rate */
	bool connect_rechecked; /* connect_deadline_us was extended once */
	uint64_t held_until_us; /* when to choose again; 0: not held */
	bool was_held;
	bool was_offered; /* counted by chooser_offered() */
	uint64_t sent_us; /* 0: not sent on conn yet */
	uint64_t ack_deadline_us; /* for the first acknowledged byte of the
				     request; 0: not checked */
	uint32_t strays; /* other requests' answers on conn */
	uint64_t grace_until_us; /* end of the wait past due_us; 0: none */

	struct retry_state retry;
	uint32_t unsettled; /* sends after which the request may have run */
	struct message *failed_answer; /* kept during a retry, or NULL */
	struct byte_account kept; /* counts failed_answer */
	uv_timer_t timer;
	bool ended;
};

static inline uint64_t exchange_now_us(const struct exchange *exchange)
{
	return edge_now_us(exchange->edge);
}

/* Time left until the caller must have its answer; 0: none. */
static inline uint64_t exchange_left_us(const struct exchange *exchange)
{
	uint64_t now_us = exchange_now_us(exchange);

	return now_us < exchange->due_us ? exchange->due_us - now_us : 0;
}

/* Requests answered on its connection before; 0 without one. */
static inline uint32_t exchange_conn_uses(const struct exchange *exchange)
{
	return exchange->conn ? exchange->conn->uses : 0;
}

/*
 * exchange_release_choice() releases the chosen server, its token and the
 * record of a suspect's run. exchange_detach_conn() does so and forgets the
 * connection without closing it; exchange_drop_conn() closes it, too.
 */
void exchange_release_choice(struct exchange *exchange);
void exchange_detach_conn(struct exchange *exchange);
void exchange_drop_conn(struct exchange *exchange);

/*
 * Each of these answers the caller and frees the exchange. exchange_deliver():
 * the answer of a backend server. exchange_finish_refused(): 503, or 502 if the
 * request may have run. exchange_finish_failed(): an error after sending.
 * exchange_finish_denied(): a final error, not to be retried.
 */
void exchange_deliver(struct exchange *exchange, const struct message *answer);
void exchange_finish_refused(struct exchange *exchange, uint64_t retry_after_us,
			     const char *cause);
void exchange_finish_failed(struct exchange *exchange, uint16_t status,
			    const char *cause);
void exchange_finish_denied(struct exchange *exchange, uint16_t status,
			    const char *cause);

/* Refuses a request beyond its account's quota with 429, like the above. */
void exchange_finish_over_quota(struct exchange *exchange,
				uint64_t retry_after_us);

/*
 * Chooses a server, or a peer, and sends the request, waits for either, or
 * answers the caller.
 */
void exchange_dispatch(struct exchange *exchange);

/* Closes a connection on which nothing was sent, and dispatches again. */
void exchange_dispatch_unsent(struct exchange *exchange);

/*
 * Whether this node's stop may end before the request does, so that the request
 * may not be sent any more.
 */
bool exchange_outlasts_stop(const struct exchange *exchange);

/* Starts the timer for whatever is due next. */
void exchange_arm_timer(struct exchange *exchange);

/* Waits until then at most before it is dispatched again. */
void exchange_hold_for(struct exchange *exchange, uint64_t hold_us);

/* Answers with an earlier failed answer, or refuses the request. */
void exchange_finish_unserved(struct exchange *exchange,
			      uint64_t retry_after_us, const char *cause);

/* Refuses a request that this node may not send any more, as it stops. */
void exchange_finish_stopping(struct exchange *exchange);

/* Appends headers and body as they go to a server or a peer. */
void exchange_format(const struct exchange *exchange,
		     const char *const *replaced, const char *more,
		     GString *text);

/* Retry-After of requests that may find another way soon. */
#define EXCHANGE_RETRY_AFTER_US (500 * US_PER_MS)

/* Retry-After of requests that the next version of the routes may let run. */
#define EXCHANGE_UNUSABLE_RETRY_US (5 * US_PER_S)

/* Retry-After of a stopping node: any other may take the request at once. */
#define EXCHANGE_STOP_RETRY_AFTER_US (10 * US_PER_MS)

/* Connect timeout to a region. */
uint64_t exchange_connect_timeout_us(const struct exchange *exchange,
				     const char *region);

/* Maximum idle time of a kept connection that the request may use. */
uint64_t exchange_max_idle_us(const struct exchange *exchange);

/*
 * exchange_hop.c: requests that are handed to a peer while this node can't
 * reach servers. exchange_must_hop() is false for requests handed over by a
 * peer. exchange_hop() sends or refuses the request. The others handle
 * timeouts of the connection to the peer and of its answer.
 */
bool exchange_must_hop(const struct exchange *exchange);
void exchange_hop(struct exchange *exchange);
void exchange_hop_unreachable(struct exchange *exchange, const char *cause);
void exchange_hop_timed_out(struct exchange *exchange);

/* Whether the request may be sent now. */
enum exchange_admission {
	EXCHANGE_RUN,
	EXCHANGE_WAIT, /* for choice.hold_us */
	EXCHANGE_REFUSE, /* with choice.retry_after_us and a cause */
};

/*
 * exchange_account.c: the caller's account. exchange_identify() finds it;
 * exchange_admit_account() checks that the request is within its quota. Where
 * they return false, the caller was answered, or the request waits, until
 * exchange_stop_waiting(). A token is taken for a server that was chosen, spent
 * by sending, and returned if the request wasn't sent or didn't run.
 * exchange_release_account() ends the use of the account.
 */
bool exchange_identify(struct exchange *exchange);
bool exchange_admit_account(struct exchange *exchange);
void exchange_stop_waiting(struct exchange *exchange);
void exchange_take_account_token(struct exchange *exchange);
void exchange_spend_account_token(struct exchange *exchange);
void exchange_return_account_token(struct exchange *exchange);
void exchange_release_account(struct exchange *exchange);

/*
 * exchange_suspect.c: requests suspected of crashing backend servers.
 * exchange_may_run() decides whether this one may be sent. The others record
 * that its run at the chosen server starts, ends, got an answer, or broke off
 * with its connection.
 */
enum exchange_admission exchange_may_run(struct exchange *exchange,
					 const char **cause);
void exchange_record_run_start(struct exchange *exchange);
void exchange_record_run_end(struct exchange *exchange);
void exchange_record_answered(struct exchange *exchange);
void exchange_record_broken_run(struct exchange *exchange, const char *cause);

#endif
