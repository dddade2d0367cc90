/*
 * backend_report - load and speed of a backend server as its responses told
 *
 * Kept for servers of services that coordinate (backend_table_coordinates):
 * the newest report of each, from a response to this node or to another one.
 * Also decides which reports are worth sending to peers. Not thread-safe.
 */
#ifndef CORE_BACKEND_REPORT_H
#define CORE_BACKEND_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Age from which a report counts as none. */
#define BACKEND_REPORT_VALID_US (2 * 1000 * 1000ull)

/* Times of this node's latest requests that are kept for each server. */
#define BACKEND_BEGUN_LOG_SIZE 16

struct backend;
struct backend_table;
struct load_report;

/* Where a report was learned from, which decides where it is sent. */
enum backend_report_source {
	BACKEND_REPORT_OWN, /* a response to this node: sent to all regions */
	BACKEND_REPORT_RELAYED, /* a peer of another region: sent in this one */
	BACKEND_REPORT_RECEIVED, /* a peer of this region: not sent */
};

struct backend_report {
	uint64_t at_us; /* when the server issued it; 0: none */
	uint32_t total; /* requests running and waiting there */
	uint32_t work_percent; /* see struct load_report */
	enum backend_report_source source;
};

/* State of the reports of one server. */
struct backend_reports {
	struct backend_report newest;
	uint32_t own_in_flight; /* this node's requests that it counts */
	/* Others' requests there, assumed while no report counts. */
	double assumed_others;
	struct backend_report told; /* newest one known to the whole region */
	uint64_t told_far_us; /* at_us of the one last sent to other regions */
	bool far_pending; /* to be sent to other regions by this node */

	/* Ring of the times at which this node's latest requests began. */
	uint64_t begun_us[BACKEND_BEGUN_LOG_SIZE];
	uint32_t begun_next;

	uint32_t work_percent; /* of the newest one that told it; 0: none did */
	uint64_t speed_us; /* at_us of that report */
	uint32_t level_percent; /* of the first report at about this speed */
	uint64_t level_us; /* at_us of that report */
	struct service_speed *speed; /* of its service; NULL: untold */
};

/* How the speed of a service's servers changes, learned from reports. */
struct service_speed {
	double hold_us; /* time between two changes of a server's speed */
};

/*
 * Notes the report in a response to this node, before the request is ended by
 * backend_end(): the server counts it, too. transit_us is the time that the
 * response was on its way, and that a request takes. Returns whether it is the
 * first report of the service that tells a speed.
 */
bool backend_note_own_report(struct backend_table *table,
			     struct backend *backend, bool coordinates,
			     const struct load_report *report,
			     uint64_t transit_us, uint64_t now_us);

/*
 * Notes a report of a peer, for a service that coordinates. Returns whether it
 * is news: not older than the newest known, and valid.
 */
bool backend_note_peer_report(struct backend_table *table,
			      struct backend *backend,
			      const struct backend_report *report,
			      uint64_t transit_us, uint64_t now_us);

/* Whether there is a report that counts. */
bool backend_has_report(const struct backend *backend, uint64_t now_us);

/*
 * Requests of other nodes there by the newest report; 0 if there is none. Held
 * for a second, then decaying.
 */
double backend_reported_others(const struct backend *backend, uint64_t now_us);

/*
 * Sets the others' requests to be assumed while no report of the server counts:
 * a server of which nobody tells would otherwise seem idle, and all nodes would
 * choose it.
 */
void backend_assume_others(struct backend *backend, double others);

/* Drops reports and assumptions of a service that coordinates no more. */
void backend_forget_reports(struct backend_table *table, const char *service);

/* Factor on the usual service time as believed now; 1: usual or unknown. */
double backend_speed(const struct backend *backend, uint64_t now_us);

/*
 * Whether the newest report should be sent within the region. If it is, note
 * that by backend_report_sent(), which also decides whether it is to be sent to
 * other regions.
 */
bool backend_report_is_due(const struct backend *backend, uint64_t now_us);
void backend_report_sent(struct backend *backend);

#ifdef __cplusplus
}
#endif

#endif
