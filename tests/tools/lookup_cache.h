/*
 * lookup_cache - which entry nodes to use, as callers learn and keep it
 *
 * Answers without a ticket are kept for their time to live and shared by all
 * threads; one with a ticket serves one request. Thread-safe.
 */
#ifndef TOOLS_LOOKUP_CACHE_H
#define TOOLS_LOOKUP_CACHE_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"
#include "standins/standin.h"

#define LOOKUP_MAX_NODES 4

struct lookup_node {
	char node[NAME_SIZE];
	struct standin_endpoint endpoint;
};

struct lookup_answer {
	struct lookup_node nodes[LOOKUP_MAX_NODES]; /* the best first */
	uint32_t count;
	char ticket[ID_SIZE]; /* empty: the service is idempotent */
	uint64_t until_us; /* on the clock of event_now_us() */
};

struct lookup_cache;

/* nodes: "ADDRESS:PORT,…" to ask; place may be empty. */
struct lookup_cache *lookup_cache_new(const char *nodes, const char *service,
				      const char *place);
void lookup_cache_free(struct lookup_cache *cache);

/* False where no node answered; first says which of them is asked first. */
bool lookup_cache_get(struct lookup_cache *cache, CURL *curl, uint32_t first,
		      struct lookup_answer *answer);

/* Forget the kept answer: a node of it failed. */
void lookup_cache_drop(struct lookup_cache *cache);

#endif
