#include "edge/admin_internal.h"

#include <inttypes.h>

#include "adapters/log.h"
#include "core/admin_json.h"
#include "core/admin_table.h"
#include "core/result.h"
#include "edge/gossip.h"
#include "edge/quarantine_store.h"

static const char *const columns[] = { "fingerprint", "state",	"crashes",
				       "servers",     "rounds", "left_us",
				       "by_hand",     "age_us", "request" };

static const char *state_of(const struct suspect *suspect, uint64_t now_us)
{
	if (!suspect->rounds)
		return suspect->evidence_crashes ? "suspect" : "cleared";
	return suspect->until_us > now_us ? "quarantined" : "to be tried";
}

/* The crashed servers: ids, or incarnations of servers no longer listed. */
static char *servers_of(const struct edge *edge, const struct suspect *suspect)
{
	GString *text = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < suspect->crash_count; i++) {
		uint32_t incarnation = suspect->crashes[i].incarnation;
		const struct backend *backend = backend_table_find_incarnation(
			edge->backends, incarnation);

		if (i)
			g_string_append(text, " ");
		if (backend)
			g_string_append(text, backend->id);
		else
			g_string_append_printf(text, "life-%08x", incarnation);
	}
	return g_string_free(text, FALSE);
}

static void add_suspect(const struct edge *edge, const struct suspect *suspect,
			struct admin_table *table)
{
	uint64_t now_us = edge_now_us(edge);
	char *fingerprint =
		g_strdup_printf("%016" PRIx64, suspect->fingerprint);
	char *servers = servers_of(edge, suspect);
	uint64_t left_us =
		suspect->until_us > now_us ? suspect->until_us - now_us : 0;
	json_t *const values[] = {
		admin_json_text(fingerprint),
		json_string(state_of(suspect, now_us)),
		admin_json_number(suspect->crash_count),
		admin_json_text(servers),
		admin_json_number(suspect->rounds),
		admin_json_number_or_null(suspect->rounds != 0, left_us),
		json_boolean(suspect->by_hand),
		admin_json_number(now_us - suspect->updated_us),
		admin_json_text(suspect->text),
	};

	ADMIN_TABLE_ADD(table, columns, values);
	g_free(fingerprint);
	g_free(servers);
}

json_t *admin_show_suspects(const struct edge *edge)
{
	struct admin_table table = ADMIN_TABLE_NEW(columns);
	uint32_t i;

	for (i = 0; i < SUSPECT_MAX_ENTRIES; i++)
		if (edge->suspects->keys[i])
			add_suspect(edge, &edge->suspects->entries[i], &table);
	return admin_finish_table(edge, &table, "suspects");
}

static json_t *success_answer(const struct query *query)
{
	char *message = g_strdup_printf(
		"%016" PRIx64 " is %s", query->fingerprint,
		query->verb == QUERY_RELEASE ? "released" : "quarantined");
	json_t *root = admin_json_new_answer(RESULT_OK, message);

	g_free(message);
	return root;
}

json_t *admin_change_suspect(struct edge *edge, const struct query *query,
			     GError **error)
{
	uint64_t now_us = edge_now_us(edge);
	bool releases = query->verb == QUERY_RELEASE;

	if (releases &&
	    !suspect_release(edge->suspects, query->fingerprint, now_us)) {
		g_set_error(error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
			    "no suspect %016" PRIx64 " is known here",
			    query->fingerprint);
		return NULL;
	}
	if (!releases &&
	    !suspect_quarantine(edge->suspects, query->fingerprint, now_us)) {
		g_set_error_literal(error, RESULT_ERROR, RESULT_CONFLICT,
				    "the table is full of quarantined "
				    "requests; release one first");
		return NULL;
	}
	log_event(LOG_WARNING, releases ? "released" : "quarantined",
		  "fingerprint=%016" PRIx64 " by_hand=yes", query->fingerprint);
	if (edge->gossip)
		gossip_schedule_broadcast(edge->gossip);
	if (edge->quarantines)
		quarantine_store_write(edge->quarantines, query->fingerprint);
	return success_answer(query);
}
