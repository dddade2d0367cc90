/*
 * exchange_internal - what the files of exchange share; not for other modules
 */
#ifndef EDGE_EXCHANGE_INTERNAL_H
#define EDGE_EXCHANGE_INTERNAL_H

#include "core/retry.h"
#include "edge/exchange.h"

struct exchange {
	struct conn_user user; /* first member */
	struct edge *edge;
	struct exchange_sink *sink;
	struct message *request;
	struct route_table *routes; /* holds route and service */
	struct choose_query query;
	const char *id;
	uint64_t fingerprint; /* 0: not taken yet */
	uint64_t arrived_us;
	uint64_t due_us; /* the caller must have its answer */

	struct conn *conn; /* in use, or NULL */
	struct choice choice; /* behind conn; holds a reference */
	uint64_t connect_deadline_us; /* 0 once open */
	bool has_claimed; /* the next run, as that of a suspect */
	bool is_suspect; /* servers may have ended under it */
	bool runs_as_suspect; /* a run of it is noted at choice.backend */
	uint32_t token_holds; /* times it was held for a token */
	bool took_token; /* of the server's rate, for a request not sent yet */
	bool connect_rechecked; /* connect_deadline_us was put off for a last
				   look */
	uint64_t held_until_us; /* 0, or when to choose again */
	bool was_held;
	uint64_t sent_us; /* 0: not sent on conn yet */
	uint32_t strays;
	uint64_t grace_until_us; /* 0, or a sent request's end past due_us */

	struct retry_state retry;
	uint32_t unsettled; /* sends that may have run */
	struct message *failed_answer; /* a failed answer, kept beside a retry
					*/
	uv_timer_t timer;
	bool ended;
};

static inline uint64_t exchange_now_us(const struct exchange *exchange)
{
	return edge_now_us(exchange->edge);
}

/* Time until the caller must have its answer. */
static inline uint64_t exchange_left_us(const struct exchange *exchange)
{
	uint64_t now_us = exchange_now_us(exchange);

	return now_us < exchange->due_us ? exchange->due_us - now_us : 0;
}

/* Let go of the chosen server, and of the connection to it. */
void exchange_release_choice(struct exchange *exchange);
void exchange_detach_conn(struct exchange *exchange);
void exchange_drop_conn(struct exchange *exchange);

/*
 * The ways an exchange ends; each frees it. A refusal becomes 502 where a send
 * may have run.
 */
void exchange_deliver(struct exchange *exchange, const struct message *answer);
void exchange_finish_refused(struct exchange *exchange, uint64_t retry_after_us,
			     const char *cause);
void exchange_finish_failed(struct exchange *exchange, uint16_t status,
			    const char *cause);
void exchange_finish_denied(struct exchange *exchange, uint16_t status,
			    const char *cause);

/* Whether a request may be sent now. */
enum exchange_admission {
	EXCHANGE_RUN,
	EXCHANGE_WAIT, /* choice.hold_us is set */
	EXCHANGE_REFUSE, /* choice.retry_after_us and the cause are set */
};

/*
 * exchange_suspect.c: what is known against the request. A run of a suspect
 * begins at the chosen server, ends, was answered, or broke off with its
 * connection.
 */
enum exchange_admission exchange_may_run(struct exchange *exchange,
					 const char **cause);
void exchange_record_run_start(struct exchange *exchange);
void exchange_record_run_end(struct exchange *exchange);
void exchange_record_answered(struct exchange *exchange);
void exchange_record_broken_run(struct exchange *exchange, const char *cause);

#endif
