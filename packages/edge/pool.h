/*
 * pool - connections to backend servers, kept between requests
 *
 * A connection serves one user at a time and is kept only after an answer in
 * good order. Not thread-safe.
 */
#ifndef EDGE_POOL_H
#define EDGE_POOL_H

#include <stdbool.h>
#include <uv.h>

#include "core/backend_table.h"
#include "edge/link.h"
#include "ports/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct conn;
struct conn_user;

/* How a connection's user hears of it. */
struct conn_user_vtable {
	void (*opened)(struct conn_user *user, struct conn *conn);
	void (*answered)(struct conn_user *user, struct conn *conn,
			 struct message *answer);
	void (*ended)(struct conn_user *user, struct conn *conn,
		      const char *cause);
};

struct conn_user {
	const struct conn_user_vtable *vtable;
};

struct conn {
	struct link link; /* first member */
	struct pool *pool;
	struct backend *backend;
	struct conn_user *user; /* NULL while idle */
	uint64_t opening_us; /* when it began to connect */
	uint64_t idle_since_us;
	uint64_t idle_timeout_us; /* how long the server keeps it when idle */
	uint32_t uses; /* requests that were answered on it */
	bool counted; /* among the server's open ones */
};

struct pool {
	uv_loop_t *loop;
	const struct clock *clock;
	struct message_limits limits;
	uint32_t open_count;
	uint64_t opened_total;
	uint32_t max_idle; /* kept for each backend server */
	GPtrArray *idle; /* of struct conn, freshest last */
};

void pool_init(struct pool *pool, uv_loop_t *loop, const struct clock *clock,
	       const struct message_limits *limits, uint32_t max_idle);
void pool_release(struct pool *pool);

/*
 * A kept connection that was idle for no longer than max_idle_us, or NULL; the
 * freshest first.
 */
struct conn *pool_take(struct pool *pool, struct backend *backend,
		       uint64_t max_idle_us, struct conn_user *user);

/* Open a new one; NULL with the cause logged where that fails at once. */
struct conn *pool_open(struct pool *pool, struct backend *backend,
		       struct conn_user *user);

/* Its answer came in good order; keep it where it can serve again. */
void pool_give_back(struct conn *conn, const struct message *answer);

/* Nothing more on it; the server sees it closed. */
void pool_drop(struct conn *conn);

/* Close what was idle for too long, and all of servers that are closed. */
void pool_sweep(struct pool *pool, const struct backend_table *backends);

/*
 * Close what is idle of one server: a kept connection to it fell silent, and
 * what lost track of that one, a link or a middlebox, has lost the others too.
 * Without this each of them costs a caller its whole time.
 */
void pool_drop_idle_of(struct pool *pool, const struct backend *backend);

/* Close all that is idle: they can't be trusted after a suspension. */
void pool_drop_idle(struct pool *pool);

#ifdef __cplusplus
}
#endif

#endif
