#include "edge/server_notices.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"

#define RETRY_AFTER "Retry-After"

static void apply_leaving(struct edge *edge, struct backend *backend,
			  const struct message *answer)
{
	const char *value = message_header(answer, edge->dialect->leaving);

	if (!value || strcmp(value, "1") != 0 || !backend_note_leaving(backend))
		return;
	metric_add(edge->stats.servers_leaving, 1);
	log_event(LOG_INFO, "backend-says-leaving",
		  "backend=%s service=%s status=%u listed_draining=%s",
		  backend->id, backend->service, answer->status,
		  backend->draining ? "yes" : "no");
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
