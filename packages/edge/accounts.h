/*
 * accounts - what this node keeps of client accounts: quotas and counts
 *
 * An account's rate holds over all nodes (core/account_quota). A request takes
 * one token before it is sent to a backend server. Without one here, the node
 * asks the nodes that hold parts of the rate, first in its region, then in
 * others, while the request waits. Accounts are those of the routes in force.
 * Not thread-safe.
 */
#ifndef EDGE_ACCOUNTS_H
#define EDGE_ACCOUNTS_H

#include "core/account_quota.h"
#include "core/admission.h"
#include "edge/edge.h"
#include "edge/heartbeat.h"

#ifdef __cplusplus
extern "C" {
#endif

struct accounts;
struct account_waiter;

/* Woken when the account has tokens again, or will have none for a while. */
struct account_waiter_vtable {
	void (*wake)(struct account_waiter *waiter);
};

/* A request that waits for a token. */
struct account_waiter {
	const struct account_waiter_vtable *vtable;
	GList link; /* in account_state.waiting */
	bool is_waiting;
};

/* How a request of an account ended. */
enum account_outcome {
	ACCOUNT_SERVED, /* a server's success was delivered */
	ACCOUNT_REFUSED_QUOTA, /* for the account's rate */
	ACCOUNT_REFUSED, /* for another reason, not run */
	ACCOUNT_OUTCOMES,
};

/* One account at this node, for as long as the process runs. */
struct account_state {
	char *name;
	struct account_quota quota;
	uint32_t users; /* requests that refer to it */
	GQueue waiting; /* of struct account_waiter */
	struct admission_retry_schedule returns;
	uint64_t refused_us; /* when a holder last answered without tokens */
	uint64_t requests; /* of callers */
	uint64_t ended[ACCOUNT_OUTCOMES];
	struct metric *metrics[ACCOUNT_OUTCOMES];
};

enum account_verdict {
	ACCOUNT_RUN, /* it has a token, or needs none */
	ACCOUNT_WAIT, /* for wait_us at most, or until it is woken */
	ACCOUNT_OVER_QUOTA,
	ACCOUNT_CUT_OFF, /* no node that holds a part answers */
};

struct accounts *accounts_new(struct edge *edge);
void accounts_free(struct accounts *accounts);

/* The state of an account of the routes in force. */
struct account_state *accounts_state(struct accounts *accounts,
				     const struct account *account);

/*
 * Whether a request of the account may run now. asks: how often this request
 * has asked for tokens, counted here. While it waits, the waiter is queued.
 */
enum account_verdict accounts_admit(struct accounts *accounts,
				    struct account_state *state,
				    struct account_waiter *waiter,
				    uint32_t *asks, uint64_t *wait_us);

/* Stop waiting; does nothing if the waiter isn't queued. */
void accounts_leave(struct account_state *state, struct account_waiter *waiter);

/* Counts how a request ended. */
void accounts_count(struct account_state *state, enum account_outcome outcome);

/* When a caller that was refused for the rate should come back. */
uint64_t accounts_retry_after_us(struct accounts *accounts,
				 struct account_state *state,
				 uint64_t patience_us);

/*
 * Handle a peer's request for tokens, or its answer to one. Returns whether
 * answer was filled in, to be sent back.
 */
bool accounts_handle_token(struct accounts *accounts, const struct member *from,
			   const struct heartbeat_token *token,
			   struct heartbeat_token *answer);

/*
 * Recompute this node's parts; cheap if nothing changed. The other function
 * makes the next call recompute them, after a change of settings.
 */
void accounts_update_quotas(struct accounts *accounts);
void accounts_settings_changed(struct accounts *accounts);

/* States by name, for operators; do not change. */
GHashTable *accounts_by_name(const struct accounts *accounts);

#ifdef __cplusplus
}
#endif

#endif
