#include "adapters/metrics.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

/* Bounds of 2^0 to 2^26 us, and one bucket for all above. */
#define BOUND_COUNT 27
#define BUCKET_COUNT (BOUND_COUNT + 1)

enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
};

struct metric {
	enum metric_kind kind;
	char *name;
	char *help;
	char *labels; /* "" for none */
	_Atomic uint64_t value; /* sum of a histogram */
	_Atomic uint64_t buckets[]; /* BUCKET_COUNT for a histogram */
};

static const char *const kind_names[] = {
	[METRIC_COUNTER] = "counter",
	[METRIC_GAUGE] = "gauge",
	[METRIC_HISTOGRAM] = "histogram",
};

/* Sorted by name and labels; the lock guards the array, not the values. */
static pthread_mutex_t metrics_lock = PTHREAD_MUTEX_INITIALIZER;
static GPtrArray *metrics_all;

static void metric_free(gpointer data)
{
	struct metric *metric = data;

	g_free(metric->name);
	g_free(metric->help);
	g_free(metric->labels);
	g_free(metric);
}

static int compare(const struct metric *metric, const char *name,
		   const char *labels)
{
	int order = strcmp(metric->name, name);

	return order ? order : strcmp(metric->labels, labels);
}

/* Place of the first metric that doesn't come before these. */
static guint find_place(const char *name, const char *labels)
{
	guint low = 0;
	guint high = metrics_all->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (compare(metrics_all->pdata[middle], name, labels) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct metric *metric_new(enum metric_kind kind, const char *name,
				 const char *help, const char *labels)
{
	size_t buckets = kind == METRIC_HISTOGRAM ? BUCKET_COUNT : 0;
	struct metric *metric;

	metric = g_malloc0(sizeof(*metric) +
			   buckets * sizeof(metric->buckets[0]));
	metric->kind = kind;
	metric->name = g_strdup(name);
	metric->help = g_strdup(help);
	metric->labels = g_strdup(labels);
	return metric;
}

static struct metric *metric_register(enum metric_kind kind, const char *name,
				      const char *help, const char *labels)
{
	struct metric *metric;
	guint at;

	if (!labels)
		labels = "";
	pthread_mutex_lock(&metrics_lock);
	if (!metrics_all)
		metrics_all = g_ptr_array_new_with_free_func(metric_free);
	at = find_place(name, labels);
	if (at < metrics_all->len &&
	    !compare(metrics_all->pdata[at], name, labels)) {
		metric = metrics_all->pdata[at];
	} else {
		metric = metric_new(kind, name, help, labels);
		g_ptr_array_insert(metrics_all, (gint)at, metric);
	}
	pthread_mutex_unlock(&metrics_lock);
	/* One name of two kinds is a fault of the program, seen at start. */
	g_assert(metric->kind == kind);
	return metric;
}

void metrics_open(void)
{
	metrics_close();
}

void metrics_close(void)
{
	pthread_mutex_lock(&metrics_lock);
	if (metrics_all)
		g_ptr_array_free(metrics_all, TRUE);
	metrics_all = NULL;
	pthread_mutex_unlock(&metrics_lock);
}

struct metric *metric_counter(const char *name, const char *help,
			      const char *labels)
{
	return metric_register(METRIC_COUNTER, name, help, labels);
}

struct metric *metric_gauge(const char *name, const char *help,
			    const char *labels)
{
	return metric_register(METRIC_GAUGE, name, help, labels);
}

struct metric *metric_histogram(const char *name, const char *help,
				const char *labels)
{
	return metric_register(METRIC_HISTOGRAM, name, help, labels);
}

void metric_add(struct metric *metric, uint64_t amount)
{
	atomic_fetch_add_explicit(&metric->value, amount, memory_order_relaxed);
}

void metric_set(struct metric *metric, int64_t value)
{
	atomic_store_explicit(&metric->value, (uint64_t)value,
			      memory_order_relaxed);
}

/* First bucket whose bound, a power of two, is not below the value. */
static uint32_t bucket_of(uint64_t value_us)
{
	uint32_t bits;

	if (value_us <= 1)
		return 0;
	bits = 64 - (uint32_t)__builtin_clzll(value_us - 1);
	return bits < BOUND_COUNT ? bits : BOUND_COUNT;
}

void metric_observe_us(struct metric *metric, uint64_t value_us)
{
	g_assert(metric->kind == METRIC_HISTOGRAM);
	atomic_fetch_add_explicit(&metric->buckets[bucket_of(value_us)], 1,
				  memory_order_relaxed);
	metric_add(metric, value_us);
}

static uint64_t load(const _Atomic uint64_t *value)
{
	return atomic_load_explicit(value, memory_order_relaxed);
}

uint64_t metric_value(const struct metric *metric)
{
	uint64_t count = 0;
	uint32_t i;

	if (metric->kind != METRIC_HISTOGRAM)
		return load(&metric->value);
	for (i = 0; i < BUCKET_COUNT; i++)
		count += load(&metric->buckets[i]);
	return count;
}

static void format_head(GString *text, const struct metric *metric)
{
	const char *at;

	g_string_append_printf(text, "# HELP %s ", metric->name);
	for (at = metric->help; *at; at++) {
		if (*at == '\n')
			g_string_append(text, "\\n");
		else if (*at == '\\')
			g_string_append(text, "\\\\");
		else
			g_string_append_c(text, *at);
	}
	g_string_append_printf(text, "\n# TYPE %s %s\n", metric->name,
			       kind_names[metric->kind]);
}

static void format_bucket(GString *text, const struct metric *metric,
			  uint32_t bucket, uint64_t count)
{
	g_string_append_printf(text, "%s_bucket{%s%s", metric->name,
			       metric->labels, *metric->labels ? "," : "");
	if (bucket < BOUND_COUNT)
		g_string_append_printf(text, "le=\"%" PRIu64 "\"",
				       UINT64_C(1) << bucket);
	else
		g_string_append(text, "le=\"+Inf\"");
	g_string_append_printf(text, "} %" PRIu64 "\n", count);
}

static void format_labels(GString *text, const struct metric *metric)
{
	if (*metric->labels)
		g_string_append_printf(text, "{%s}", metric->labels);
}

static void format_histogram(GString *text, const struct metric *metric)
{
	uint64_t count = 0;
	uint32_t i;

	for (i = 0; i < BUCKET_COUNT; i++) {
		count += load(&metric->buckets[i]);
		format_bucket(text, metric, i, count);
	}
	g_string_append_printf(text, "%s_sum", metric->name);
	format_labels(text, metric);
	g_string_append_printf(text, " %" PRIu64 "\n%s_count",
			       load(&metric->value), metric->name);
	format_labels(text, metric);
	g_string_append_printf(text, " %" PRIu64 "\n", count);
}

static void format_metric(GString *text, const struct metric *metric)
{
	if (metric->kind == METRIC_HISTOGRAM) {
		format_histogram(text, metric);
		return;
	}
	g_string_append(text, metric->name);
	format_labels(text, metric);
	if (metric->kind == METRIC_GAUGE)
		g_string_append_printf(text, " %" PRId64 "\n",
				       (int64_t)load(&metric->value));
	else
		g_string_append_printf(text, " %" PRIu64 "\n",
				       load(&metric->value));
}

char *metrics_format(void)
{
	GString *text = g_string_new(NULL);
	const char *name = "";
	guint i;

	pthread_mutex_lock(&metrics_lock);
	for (i = 0; metrics_all && i < metrics_all->len; i++) {
		const struct metric *metric = metrics_all->pdata[i];

		if (strcmp(name, metric->name) != 0)
			format_head(text, metric);
		name = metric->name;
		format_metric(text, metric);
	}
	pthread_mutex_unlock(&metrics_lock);
	return g_string_free(text, FALSE);
}
