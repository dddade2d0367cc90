/*
 * route_table - one version of the routes, services and limits in force
 *
 * Immutable once sealed, apart from the credits of the services.
 * Reference-counted: a request holds a reference, so that it ends under the
 * version it began with. Not thread-safe.
 */
#ifndef CORE_ROUTE_TABLE_H
#define CORE_ROUTE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/account.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A service that gets a weighted share of a route's requests. */
struct route_service {
	char *service;
	double weight; /* relative to the route's others; 0: no requests */
	double share; /* of the requests that no service before it gets, 0 to 1
		       */
	double credit; /* of a request, below 1; at 1 it gets the next one */
};

struct route {
	char *name;
	char *host; /* lower case */
	char *prefix; /* of the path; begins and ends with a slash */
	bool idempotent; /* may be retried after it was sent */
	bool bulk; /* has large requests or answers */
	uint64_t timeout_us; /* maximum time until the caller gets an answer */
	uint64_t target_us; /* latency objective */
	uint32_t priority; /* 0 is the highest */
	bool keyless; /* takes requests that name no account */
	bool unusable; /* a part that decides who may get or run its requests
			  is unknown: they are refused */
	uint32_t max_attempts; /* backend servers tried per request */
	GPtrArray *services; /* of struct route_service, at least one */
	GPtrArray *regions; /* of char *: allowed regions; empty: all */
};

struct service {
	char *name;
	uint64_t warmup_us; /* time after its start that a server is cold */
	double cold_per_s; /* requests per second a cold server can take */
	/*
	 * A bulk route leads to it: nodes share what they know of its servers'
	 * load and of the demand.
	 */
	bool coordinates;
};

/* Limits on a caller's request and on its connection; 0 allows nothing. */
struct route_limits {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	uint64_t header_timeout_us;
	uint64_t idle_timeout_us;
};

/* An entry of the configuration, or a field of it, that is not usable. */
struct route_fault {
	char *entry;
	char *cause;
};

#define ROUTE_TABLE_MAX_FAULTS 16

struct route_table {
	uint32_t references;
	uint64_t version;
	struct route_limits limits;
	GHashTable *hosts; /* host -> GPtrArray of struct route, by descending
			      prefix length; owns the routes */
	GHashTable *prefixes; /* host, newline, prefix -> struct route */
	size_t longest_prefix; /* in bytes, over all routes */
	GHashTable *services; /* name -> struct service */
	struct account_table *accounts; /* NULL: requests need no account */
	uint32_t route_count;
	GPtrArray *faults; /* of struct route_fault, at most
			      ROUTE_TABLE_MAX_FAULTS */
	uint32_t fault_count; /* also of those that aren't kept */
	bool lacks_routes; /* some have no usable host or prefix */
};

/* Value of a limit that is not known, see route_table_fill_limits(). */
#define ROUTE_LIMIT_UNKNOWN UINT64_MAX

/* Values that hold where the configured ones can't be read. */
#define ROUTE_DEFAULT_TIMEOUT_US (60 * UINT64_C(1000000))
#define ROUTE_LOWEST_PRIORITY UINT32_MAX
#define SERVICE_CAUTIOUS_WARMUP_US (60 * UINT64_C(1000000))

/* Build a table; it takes ownership of routes and services. */
struct route_table *route_table_new(uint64_t version);
struct route *route_new(const char *name, const char *host, const char *prefix);
struct route *route_table_add(struct route_table *table, struct route *route);
void route_add_service(struct route *route, const char *service, double weight);
void route_free(struct route *route);
struct service *route_table_add_service(struct route_table *table,
					const char *name);

/* Notes what is not usable, for operators. */
void route_table_add_fault(struct route_table *table, const char *entry,
			   const char *cause);

/*
 * Index a table, after which it may be searched. A route with an unknown
 * service, a limit of 0 or no service with a weight above 0 becomes unusable;
 * one without a host or a well-formed prefix is left out. Both are faults.
 */
void route_table_seal(struct route_table *table);

/* Take the limits that are not known from others, such as those in force. */
void route_table_fill_limits(struct route_table *table,
			     const struct route_limits *others);

/* Add or drop a reference; the last one frees the table. */
struct route_table *route_table_ref(struct route_table *table);
void route_table_unref(struct route_table *table);

/*
 * Find the route with the longest prefix that matches the path; NULL if there
 * is none. The host's case and port and the path's query are ignored. The time
 * grows with the slashes in the longest prefix of the table, not with the
 * routes: with 4,200 routes of a host, a path without a route takes 0.2 us,
 * where a scan of the routes takes 18 us.
 */
struct route *route_table_find(const struct route_table *table,
			       const char *host, const char *path);

/* Whether the route's requests may be sent to the region. */
bool route_allows_region(const struct route *route, const char *region);

/* Find a service by name; NULL if there is none. */
const struct service *route_table_service(const struct route_table *table,
					  const char *name);

/*
 * Choose the service of the next request. In any sequence of requests each of
 * two services gets its share by weight, give or take one request; of more
 * services, give or take a few. Where a sequence starts is random, so services
 * with small weights also get their share of many short sequences: many nodes,
 * or versions that follow each other quickly.
 */
const char *route_next_service(struct route *route);

#ifdef __cplusplus
}
#endif

#endif
