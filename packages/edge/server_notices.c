#include "edge/server_notices.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/hops.h"

#define RETRY_AFTER "Retry-After"

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

static bool read_rest(struct backend *backend, const struct message *answer,
		      uint64_t *rest_us)
{
	const char *value = message_header(answer, RETRY_AFTER);

	if (answer->status != 503 || !value)
		return false;
	if (message_count_headers(answer, RETRY_AFTER) == 1 &&
	    duration_parse_seconds(value, rest_us))
		return true;
	if (!backend->malformed_notices++)
		log_event(LOG_WARNING, "backend-rest-refused",
			  "backend=%s retry_after=\"%.32s\"", backend->id,
			  value);
	return false;
}

static void apply_rest(struct edge *edge, struct backend *backend,
		       const struct message *answer)
{
	uint64_t rest_us;

	if (!read_rest(backend, answer, &rest_us) || !rest_us)
		return;
	if (!backend_note_rest(backend, rest_us, edge_now_us(edge)))
		return;
	metric_add(edge->stats.rests, 1);
	log_event(LOG_INFO, "backend-rests",
		  "backend=%s service=%s for_us=%" PRIu64 " in_flight=%u",
		  backend->id, backend->service, rest_us, backend->in_flight);
}

void server_notices_apply(struct edge *edge, struct backend *backend,
			  const struct message *answer)
{
	apply_leaving(edge, backend, answer);
	apply_rest(edge, backend, answer);
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
