/*
 * load - callers of one service from one place
 *
 *     load --nodes 127.1.1.1:8080,… --service svc-historia --from central-1 \
 *          --rate 50 --seconds 10
 *
 * With --rate requests start by a schedule and their latency counts from it,
 * so that a slow answer isn't hidden by the requests that it held up; with
 * --rate 0 each thread sends its next one when the last one ended. The last
 * line sums up as key=value pairs. Exit status 1 where an answer was wrong or a
 * non-idempotent request ran twice.
 */
#include <curl/curl.h>
#include <popt.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tools/caller.h"

#define MAX_THREADS 512
#define US_PER_S 1000000.0

struct shared {
	struct caller_options options;
	struct lookup_cache *lookups;
	struct event_log *log;
	atomic_uint_fast64_t next; /* index of the next request */
	uint64_t start_us;
	uint64_t end_us;
};

struct worker {
	pthread_t thread;
	struct shared *shared;
	uint32_t index;
	GArray *latencies_us; /* of answered requests */
	uint64_t ends[CALL_END_COUNT];
	uint64_t cuts;
	uint64_t resends;
	uint64_t ran_twice;
};

static char *nodes = "";
static char *service = "";
static char *place = "";
static char *history_path;
static char *id_prefix = "r";
static int threads = 32;
static double rate;
static double seconds = 5;
static int seed = 1;
static int timeout_ms = 2000;
static int settle_ms = 3000;
static int reissue;

static const struct poptOption options[] = {
	{ "nodes", 'n', POPT_ARG_STRING, &nodes, 0, "nodes to look up at",
	  "ADDRESS:PORT,…" },
	{ "service", 's', POPT_ARG_STRING, &service, 0, "service to call",
	  "NAME" },
	{ "from", 'f', POPT_ARG_STRING, &place, 0, "place of the callers",
	  "NAME" },
	{ "rate", 'r', POPT_ARG_DOUBLE, &rate, 0,
	  "requests a second; 0: one after the other", "N" },
	{ "concurrency", 'c', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
	  &threads, 0, "requests at a time, at most", "N" },
	{ "seconds", 't', POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, &seconds,
	  0, "how long", "S" },
	{ "seed", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &seed, 0,
	  "of what is drawn", "N" },
	{ "id", 'i', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &id_prefix, 0,
	  "prefix of the request ids", "TEXT" },
	{ "timeout-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
	  &timeout_ms, 0, "deadline of a request", "MS" },
	{ "settle-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &settle_ms,
	  0, "after it, to learn a non-idempotent one's outcome", "MS" },
	{ "reissue", 0, POPT_ARG_NONE, &reissue, 0,
	  "new ticket for a non-idempotent one that was not run", NULL },
	{ "history", 'o', POPT_ARG_STRING, &history_path, 0,
	  "file that events are appended to", "FILE" },
	POPT_AUTOHELP POPT_TABLEEND
};

/* When the request is to start; waits until then. False past the end. */
static bool wait_for_turn(struct shared *shared, uint64_t index,
			  uint64_t *start_us)
{
	uint64_t now_us = event_now_us();

	*start_us = now_us;
	if (rate > 0)
		*start_us = shared->start_us +
			    (uint64_t)((double)index * US_PER_S / rate);
	if (*start_us >= shared->end_us)
		return false;
	if (*start_us > now_us)
		g_usleep(*start_us - now_us);
	return true;
}

static void count_call(struct worker *worker, const struct call *call,
		       uint64_t start_us)
{
	uint64_t latency_us = event_now_us() - start_us;

	worker->ends[call->end]++;
	worker->cuts += call->cuts;
	worker->resends += call->sends > 1 ? call->sends - 1 : 0;
	worker->ran_twice += *call->ticket && call->runs > 1;
	if (call->end == CALL_ANSWERED)
		g_array_append_val(worker->latencies_us, latency_us);
}

static void *work(void *data)
{
	struct worker *worker = data;
	struct shared *shared = worker->shared;
	struct caller *caller =
		caller_new(&shared->options, shared->lookups, shared->log,
			   (uint32_t)seed * MAX_THREADS + worker->index);
	uint64_t start_us;
	uint64_t index;

	while (index = atomic_fetch_add(&shared->next, 1),
	       wait_for_turn(shared, index, &start_us)) {
		struct call call;
		char id[ID_SIZE];

		g_snprintf(id, sizeof(id), "%s-%" G_GUINT64_FORMAT, id_prefix,
			   index);
		caller_call(caller, id, start_us, &call);
		count_call(worker, &call, start_us);
	}
	caller_free(caller);
	return NULL;
}

static gint compare_latencies(gconstpointer a, gconstpointer b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return (left > right) - (left < right);
}

static uint64_t percentile_us(const GArray *sorted, uint32_t permille)
{
	if (!sorted->len)
		return 0;
	return g_array_index(
		sorted, uint64_t,
		(guint)((uint64_t)(sorted->len - 1) * permille / 1000));
}

static void add_worker(struct worker *total, const struct worker *worker)
{
	int i;

	for (i = 0; i < CALL_END_COUNT; i++)
		total->ends[i] += worker->ends[i];
	total->cuts += worker->cuts;
	total->resends += worker->resends;
	total->ran_twice += worker->ran_twice;
	g_array_append_vals(total->latencies_us, worker->latencies_us->data,
			    worker->latencies_us->len);
}

static void print_total(const struct worker *total)
{
	const uint64_t *ends = total->ends;
	const GArray *latencies_us = total->latencies_us;
	uint64_t sent = ends[CALL_ANSWERED] + ends[CALL_REFUSED] +
			ends[CALL_UNKNOWN] + ends[CALL_WRONG];

	printf("service=%s from=%s sent=%" G_GUINT64_FORMAT
	       " answered=%" G_GUINT64_FORMAT
	       " refused_not_run=%" G_GUINT64_FORMAT
	       " unknown=%" G_GUINT64_FORMAT " wrong_answer=%" G_GUINT64_FORMAT
	       " ran_twice=%" G_GUINT64_FORMAT " cut=%" G_GUINT64_FORMAT
	       " resent=%" G_GUINT64_FORMAT " p50_us=%" G_GUINT64_FORMAT
	       " p99_us=%" G_GUINT64_FORMAT " p999_us=%" G_GUINT64_FORMAT "\n",
	       service, place, sent, ends[CALL_ANSWERED], ends[CALL_REFUSED],
	       ends[CALL_UNKNOWN], ends[CALL_WRONG], total->ran_twice,
	       total->cuts, total->resends, percentile_us(latencies_us, 500),
	       percentile_us(latencies_us, 990),
	       percentile_us(latencies_us, 999));
}

/* Sum the workers up; whether all promises were kept as far as seen here. */
static bool sum_up(struct worker *workers)
{
	struct worker total = {
		.latencies_us = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	};
	int i;

	for (i = 0; i < threads; i++) {
		add_worker(&total, &workers[i]);
		g_array_unref(workers[i].latencies_us);
	}
	g_array_sort(total.latencies_us, compare_latencies);
	print_total(&total);
	g_array_unref(total.latencies_us);
	return !total.ends[CALL_WRONG] && !total.ran_twice;
}

static bool run_workers(struct shared *shared)
{
	struct worker *workers = g_new0(struct worker, (gsize)threads);
	bool kept;
	int i;

	for (i = 0; i < threads; i++) {
		workers[i].shared = shared;
		workers[i].index = (uint32_t)i;
		workers[i].latencies_us =
			g_array_new(FALSE, FALSE, sizeof(uint64_t));
		pthread_create(&workers[i].thread, NULL, work, &workers[i]);
	}
	for (i = 0; i < threads; i++)
		pthread_join(workers[i].thread, NULL);
	kept = sum_up(workers);
	g_free(workers);
	return kept;
}

static int run(void)
{
	struct shared shared = {
		.options = { .service = service,
			     .place = place,
			     .timeout_us = (uint64_t)timeout_ms * 1000,
			     .settle_us = (uint64_t)settle_ms * 1000,
			     .reissue = reissue },
	};
	GError *error = NULL;
	bool kept;

	shared.log = event_log_open(history_path, &error);
	if (!shared.log) {
		fprintf(stderr, "load: %s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	shared.lookups = lookup_cache_new(nodes, service, place);
	shared.start_us = event_now_us();
	shared.end_us = shared.start_us + (uint64_t)(seconds * US_PER_S);
	kept = run_workers(&shared);
	lookup_cache_free(shared.lookups);
	event_log_close(shared.log);
	return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argc, const char **argv)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	int status;

	if (poptGetNextOpt(context) != -1 || poptPeekArg(context) || !*nodes ||
	    !*service || threads < 1 || threads > MAX_THREADS) {
		poptPrintUsage(context, stderr, 0);
		return EXIT_FAILURE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = run();
	curl_global_cleanup();
	poptFreeContext(context);
	return status;
}
