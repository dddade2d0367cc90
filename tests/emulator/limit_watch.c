#include "emulator/limit_watch.h"

#include <stdio.h>

#include <glib.h>

#define SAMPLE_MS 50
#define WINDOW_MS 4000

/* From when the servers first name their rate until it must hold. */
#define SETTLE_MS 4000

/* Of the rate, and requests beside it, that may come within a window. */
#define RATE_PART_MOST 1.2
#define EXTRA_MOST 5

struct watched {
	struct app_stand *stand;
	GArray *arrived; /* of uint32_t, until each sample since they count */
};

struct limit_watch {
	uv_timer_t naming;
	uv_timer_t sampling;
	double per_s;
	GPtrArray *servers; /* of struct watched */
};

static uint32_t arrivals_at(const struct app_stand *stand)
{
	return app_stand_total_runs(stand) + app_stand_rejected(stand);
}

static void on_naming(uv_timer_t *timer)
{
	struct limit_watch *watch = timer->data;
	char *line = g_strdup_printf("Server-Limit: %g\r\n", watch->per_s);
	guint i;

	for (i = 0; i < watch->servers->len; i++) {
		struct watched *watched = watch->servers->pdata[i];

		app_stand_set_headers(watched->stand, line);
	}
	g_free(line);
}

static void on_sample(uv_timer_t *timer)
{
	struct limit_watch *watch = timer->data;
	guint i;

	for (i = 0; i < watch->servers->len; i++) {
		struct watched *watched = watch->servers->pdata[i];
		uint32_t arrived = arrivals_at(watched->stand);

		g_array_append_val(watched->arrived, arrived);
	}
}

static void start_timer(uv_loop_t *loop, uv_timer_t *timer, uv_timer_cb cb,
			struct limit_watch *watch, uint64_t first_ms,
			uint64_t again_ms)
{
	uv_timer_init(loop, timer);
	timer->data = watch;
	uv_timer_start(timer, cb, first_ms, again_ms);
}

struct limit_watch *limit_watch_new(uv_loop_t *loop, double per_s,
				    uint64_t from_ms)
{
	struct limit_watch *watch = g_new0(struct limit_watch, 1);

	watch->per_s = per_s;
	watch->servers = g_ptr_array_new();
	start_timer(loop, &watch->naming, on_naming, watch, from_ms, 0);
	start_timer(loop, &watch->sampling, on_sample, watch,
		    from_ms + SETTLE_MS, SAMPLE_MS);
	return watch;
}

void limit_watch_add(struct limit_watch *watch, struct app_stand *stand)
{
	struct watched *watched = g_new0(struct watched, 1);

	watched->stand = stand;
	watched->arrived = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_ptr_array_add(watch->servers, watched);
}

static uint32_t most_in_a_window(const struct watched *watched)
{
	const guint samples = WINDOW_MS / SAMPLE_MS;
	uint32_t most = 0;
	guint i;

	for (i = samples; i < watched->arrived->len; i++) {
		uint32_t last = g_array_index(watched->arrived, uint32_t, i);
		uint32_t first =
			g_array_index(watched->arrived, uint32_t, i - samples);

		most = MAX(most, last - first);
	}
	return most;
}

static uint32_t all_since_settled(const struct watched *watched)
{
	const GArray *arrived = watched->arrived;

	if (!arrived->len)
		return 0;
	return g_array_index(arrived, uint32_t, arrived->len - 1) -
	       g_array_index(arrived, uint32_t, 0);
}

bool limit_watch_report(const struct limit_watch *watch)
{
	double allowed =
		RATE_PART_MOST * watch->per_s * WINDOW_MS / 1000 + EXTRA_MOST;
	uint32_t most = 0;
	uint32_t all = 0;
	guint samples = 0;
	guint i;

	for (i = 0; i < watch->servers->len; i++) {
		const struct watched *watched = watch->servers->pdata[i];

		most = MAX(most, most_in_a_window(watched));
		all += all_since_settled(watched);
		samples = watched->arrived->len;
	}
	printf("%u servers that take %g a second: %u came in %g s, in %g s to "
	       "one at most %u, allowed %g\n",
	       watch->servers->len, watch->per_s, all,
	       samples * SAMPLE_MS / 1000.0, WINDOW_MS / 1000.0, most, allowed);
	return most > allowed || !all;
}
