/*
 * backend_table - the backend servers and what is believed of each
 *
 * What the platform's list says (backend_table_put, _remove), what answers show
 * (backend_begin, backend_end, backend_note_load) and what neighbours say
 * (backend_note_peer_load). A backend server lives as long as somebody holds a
 * reference, so that a request that runs there when it leaves ends in peace.
 * Not thread-safe. Times are those of the clock port.
 */
#ifndef CORE_BACKEND_TABLE_H
#define CORE_BACKEND_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/endpoint.h"
#include "core/rate_limit.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Sends that cold_log remembers; more than one second's on any one node. */
#define COLD_LOG_SIZE 16

/* Neighbours whose word is kept for each backend server; the latest ones. */
#define BACKEND_MAX_PEER_LOADS 8

/*
 * One backend server as the platform's list has it. A restart has another id,
 * or the same and a later start.
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
	uint64_t started_ms; /* since 1970; 0: not said */
	uint64_t version; /* of its row in the list; 0: not said */
};

/* A neighbour's word on how many requests of its own are there. */
struct backend_peer_load {
	uint32_t sender;
	uint32_t in_flight;
	uint64_t at_us; /* 0: none */
};

struct backend {
	uint32_t references;
	char *id;
	uint32_t hash; /* of id, for orders */
	uint32_t life; /* of id and start, for what is believed of it */
	uint64_t started_ms;
	char *service;
	struct endpoint address;
	char *domain;
	char *region;
	uint32_t slots;
	uint64_t version; /* of the newest row known */
	bool draining;
	bool gone; /* no longer in the table */
	uint64_t joined_us; /* 0: in the list when it was first read whole */
	uint64_t lapsed_us; /* 0, or when a missing entry counts as gone */
	uint64_t cold_until_us;
	bool listed_cold; /* as its latest entry says */

	struct rate_limit limit; /* as its latest answer says */
	uint32_t kept; /* this node's idle connections to it */
	uint32_t connections; /* of this node, open, idle or not */
	uint64_t ended_us; /* when the server's side last ended one */
	uint32_t ended_together; /* that it ended at that time */
	uint32_t in_flight; /* of this node */
	double pledged_us; /* their expected service times, summed */
	double others; /* estimate of the other nodes' requests there */
	uint64_t others_us; /* when that was */
	struct backend_peer_load told[BACKEND_MAX_PEER_LOADS]; /* of neighbours
								*/

	double slowness; /* service time against the service's usual one */
	double failures; /* smoothed share of requests that failed */
	uint64_t alive_us; /* it answered what was sent to it then */
	uint64_t unreachable_us; /* a connection to it failed last */
	uint64_t shun_until_us; /* gets nothing before, after failures */
	uint64_t shun_step_us;
	uint64_t served; /* requests sent from here */
	uint64_t cold_log[COLD_LOG_SIZE]; /* times of the latest sends while
					     cold */
	uint32_t cold_next;
};

/* What answers of a service have shown. */
struct service_times {
	double warm_us; /* service time where the object was warm */
	double cold_us; /* and where it wasn't */
	uint64_t samples;
};

struct backend_table {
	GHashTable *by_id; /* owns a reference of each */
	GHashTable *by_life; /* hash of the life -> struct backend, lent */
	GHashTable *by_service; /* name -> GPtrArray of struct backend */
	GHashTable *times; /* service name -> struct service_times */
	GHashTable *evacuated; /* domains that get nothing */
	GHashTable *removed; /* id -> struct removed_row, of those that left */
	bool whole; /* the list was read whole once */
	GPtrArray *changes; /* ids that changed, joined or left; not yet taken
			     */
	uint64_t disturbed_us; /* when a backend server was last lost */
};

/* What is kept of a backend server that has left. */
struct removed_row {
	uint64_t version; /* of the row that said so */
	uint64_t at_us;
};

struct backend_table *backend_table_new(void);
void backend_table_free(struct backend_table *table);

/*
 * Add or refresh; the backend server, which the table owns. One that started
 * again under its id is another one: what was known of its cache, load and
 * failures isn't of this life. Word of a life before the known one is ignored,
 * and so is a row older than the newest known: neighbours tell of changes
 * before they come from the list. NULL where a newer row removed the server.
 */
struct backend *backend_table_put(struct backend_table *table,
				  const struct backend_info *facts,
				  uint64_t now_us);

/* Whether what is known is newer than this; such facts are ignored. */
bool backend_table_knows_newer(const struct backend_table *table,
			       const struct backend_info *facts);

/*
 * The list of this version (0: not said) has it no longer; ignored where a
 * newer row is known. Where the list itself was away until lately, it may only
 * have lapsed, and is kept until keep_until_us (0: remove at once).
 */
void backend_table_remove(struct backend_table *table, const char *id,
			  uint64_t version, uint64_t keep_until_us,
			  uint64_t now_us);

/* Version of the row that removed it last; 0: unknown. */
uint64_t backend_table_removed_version(const struct backend_table *table,
				       const char *id);

/* Remove those whose time to come back has passed. */
void backend_table_expire(struct backend_table *table, uint64_t now_us);

struct backend *backend_table_find(const struct backend_table *table,
				   const char *id);
struct backend *
backend_table_find_incarnation(const struct backend_table *table,
			       uint32_t life);

/* Those of the service, or NULL. */
const GPtrArray *backend_table_by_service(const struct backend_table *table,
					  const char *service);

/*
 * Evacuation of a failure domain begins or ends. Its servers' caches and
 * connections went cold meanwhile, so that they count as cold for warmup_us
 * after the end, until the list says how long it really is.
 */
void backend_table_evacuate(struct backend_table *table, const char *domain,
			    bool begins, uint64_t warmup_us, uint64_t now_us);
bool backend_table_evacuated(const struct backend_table *table,
			     const char *domain);

/*
 * One number for what the list says of all backend servers: two nodes that
 * believe the same have the same one.
 */
uint64_t backend_table_digest(const struct backend_table *table);

/* The ids that changed, joined or left since the last call, for g_ptr_array. */
GPtrArray *backend_table_take_changes(struct backend_table *table);

struct service_times *backend_table_times(struct backend_table *table,
					  const char *service,
					  uint64_t target_us);

struct backend *backend_ref(struct backend *backend);
void backend_unref(struct backend *backend);

/* Nothing new may be sent there. */
bool backend_is_closed(const struct backend_table *table,
		       const struct backend *backend);

/*
 * A request will go there and take about so long. Called when it is chosen, not
 * when it leaves: while a connection opens to a distant server, a dozen more
 * choices are made, which would all find it idle, or its cold allowance unused.
 */
void backend_begin(struct backend *backend, double work_us, uint64_t now_us);

/* The request that began with this expectation ended, however. */
void backend_end(struct backend *backend, double work_us);

/* What a request there takes on average, by those in flight; 0: none are. */
double backend_mean_work_us(const struct backend *backend);

/* It answered: running and waiting requests there, of all nodes. */
void backend_note_load(struct backend *backend, uint32_t running,
		       uint32_t waiting, uint64_t now_us);

/* A neighbour begins to say how many requests of its own are where. */
void backend_table_clear_peer_loads(struct backend_table *table,
				    uint32_t sender);
void backend_note_peer_load(struct backend *backend, uint32_t sender,
			    uint32_t in_flight, uint64_t now_us);

/* Requests there, of all nodes, as far as is known. */
double backend_load(const struct backend *backend, uint64_t now_us);

/* The server's side ended a connection of this node's. */
void backend_closed_connection(struct backend *backend, uint64_t now_us);

/* It answered what was sent to it at that time, however. */
void backend_answered(struct backend *backend, uint64_t sent_us);

/* It answered in good order, or failed a request. */
void backend_succeeded(struct backend *backend);
void backend_failed(struct backend *backend, uint64_t now_us);

/*
 * It can't be reached: leave it alone for doubling spells, since a request that
 * finds out for itself has lost its objective by then.
 */
void backend_unreachable(struct backend_table *table, struct backend *backend,
			 uint64_t now_us);

/* Sends within the last second, as far as the log of a cold one goes. */
uint32_t backend_cold_sends(const struct backend *backend, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
