#include "core/backend_report.h"

#include <math.h>

#include "core/backend_table.h"
#include "core/duration.h"
#include "core/load_report.h"

/*
 * A reported load is held for the time that most requests take, after which
 * those that it counts have ended; then it decays with the time constant.
 */
#define HOLD_LOAD_US (1 * US_PER_S)
#define LOAD_DECAY_US (1 * US_PER_S)

/* A speed is fully trusted for so long: one interval of updates of peers. */
#define SPEED_FRESH_US (100 * US_PER_MS)

/* How long a speed holds: until learned, and limits of what is learned. */
#define SPEED_HOLD_FIRST_US (600 * US_PER_MS)
#define SPEED_HOLD_MIN_US (100 * US_PER_MS)

/* Least factor on service times; a smaller one is a fault of the server. */
#define SPEED_MIN 0.1

/* Weight of one change of speed in the average. */
#define SPEED_HOLD_WEIGHT 0.1

/* Speeds whose ratio is below this count as the same. */
#define SPEED_CHANGE 1.2

/*
 * A report is sent to peers when the one they know is older than this, within
 * which a load is held, or differs: by so many requests and by a share of the
 * server's slots, or by speed.
 */
#define REFRESH_US HOLD_LOAD_US
#define CHANGED_REQUESTS 2
#define CHANGED_SLOTS 0.25

static uint64_t before(uint64_t now_us, uint64_t age_us)
{
	return now_us > age_us ? now_us - age_us : 1;
}

static bool is_valid(const struct backend_report *report, uint64_t now_us)
{
	return report->at_us &&
	       now_us < report->at_us + BACKEND_REPORT_VALID_US;
}

/* Whether a report is so much later than another, or there is no other. */
static bool is_refresh(const struct backend_report *report, uint64_t since_us)
{
	return !since_us || report->at_us >= since_us + REFRESH_US;
}

static bool differs_in_speed(uint32_t percent, uint32_t other)
{
	if (!percent || !other)
		return percent != other;
	return MAX(percent, other) > SPEED_CHANGE * MIN(percent, other);
}

/* Requests of this node that began after at_us, as far as they are kept. */
static uint32_t begun_since(const struct backend_reports *reports,
			    uint64_t at_us)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < BACKEND_BEGUN_LOG_SIZE; i++)
		count += reports->begun_us[i] > at_us;
	return count;
}

/*
 * Learns from the time between the first report of a speed and the first that
 * differs. Not where the last report before it was too old: the speed may have
 * changed unseen.
 */
static void learn_hold(struct backend_reports *reports, uint64_t at_us)
{
	double held_us = (double)(at_us - reports->level_us);
	double *hold_us = &reports->speed->hold_us;

	if (at_us - reports->speed_us > BACKEND_REPORT_VALID_US)
		return;
	held_us = CLAMP(held_us, SPEED_HOLD_MIN_US, BACKEND_REPORT_VALID_US);
	*hold_us += SPEED_HOLD_WEIGHT * (held_us - *hold_us);
}

static void note_speed(struct backend_reports *reports, uint32_t percent,
		       uint64_t at_us)
{
	if (!percent || at_us < reports->speed_us)
		return;
	if (!reports->speed_us ||
	    differs_in_speed(percent, reports->level_percent)) {
		if (reports->speed_us)
			learn_hold(reports, at_us);
		reports->level_percent = percent;
		reports->level_us = at_us;
	}
	reports->work_percent = percent;
	reports->speed_us = at_us;
}

/* Returns whether the service is new to those whose servers tell a speed. */
static bool find_speed(struct backend_table *table, struct backend *backend)
{
	struct service_speed *speed =
		g_hash_table_lookup(table->speed_told, backend->service);
	bool is_new = !speed;

	if (is_new) {
		speed = g_new0(struct service_speed, 1);
		speed->hold_us = SPEED_HOLD_FIRST_US;
		g_hash_table_insert(table->speed_told,
				    g_strdup(backend->service), speed);
	}
	backend->reports.speed = speed;
	return is_new;
}

/*
 * Stores a report unless a newer one is known. It counts in_flight requests of
 * this node but those that began less than transit_us before it.
 */
static bool note(struct backend *backend, const struct backend_report *report,
		 uint32_t in_flight, uint64_t transit_us)
{
	struct backend_reports *reports = &backend->reports;
	uint32_t since;

	if (report->at_us <= reports->newest.at_us)
		return false;
	since = begun_since(reports, before(report->at_us, transit_us));
	reports->newest = *report;
	reports->own_in_flight = in_flight - MIN(in_flight, since);
	return true;
}

bool backend_note_own_report(struct backend_table *table,
			     struct backend *backend, bool coordinates,
			     const struct load_report *report,
			     uint64_t transit_us, uint64_t now_us)
{
	/* The request that was answered: still counted by both. */
	uint32_t answered = MIN(backend->in_flight, 1);
	uint32_t total = report->running + report->waiting;
	const struct backend_report own = {
		.at_us = before(now_us, transit_us),
		.total = total - MIN(total, answered),
		.work_percent = report->work_percent,
		.source = BACKEND_REPORT_OWN,
	};
	bool is_new = report->work_percent && find_speed(table, backend);

	if (!coordinates && !report->work_percent) {
		backend->reports.newest.at_us = 0;
		return false;
	}
	note_speed(&backend->reports, report->work_percent, own.at_us);
	if (report->has_load)
		note(backend, &own, backend->in_flight - answered, transit_us);
	return is_new;
}

/* Keeps what the region knows; peers send the same to other regions. */
static void note_told(struct backend_reports *reports,
		      const struct backend_report *report)
{
	if (report->at_us > reports->told.at_us)
		reports->told = *report;
	if (is_refresh(report, reports->told_far_us))
		reports->told_far_us = report->at_us;
}

bool backend_note_peer_report(struct backend_table *table,
			      struct backend *backend,
			      const struct backend_report *report,
			      uint64_t transit_us, uint64_t now_us)
{
	if (!is_valid(report, now_us))
		return false;
	if (report->work_percent)
		find_speed(table, backend);
	note_speed(&backend->reports, report->work_percent, report->at_us);
	if (report->source == BACKEND_REPORT_RECEIVED)
		note_told(&backend->reports, report);
	return note(backend, report, backend->in_flight, transit_us);
}

bool backend_has_report(const struct backend *backend, uint64_t now_us)
{
	return is_valid(&backend->reports.newest, now_us);
}

double backend_reported_others(const struct backend *backend, uint64_t now_us)
{
	const struct backend_reports *reports = &backend->reports;
	double others = (double)reports->newest.total - reports->own_in_flight;
	double age_us;

	if (!backend_has_report(backend, now_us))
		return 0;
	age_us = (double)now_us - (double)reports->newest.at_us;
	return fmax(0, others) *
	       exp(-fmax(0, age_us - HOLD_LOAD_US) / LOAD_DECAY_US);
}

void backend_assume_others(struct backend *backend, double others)
{
	backend->reports.assumed_others = others;
}

void backend_forget_reports(struct backend_table *table, const char *service)
{
	const GPtrArray *servers = backend_table_by_service(table, service);
	guint i;

	for (i = 0; servers && i < servers->len; i++) {
		struct backend *backend = servers->pdata[i];

		backend->reports.newest.at_us = 0;
		backend->reports.assumed_others = 0;
	}
}

double backend_speed(const struct backend *backend, uint64_t now_us)
{
	const struct backend_reports *reports = &backend->reports;
	double age_us = (double)now_us - (double)reports->speed_us;
	double trust;

	if (!reports->speed || age_us >= BACKEND_REPORT_VALID_US)
		return 1.0;
	trust = 1.0 - (age_us - SPEED_FRESH_US) / reports->speed->hold_us;
	trust = CLAMP(trust, 0.0, 1.0);
	return fmax(SPEED_MIN,
		    1.0 + trust * (reports->work_percent / 100.0 - 1.0));
}

static bool has_changed(const struct backend *backend)
{
	const struct backend_report *newest = &backend->reports.newest;
	const struct backend_report *told = &backend->reports.told;
	double change = fabs((double)newest->total - told->total);

	return change >=
		       fmax(CHANGED_REQUESTS, CHANGED_SLOTS * backend->slots) ||
	       differs_in_speed(newest->work_percent, told->work_percent);
}

bool backend_report_is_due(const struct backend *backend, uint64_t now_us)
{
	const struct backend_reports *reports = &backend->reports;

	if (!backend_has_report(backend, now_us) ||
	    reports->newest.source == BACKEND_REPORT_RECEIVED ||
	    reports->newest.at_us <= reports->told.at_us)
		return false;
	return is_refresh(&reports->newest, reports->told.at_us) ||
	       has_changed(backend);
}

void backend_report_sent(struct backend *backend)
{
	struct backend_reports *reports = &backend->reports;

	if (reports->newest.source == BACKEND_REPORT_OWN &&
	    is_refresh(&reports->newest, reports->told_far_us)) {
		reports->told_far_us = reports->newest.at_us;
		reports->far_pending = true;
	}
	reports->told = reports->newest;
}
