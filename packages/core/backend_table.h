/*
 * backend_table - the known backend servers and the state kept for each
 *
 * The state comes from the platform's list (backend_table_put, _remove), from
 * requests sent by this node (backend_begin, backend_end, backend_note_load)
 * and from load reports of peer nodes (backend_note_peer_load). Backend servers
 * are reference-counted, so that one removed from the table stays valid until
 * its running requests have ended. Not thread-safe. Times are those of the
 * clock port.
 */
#ifndef CORE_BACKEND_TABLE_H
#define CORE_BACKEND_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/backend_report.h"
#include "core/endpoint.h"
#include "core/rate_limit.h"
#include "core/route_table.h"
#include "core/row_version.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Entries of cold_log: more than one node sends to a cold server in 1 s. */
#define COLD_LOG_SIZE 16

/* Peers whose load reports are kept for each backend server, the latest. */
#define BACKEND_MAX_PEER_LOADS 8

/*
 * One row of the platform's list of backend servers. A restarted server has
 * either a new id, or the same id and a later started_ms.
 */
struct backend_info {
	const char *id;
	const char *service;
	struct endpoint address;
	const char *domain;
	const char *region;
	uint32_t slots;
	bool draining;
	uint64_t cold_left_us;
	uint64_t started_ms; /* since 1970; 0: unknown */
	struct row_version version; /* of its row in the list */
};

/* How many requests of a peer node are in flight at a backend server. */
struct backend_peer_load {
	uint32_t sender;
	uint32_t in_flight;
	uint64_t at_us; /* when reported; 0: entry unused */
};

struct backend {
	uint32_t references;
	char *id;
	uint32_t hash; /* of id, for rendezvous orders */
	uint32_t incarnation; /* hash of id and started_ms */
	uint64_t started_ms;
	char *service;
	struct endpoint address;
	char *domain;
	char *region;
	uint32_t slots;
	struct row_version version; /* of the newest row seen */
	bool draining;
	bool gone; /* removed from the table */
	uint64_t joined_us; /* 0: in the first complete list */
	uint64_t expire_us; /* row missing: when to remove it; 0: listed */
	uint64_t cold_until_us;
	bool listed_cold; /* cold by its latest row */

	struct rate_limit limit; /* as named in its answers */
	bool said_leaving; /* in an answer; its row may not say so yet */
	uint64_t rest_until_us; /* no requests before, by its answer; 0: not
				   resting, or answered since */
	uint32_t malformed_notices; /* answers with an unreadable Retry-After */
	uint32_t idle_connections; /* of this node */
	uint32_t connections; /* of this node, idle or in use */
	uint64_t disconnect_us; /* when the server last closed a connection */
	uint32_t disconnect_burst; /* connections closed about then */
	uint32_t in_flight; /* requests of this node */
	double in_flight_work_us; /* sum of their expected service times */
	double other_load; /* other nodes' requests, by its latest answer */
	uint64_t other_load_at_us; /* time of that answer */
	struct backend_peer_load peer_loads[BACKEND_MAX_PEER_LOADS];
	struct backend_reports reports; /* of services that coordinate */

	double slowness; /* its service time / the service's average one */
	double failures; /* moving average: share of failed requests */
	uint64_t alive_us; /* send time of the latest answered request */
	uint64_t unreachable_us; /* when a connection to it last failed */
	uint64_t shun_until_us; /* backoff after failures: no requests before */
	uint64_t shun_step_us; /* length of the latest backoff */
	uint64_t sends; /* requests sent from here */
	/* Ring of the times of the latest sends while it was cold. */
	uint64_t cold_log[COLD_LOG_SIZE];
	uint32_t cold_next;
};

/* Average service times of a service, learned from its answers. */
struct service_times {
	double warm_us; /* on a server that has the object in its cache */
	double cold_us; /* on one that doesn't */
	uint64_t samples;
};

struct backend_table {
	GHashTable *by_id; /* holds a reference to each */
	GHashTable *by_incarnation; /* incarnation -> borrowed backend */
	GHashTable *by_service; /* name -> GPtrArray of struct backend */
	GHashTable *times; /* service name -> struct service_times */
	/* Services whose servers tell their speed -> struct service_speed. */
	GHashTable *speed_told;
	GHashTable *evacuated; /* failure domains that get no requests */
	GHashTable *removed; /* id -> struct removed_row */
	bool loaded; /* the list was read completely at least once */
	GPtrArray *changes; /* see backend_table_take_changes() */
	/* Last time that a server left, one rested or an evacuation changed. */
	uint64_t last_loss_us;
	uint64_t last_unreachable_us; /* last failed connection */
};

/* Kept of a backend server for some time after its removal. */
struct removed_row {
	/* Of the deleted or invalid row, or of the list that lacked it. */
	struct row_version version;
	uint64_t at_us;
	/* As in struct backend, for the same incarnation if its row is back. */
	uint64_t started_ms;
	bool said_leaving;
	uint64_t rest_until_us;
	bool drained; /* when it was removed */
};

struct backend_table *backend_table_new(void);
void backend_table_free(struct backend_table *table);

/*
 * Adds or updates a backend server and returns it; the table owns it. A server
 * that restarted under its id is replaced by a new one, since its cache is
 * empty and its load and failures are unknown. Rows of an earlier incarnation,
 * or older than the newest one seen, are ignored: peers report changes before
 * the list does. A restored list may have older rows, of servers that drain or
 * have left: the former go on leaving, the latter rest at first. Returns NULL
 * where a newer version removed the server.
 */
struct backend *backend_table_put(struct backend_table *table,
				  const struct backend_info *info,
				  uint64_t now_us);

/* Whether the table has newer data than this row, which is then ignored. */
bool backend_table_knows_newer(const struct backend_table *table,
			       const struct backend_info *info);

/*
 * Removes a server. The version (number 0: unknown) is that of its deleted or
 * invalid row, or of the complete list that lacks it; ignored where a newer row
 * is known. After an outage of the list its row may only have expired there;
 * the server is then kept until keep_until_us (0: remove it at once). A
 * draining server is always removed at once.
 */
void backend_table_remove(struct backend_table *table, const char *id,
			  struct row_version version, uint64_t keep_until_us,
			  uint64_t now_us);

/*
 * Version at which the server was last removed: of its deleted or invalid row,
 * or of the complete list that lacked it; number 0: unknown.
 */
struct row_version
backend_table_removed_version(const struct backend_table *table,
			      const char *id);

/* Removes servers whose rows are still missing when their time is up. */
void backend_table_expire(struct backend_table *table, uint64_t now_us);

struct backend *backend_table_find(const struct backend_table *table,
				   const char *id);
struct backend *
backend_table_find_incarnation(const struct backend_table *table,
			       uint32_t incarnation);

/* The service's backend servers (struct backend), or NULL. */
const GPtrArray *backend_table_by_service(const struct backend_table *table,
					  const char *service);

/*
 * Whether nodes share load and demand of the service: its routes ask for it, or
 * one of its servers told its speed.
 */
bool backend_table_coordinates(const struct backend_table *table,
			       const struct service *service);

/*
 * Begins or ends the evacuation of a failure domain. Afterwards its servers
 * count as cold for warmup_us, since caches and connections went cold
 * meanwhile; the list replaces that by the real time.
 */
void backend_table_evacuate(struct backend_table *table, const char *domain,
			    bool begins, uint64_t warmup_us, uint64_t now_us);
bool backend_table_evacuated(const struct backend_table *table,
			     const char *domain);

/* Digest of the list's data on all servers, equal on nodes that agree. */
uint64_t backend_table_digest(const struct backend_table *table);

/*
 * Ids of servers that were changed, added or removed since the last call; the
 * caller frees them by g_ptr_array_unref().
 */
GPtrArray *backend_table_take_changes(struct backend_table *table);

/* Average times of the service; estimated from target_us at first. */
struct service_times *backend_table_times(struct backend_table *table,
					  const char *service,
					  uint64_t target_us);

struct backend *backend_ref(struct backend *backend);
void backend_unref(struct backend *backend);

/* Whether it stops soon or has: by its row, or by its own answers. */
static inline bool backend_is_leaving(const struct backend *backend)
{
	return backend->gone || backend->draining || backend->said_leaving;
}

/* Whether no new request may be sent there: leaving, or evacuated. */
bool backend_is_closed(const struct backend_table *table,
		       const struct backend *backend);

/*
 * Counts a request that will take about work_us. Called when the server is
 * chosen, not when the request is sent: while a connection to a distant server
 * opens, a dozen more choices are made, which would all take the server for
 * idle, or its cold allowance for unused.
 */
void backend_begin(struct backend *backend, double work_us, uint64_t now_us);

/* Ends a request begun with the same work_us, whatever its outcome. */
void backend_end(struct backend *backend, double work_us);

/* Mean expected service time of requests in flight; 0 if there are none. */
double backend_mean_work_us(const struct backend *backend);

/* Sets its load as in its answer: requests of all nodes. */
void backend_note_load(struct backend *backend, uint32_t running,
		       uint32_t waiting, uint64_t now_us);

/*
 * Replaces a peer's load reports: clear the previous ones in the whole table,
 * then note the requests that the peer has in flight at each server.
 */
void backend_table_clear_peer_loads(struct backend_table *table,
				    uint32_t sender);
void backend_note_peer_load(struct backend *backend, uint32_t sender,
			    uint32_t in_flight, uint64_t now_us);

/*
 * Estimated number of requests there, of all nodes: of this node, and of others
 * by the server's newest report of a service that coordinates, or else by the
 * latest response to this node. Not less than peers said that they have there.
 */
double backend_load(const struct backend *backend, uint64_t now_us);

/* The server closed a connection of this node. */
void backend_closed_connection(struct backend *backend, uint64_t now_us);

/*
 * Notes that an answer said that the server leaves, which holds for this
 * incarnation whatever rows say. Returns whether that is new. The answer may
 * come after its row is gone, or is back; so in backend_note_rest().
 */
bool backend_note_leaving(struct backend_table *table, struct backend *backend,
			  uint64_t now_us);

/*
 * Notes that an answer asked for no requests during rest_us from now. A shorter
 * rest doesn't end a longer one. Returns whether the server wasn't resting.
 */
bool backend_note_rest(struct backend_table *table, struct backend *backend,
		       uint64_t rest_us, uint64_t now_us);

/* Notes an answer, to a request sent at sent_us, that asked for no rest. */
void backend_note_no_rest(struct backend *backend, uint64_t sent_us);

/* Whether the time that it asked for isn't over. */
static inline bool backend_is_resting(const struct backend *backend,
				      uint64_t now_us)
{
	return now_us < backend->rest_until_us;
}

/*
 * Whether its rest excludes a request. Once it is over, one request of this
 * node at a time is sent until one was answered: the server may ask for rest
 * again, and turn away all that come together. It isn't a retry, which could be
 * the request's last attempt.
 */
static inline bool backend_rest_excludes(const struct backend *backend,
					 bool is_retry, uint64_t now_us)
{
	return backend->rest_until_us && (is_retry || backend->in_flight ||
					  backend_is_resting(backend, now_us));
}

/* It answered a request sent at sent_us, with success or failure. */
void backend_answered(struct backend *backend, uint64_t sent_us);

/* The outcome of a request: a valid answer, or a failure. */
void backend_succeeded(struct backend *backend);
void backend_failed(struct backend *backend, uint64_t now_us);

/*
 * A connection to it failed: back off exponentially, since a request that tries
 * an unreachable server misses its objective.
 */
void backend_unreachable(struct backend_table *table, struct backend *backend,
			 uint64_t now_us);

/*
 * Drops what failed connections since then have taught, since it was this node
 * that lost its way: servers aren't backed off from.
 */
void backend_table_forget_unreachable(struct backend_table *table,
				      uint64_t since_us);

/*
 * Number of requests that this node sent to it in the last second while it was
 * cold; at most COLD_LOG_SIZE.
 */
uint32_t backend_cold_sends(const struct backend *backend, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
