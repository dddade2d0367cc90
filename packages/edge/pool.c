#include "edge/pool.h"

#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"

/* If the server names no timeout; shorter than the usual ones of servers. */
#define DEFAULT_IDLE_TIMEOUT_US (4 * US_PER_S)

/* An idle connection is closed this long before the server closes it. */
#define IDLE_TIMEOUT_MARGIN_US (1 * US_PER_S)

static void set_counted(struct conn *conn, bool open)
{
	if (conn->counted == open)
		return;
	conn->counted = open;
	if (open)
		conn->backend->connections++;
	else
		conn->backend->connections--;
}

static void on_opened(struct link *link)
{
	struct conn *conn = (struct conn *)link;

	set_counted(conn, true);
	if (conn->user)
		conn->user->vtable->opened(conn->user, conn);
	else
		pool_drop(conn);
}

static void on_answered(struct link *link, struct message *answer)
{
	struct conn *conn = (struct conn *)link;

	if (conn->user) {
		conn->user->vtable->answered(conn->user, conn, answer);
		return;
	}
	message_free(answer);
	pool_drop(conn);
}

static void on_ended(struct link *link, const char *cause)
{
	struct conn *conn = (struct conn *)link;

	if (conn->counted && !link->dropped)
		backend_closed_connection(conn->backend,
					  clock_now_us(conn->pool->clock));
	set_counted(conn, false);
	if (conn->user)
		conn->user->vtable->ended(conn->user, conn, cause);
	else
		pool_drop(conn);
}

static void on_released(struct link *link)
{
	struct conn *conn = (struct conn *)link;

	conn->pool->open_count--;
	backend_unref(conn->backend);
	g_free(conn);
}

static const struct link_vtable link_events = {
	.opened = on_opened,
	.answered = on_answered,
	.ended = on_ended,
	.released = on_released,
};

void pool_init(struct pool *pool, uv_loop_t *loop, const struct clock *clock,
	       const struct message_limits *limits, uint32_t max_idle,
	       struct byte_budget *budget)
{
	memset(pool, 0, sizeof(*pool));
	pool->loop = loop;
	pool->clock = clock;
	pool->limits = *limits;
	pool->max_idle = max_idle;
	pool->budget = budget;
	pool->idle = g_ptr_array_new();
}

void pool_release(struct pool *pool)
{
	pool_drop_idle(pool);
	g_ptr_array_unref(pool->idle);
}

static uint64_t idle_us(const struct conn *conn, uint64_t now_us)
{
	return now_us - conn->idle_since_us;
}

static bool is_fresh(const struct conn *conn, uint64_t max_idle_us,
		     uint64_t now_us)
{
	uint64_t idle = idle_us(conn, now_us);

	return idle <= max_idle_us && idle < conn->idle_timeout_us;
}

static struct conn *find_idle(const struct pool *pool,
			      const struct backend *backend,
			      uint64_t max_idle_us)
{
	uint64_t now_us = clock_now_us(pool->clock);
	guint i;

	for (i = pool->idle->len; i > 0; i--) {
		struct conn *conn = pool->idle->pdata[i - 1];

		if (conn->backend == backend)
			return is_fresh(conn, max_idle_us, now_us) ? conn :
								     NULL;
	}
	return NULL;
}

/* backend->kept is used in choosing a server. */
static void add_idle(struct pool *pool, struct conn *conn)
{
	g_ptr_array_add(pool->idle, conn);
	conn->backend->idle_connections++;
}

static void remove_idle(struct pool *pool, struct conn *conn)
{
	if (g_ptr_array_remove(pool->idle, conn))
		conn->backend->idle_connections--;
}

struct conn *pool_take(struct pool *pool, struct backend *backend,
		       uint64_t max_idle_us, struct conn_user *user)
{
	struct conn *conn = find_idle(pool, backend, max_idle_us);

	if (!conn)
		return NULL;
	remove_idle(pool, conn);
	conn->user = user;
	return conn;
}

struct conn *pool_connect(struct pool *pool, struct backend *backend,
			  struct conn_user *user)
{
	struct conn *conn = g_new0(struct conn, 1);
	int status;

	conn->pool = pool;
	conn->backend = backend_ref(backend);
	conn->user = user;
	conn->opening_us = clock_now_us(pool->clock);
	conn->idle_timeout_us = DEFAULT_IDLE_TIMEOUT_US;
	conn->link.budget = pool->budget;
	pool->open_count++;
	pool->opened_total++;
	status = link_open(&conn->link, &link_events, pool->loop,
			   &backend->address, &pool->limits);
	if (!status)
		return conn;
	log_event(LOG_WARNING, "backend-connect", "backend=%s result=%s",
		  backend->id, uv_err_name(status));
	conn->user = NULL;
	link_close(&conn->link);
	return NULL;
}

/*
 * Idle timeout from "timeout=N" (seconds) of a Keep-Alive header, less the
 * margin; 0 if the connection can't be kept.
 */
static uint64_t parse_idle_timeout(const struct message *answer)
{
	const char *value = message_header(answer, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	uint64_t seconds;

	if (!timeout)
		return DEFAULT_IDLE_TIMEOUT_US;
	seconds = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10);
	if (seconds * US_PER_S <= IDLE_TIMEOUT_MARGIN_US)
		return 0;
	return seconds * US_PER_S - IDLE_TIMEOUT_MARGIN_US;
}

void pool_give_back(struct conn *conn, const struct message *answer)
{
	struct pool *pool = conn->pool;

	conn->user = NULL;
	conn->uses++;
	conn->idle_timeout_us = parse_idle_timeout(answer);
	conn->idle_since_us = clock_now_us(pool->clock);
	if (!answer->keep_alive || conn->link.extra_bytes ||
	    conn->link.writing || !conn->link.open || !conn->idle_timeout_us ||
	    backend_is_leaving(conn->backend) ||
	    conn->backend->idle_connections >= pool->max_idle)
		pool_drop(conn);
	else
		add_idle(pool, conn);
}

void pool_drop(struct conn *conn)
{
	set_counted(conn, false);
	if (!conn->user)
		remove_idle(conn->pool, conn);
	conn->user = NULL;
	link_close(&conn->link);
}

void pool_sweep(struct pool *pool, const struct backend_table *backends)
{
	uint64_t now_us = clock_now_us(pool->clock);
	guint i;

	for (i = pool->idle->len; i > 0; i--) {
		struct conn *conn = pool->idle->pdata[i - 1];

		if (backend_is_closed(backends, conn->backend) ||
		    idle_us(conn, now_us) >= conn->idle_timeout_us)
			pool_drop(conn);
	}
}

void pool_drop_idle_of(struct pool *pool, const struct backend *backend)
{
	guint i;

	for (i = pool->idle->len; i > 0; i--) {
		struct conn *conn = pool->idle->pdata[i - 1];

		if (conn->backend == backend)
			pool_drop(conn);
	}
}

void pool_drop_idle(struct pool *pool)
{
	while (pool->idle->len)
		pool_drop(pool->idle->pdata[pool->idle->len - 1]);
}
