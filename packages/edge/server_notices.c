#include "edge/server_notices.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/hops.h"

#define RETRY_AFTER "Retry-After"

/* A server that asks for more in error is tried again without a restart. */
#define MAX_REST_US (3600 * US_PER_S)

/* Maximum extension of a rest by draw, as a fraction of it. */
#define REST_SPREAD 0.2

static void note_leaving(struct edge *edge, struct backend *backend,
			 uint16_t status, const char *by)
{
	if (!backend_note_leaving(edge->backends, backend, edge_now_us(edge)))
		return;
	metric_add(edge->stats.servers_leaving, 1);
	log_event(LOG_INFO, "backend-says-leaving",
		  "backend=%s service=%s status=%u listed_draining=%s by=%s",
		  backend->id, backend->service, status,
		  backend->draining ? "yes" : "no", by);
}

static void apply_leaving(struct edge *edge, struct backend *backend,
			  const struct message *answer)
{
	const char *value = message_header(answer, edge->dialect->leaving);

	if (value && !strcmp(value, "1"))
		note_leaving(edge, backend, answer->status, "answer");
}

/* False unless it is one number of seconds. */
static bool read_rest(const struct message *answer, uint64_t *rest_us)
{
	return message_count_headers(answer, RETRY_AFTER) == 1 &&
	       duration_parse_seconds(message_header(answer, RETRY_AFTER),
				      rest_us);
}

bool server_notices_asks_for_rest(const struct message *answer)
{
	uint64_t rest_us;

	return answer->status == 503 && read_rest(answer, &rest_us) && rest_us;
}

/*
 * Nodes that were turned away together would return together. Longer than asked
 * for, never shorter.
 */
static uint64_t spread_rest(uint64_t rest_us)
{
	double part = 1 + REST_SPREAD * g_random_double();

	return (uint64_t)(part * (double)MIN(rest_us, MAX_REST_US));
}

static void begin_rest(struct edge *edge, struct backend *backend,
		       uint64_t rest_us)
{
	uint64_t spread_us = spread_rest(rest_us);

	if (!backend_note_rest(edge->backends, backend, spread_us,
			       edge_now_us(edge)))
		return;
	metric_add(edge->stats.rests, 1);
	log_event(LOG_INFO, "backend-rests",
		  "backend=%s service=%s asked_us=%" PRIu64 " for_us=%" PRIu64
		  " in_flight=%u",
		  backend->id, backend->service, rest_us, spread_us,
		  backend->in_flight);
}

static void log_malformed(struct backend *backend, const char *value)
{
	if (!backend->malformed_notices++)
		log_event(LOG_WARNING, "backend-rest-refused",
			  "backend=%s retry_after=\"%.32s\"", backend->id,
			  value);
}

static void apply_rest(struct edge *edge, struct backend *backend,
		       const struct message *answer, uint64_t sent_us)
{
	const char *value = message_header(answer, RETRY_AFTER);
	uint64_t rest_us = 0;

	if (answer->status == 503 && value && !read_rest(answer, &rest_us))
		log_malformed(backend, value);
	if (rest_us)
		begin_rest(edge, backend, rest_us);
	else
		backend_note_no_rest(backend, sent_us);
}

void server_notices_apply(struct edge *edge, struct backend *backend,
			  const struct message *answer, uint64_t sent_us)
{
	apply_leaving(edge, backend, answer);
	apply_rest(edge, backend, answer, sent_us);
}

void server_notices_apply_hop(struct edge *edge, const struct message *answer)
{
	const char *value = message_header(answer, HOP_LEAVING);
	char **incarnations = g_strsplit(value ? value : "", ",", -1);
	char **at;

	for (at = incarnations; *at; at++) {
		struct backend *backend = backend_table_find_incarnation(
			edge->backends,
			(uint32_t)g_ascii_strtoull(*at, NULL, 16));

		if (backend)
			note_leaving(edge, backend, answer->status, "peer");
	}
	g_strfreev(incarnations);
}
