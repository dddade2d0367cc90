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
	{ "lilacfield_connects_total", "connections opened to backend servers",
	  AT(connects) },
	{ "lilacfield_shed_total", "requests that a backend server did not run",
	  AT(shed) },
	{ "lilacfield_strays_total", "answers of other requests, dropped",
	  AT(strays) },
	{ "lilacfield_lookups_total", "look-ups answered", AT(lookups) },
	{ "lilacfield_registry_calls_total", "calls to the platform's tables",
	  AT(registry_calls) },
	{ "lilacfield_registry_failures_total", "of these, without success",
	  AT(registry_failures) },
	{ "lilacfield_registry_bytes_total", "bytes of the platform's answers",
	  AT(registry_bytes) },
	{ "lilacfield_registry_lost_bytes_total",
	  "bytes of answers that were given up", AT(registry_lost_bytes) },
};

void stats_init(struct stats *stats)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(counters); i++) {
		struct metric **at =
			(struct metric **)((char *)stats + counters[i].offset);

		*at = metric_counter(counters[i].name, counters[i].help, NULL);
	}
	stats->latency_us =
		metric_histogram("lilacfield_latency_us",
				 "arrival of a request to its answer", NULL);
	stats->backend_us =
		metric_histogram("lilacfield_backend_us",
				 "sending of a request to its answer", NULL);
}
