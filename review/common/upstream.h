/*
 * upstream - a server of one service, as the platform's page has it
 *
 * Slots and a queue, an id, a health path, cold starts, a log of arrivals.
 */
#ifndef REVIEW_UPSTREAM_H
#define REVIEW_UPSTREAM_H

#include "stand.h"

#include <pthread.h>

struct upstream {
	char id[32];
	char service[64];
	char zone[64];
	char address[32];
	int port;
	int slots;
	int queue;
	double work_ms;
	double cold_from_ms;
	double cold_until_ms;
	/* Answers whose number is a multiple of it have no length; 0: none. */
	int unframed_each;
	size_t answer_bytes;

	pthread_mutex_t lock;
	pthread_cond_t freed;
	int running;
	int waiting;
	int answers;
};

/* A request that an upstream began to work on, or took into its queue. */
struct arrival {
	char id[32];
	const struct upstream *upstream;
	double sent_ms; /* by the client */
	double at_ms;
	bool cold;
};

void upstream_start(struct upstream *upstream);
/* Writes the server's entry into the store, as it is now. */
void upstream_check_in(const struct upstream *upstream);
bool upstream_is_cold(const struct upstream *upstream, double at_ms);

/* All arrivals so far; free with g_free(). */
struct arrival *arrivals_copy(size_t *count);

/* The whole body of an answer, for comparison: byte i of request id. */
char body_byte(const char *id, size_t at);

#endif
