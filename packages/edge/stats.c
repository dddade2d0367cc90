#include "edge/stats.h"

#include <glib.h>
#include <stddef.h>

struct counter {
	const char *name;
	const char *help;
	size_t offset;
};

#define AT(field) offsetof(struct stats, field)

static const struct counter counters[] = {
	{ "lilacfield_requests_total", "requests of callers", AT(requests) },
	{ "lilacfield_delivered_total", "answers of backend servers delivered",
	  AT(delivered) },
	{ "lilacfield_refused_total", "requests refused as not run",
	  AT(refused) },
	{ "lilacfield_over_quota_total",
	  "requests refused for their account's rate", AT(over_quota) },
	{ "lilacfield_failed_total", "requests that ended 502 or 504",
	  AT(failed) },
	{ "lilacfield_denied_total", "requests that ended 4xx of our own",
	  AT(denied) },
	{ "lilacfield_cancelled_total", "requests whose caller left",
	  AT(cancelled) },
	{ "lilacfield_sent_total", "requests sent to backend servers",
	  AT(sent) },
	{ "lilacfield_extra_total", "of these, beyond a request's first",
	  AT(extra) },
	{ "lilacfield_stop_cut_total",
	  "requests in flight when the stop of the node ended", AT(stop_cut) },
	{ "lilacfield_abandoned_total", "sends given up before their answer",
	  AT(abandoned) },
	{ "lilacfield_abandoned_unacked_total",
	  "of these, not acknowledged completely by the other side",
	  AT(abandoned_unacked) },
	{ "lilacfield_connects_total", "connections opened to backend servers",
	  AT(connects) },
	{ "lilacfield_unreachable_total",
	  "connections to backend servers that failed or timed out",
	  AT(unreachable) },
	{ "lilacfield_shed_total", "requests that a backend server did not run",
	  AT(not_executed) },
	{ "lilacfield_servers_leaving_total",
	  "backend servers whose answers said that they leave",
	  AT(servers_leaving) },
	{ "lilacfield_rests_total",
	  "times that a backend server asked for no requests", AT(rests) },
	{ "lilacfield_hops_sent_total", "requests handed to peers",
	  AT(hops_sent) },
	{ "lilacfield_hops_failed_total", "of these, without a valid answer",
	  AT(hops_failed) },
	{ "lilacfield_hops_taken_total", "requests of other nodes accepted",
	  AT(hops_taken) },
	{ "lilacfield_hops_refused_total", "requests of other nodes refused",
	  AT(hops_refused) },
	{ "lilacfield_reach_probes_total",
	  "connections opened to see whether servers are reachable",
	  AT(reach_probes) },
	{ "lilacfield_bytes_waits_total",
	  "times that a connection had to wait to hold more bytes",
	  AT(bytes_waits) },
	{ "lilacfield_bytes_dropped_total",
	  "requests and answers dropped since held bytes were used up",
	  AT(bytes_dropped) },
	{ "lilacfield_strays_total", "answers of other requests, dropped",
	  AT(strays) },
	{ "lilacfield_quarantined_total",
	  "requests refused since servers crashed under them",
	  AT(quarantined) },
	{ "lilacfield_words_rejected_total", "absurd words of neighbours",
	  AT(updates_rejected) },
	{ "lilacfield_load_reports_total",
	  "newer loads of backend servers received from peers",
	  AT(reports_received) },
	{ "lilacfield_load_reports_rejected_total",
	  "loads of backend servers, in responses or from peers, unreadable or "
	  "out of range",
	  AT(reports_rejected) },
	{ "lilacfield_lookups_total", "look-ups answered", AT(lookups) },
	{ "lilacfield_registry_writes_total",
	  "calls that write the node's own row or strike one",
	  AT(registry_writes) },
	{ "lilacfield_neighbours_asked_total", "calls to neighbours for tables",
	  AT(snapshot_requests) },
	{ "lilacfield_neighbours_given_total",
	  "answers with tables to neighbours", AT(snapshots_served) },
	{ "lilacfield_registry_failures_total", "of these, without success",
	  AT(registry_failures) },
	{ "lilacfield_registry_restores_total",
	  "times that the platform was back from a copy of its tables",
	  AT(registry_restores) },
	{ "lilacfield_registry_era_refused_total",
	  "answers of an earlier era of the platform, or of none, ignored",
	  AT(registry_era_refused) },
	{ "lilacfield_registry_older_total",
	  "answers of the platform older than what is known, ignored",
	  AT(registry_older) },
	{ "lilacfield_registry_bytes_total", "bytes of the platform's answers",
	  AT(registry_bytes) },
	{ "lilacfield_registry_lost_bytes_total",
	  "bytes of answers that were given up", AT(registry_lost_bytes) },
};

static void init_reads(struct stats *stats)
{
	uint32_t i;

	for (i = 0; i < READ_CAUSE_COUNT; i++) {
		char *label =
			g_strdup_printf("cause=\"%s\"", read_cause_name(i));

		stats->registry_reads[i] = metric_counter(
			"lilacfield_registry_calls_total",
			"calls that read the platform's tables", label);
		g_free(label);
	}
}

static void init_no_room(struct stats *stats)
{
	uint32_t i;

	for (i = 0; i < ROOM_REJECTIONS; i++) {
		char *label = g_strdup_printf("reason=\"%s\"",
					      room_rejection_name(i));

		stats->no_room[i] = metric_counter(
			"lilacfield_no_room_total",
			"requests refused as no server has room", label);
		g_free(label);
	}
}

void stats_init(struct stats *stats)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(counters); i++) {
		struct metric **at =
			(struct metric **)((char *)stats + counters[i].offset);

		*at = metric_counter(counters[i].name, counters[i].help, NULL);
	}
	init_reads(stats);
	init_no_room(stats);
	stats->room_short = metric_gauge("lilacfield_room_short_services",
					 "services that are short of room",
					 NULL);
	stats->partitioned = metric_gauge("lilacfield_partitioned",
					  "1 if no backend server is reachable",
					  NULL);
	stats->routes_version =
		metric_gauge("lilacfield_routes_version",
			     "version of the configuration in force", NULL);
	stats->routes_faults = metric_gauge(
		"lilacfield_routes_faults",
		"entries and fields of that version that aren't usable", NULL);
	stats->routes_refused = metric_gauge(
		"lilacfield_routes_refused",
		"1 if the newest version of the configuration can't be read",
		NULL);
	stats->held_bytes = metric_gauge("lilacfield_held_bytes",
					 "bytes of requests and answers held",
					 NULL);
	stats->drawn_bytes = metric_gauge(
		"lilacfield_drawn_bytes",
		"of these, beyond the connections' allowances", NULL);
	stats->bytes_waiting =
		metric_gauge("lilacfield_bytes_waiting",
			     "connections that wait to hold more bytes", NULL);
	stats->latency_us =
		metric_histogram("lilacfield_latency_us",
				 "arrival of a request to its answer", NULL);
	stats->backend_us =
		metric_histogram("lilacfield_backend_us",
				 "sending of a request to its answer", NULL);
}

static void raise_to(struct metric *counter, uint64_t total)
{
	metric_add(counter, total - metric_value(counter));
}

void stats_set_bytes(struct stats *stats, const struct byte_budget *budget)
{
	metric_set(stats->held_bytes, (int64_t)budget->held_bytes);
	metric_set(stats->drawn_bytes, (int64_t)budget->drawn_bytes);
	metric_set(stats->bytes_waiting,
		   g_queue_get_length((GQueue *)&budget->waiting));
	raise_to(stats->bytes_waits, budget->waits);
	raise_to(stats->bytes_dropped, budget->dropped);
}

void stats_count_read(struct stats *stats, enum read_cause cause)
{
	metric_add(stats->registry_reads[cause], 1);
}
