/*
 * pool - connections to backend servers, kept between requests
 *
 * A connection has one user at a time and is kept only after a complete, valid
 * answer. Not thread-safe.
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

/* Events of a connection, for its user; answered() passes ownership. */
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
	uint64_t opening_us; /* when the connect was started */
	uint64_t idle_since_us;
	uint64_t idle_timeout_us; /* closed after this idle time */
	uint32_t uses; /* requests answered on it */
	bool counted; /* in backend->connections */
};

struct pool {
	uv_loop_t *loop;
	const struct clock *clock;
	struct message_limits limits;
	struct byte_budget *budget; /* of answers; NULL: not counted */
	uint32_t open_count;
	uint64_t opened_total;
	uint32_t max_idle; /* per backend server */
	GPtrArray *idle; /* of struct conn, most recently used last */
};

void pool_init(struct pool *pool, uv_loop_t *loop, const struct clock *clock,
	       const struct message_limits *limits, uint32_t max_idle,
	       struct byte_budget *budget);
void pool_release(struct pool *pool);

/*
 * Takes the backend server's most recently used idle connection. Returns NULL
 * if there is none or it was idle for longer than max_idle_us.
 */
struct conn *pool_take(struct pool *pool, struct backend *backend,
		       uint64_t max_idle_us, struct conn_user *user);

/* Starts to connect. Logs the cause and returns NULL if that fails at once. */
struct conn *pool_connect(struct pool *pool, struct backend *backend,
			  struct conn_user *user);

/* Returns a connection after its answer; it is closed if not reusable. */
void pool_give_back(struct conn *conn, const struct message *answer);

/* Closes a connection, idle or in use; its user gets no event. */
void pool_drop(struct conn *conn);

/* Closes connections idle for too long, or to servers that are closed. */
void pool_sweep(struct pool *pool, const struct backend_table *backends);

/*
 * Closes a server's idle connections, after one of its reused connections got
 * no answer: a link or middlebox that lost the state of one has lost the others
 * too. Otherwise each of them would cost a caller its whole timeout.
 */
void pool_drop_idle_of(struct pool *pool, const struct backend *backend);

/* Closes all idle connections; they may be broken after a suspension. */
void pool_drop_idle(struct pool *pool);

#ifdef __cplusplus
}
#endif

#endif
