/*
 * metrics - counters, gauges and histograms of our own, in Prometheus' text
 *
 * A metric is registered once and lives until metrics_close(); counting is one
 * relaxed atomic addition. Thread-safe between open and close.
 */
#ifndef ADAPTERS_METRICS_H
#define ADAPTERS_METRICS_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct metric;

void metrics_open(void);
void metrics_close(void);

/*
 * Register a metric, or find the one of this name and these labels. labels is
 * "a=\"b\",c=\"d\"" or NULL.
 */
struct metric *metric_counter(const char *name, const char *help,
			      const char *labels);
struct metric *metric_gauge(const char *name, const char *help,
			    const char *labels);
/* Histogram of microseconds, in powers of two up to 67 s. */
struct metric *metric_histogram(const char *name, const char *help,
				const char *labels);

void metric_add(struct metric *metric, uint64_t amount);
void metric_set(struct metric *metric, int64_t value);
void metric_observe_us(struct metric *metric, uint64_t value_us);

uint64_t metric_value(const struct metric *metric);

/* The whole exposition as text, for g_free(). */
char *metrics_format(void);

#ifdef __cplusplus
}
#endif

#endif
