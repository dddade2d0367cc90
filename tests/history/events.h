/*
 * events - the history of a run, read from what its processes wrote
 *
 * Two kinds of lines: JSON objects of callers, backend servers' stand-ins and
 * the run's driver ("operator"), and the nodes' own log lines of key=value
 * pairs. JSON times are on CLOCK_BOOTTIME; the logs' real time is brought to it
 * by an offset. Lines that occur twice count once; a last line without its end
 * is what a killed process left and is ignored.
 */
#ifndef HISTORY_EVENTS_H
#define HISTORY_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum event_kind {
	/* callers */
	EVENT_INVOKE,
	EVENT_ANSWER,
	EVENT_REFUSED,
	EVENT_UNKNOWN,
	EVENT_WRONG,
	/* backend servers */
	EVENT_START,
	EVENT_END,
	EVENT_SHED,
	/* nodes */
	EVENT_NODE_STARTED,
	EVENT_CONFIG_IN_FORCE,
	EVENT_SHIFT_ADMITTED,
	/* the driver: what it did and was told */
	EVENT_ACCEPTED, /* command with id and version */
	EVENT_SHIFT, /* id and cap */
	EVENT_SLOTS, /* backend and slots */
	EVENT_LEAVING, /* backend, from now on */
	EVENT_RETURNED, /* backend, back in service */
	EVENT_STOP, /* node is told to stop */
	EVENT_STOPPED, /* node has exited with status */
	EVENT_FAULT_FROM, /* of node, or of all where it names none */
	EVENT_FAULT_TO,
	EVENT_RUN_ENDED,
	EVENT_KIND_COUNT,
};

/* Texts are interned: equal ones are the same pointer; NULL where absent. */
struct event {
	enum event_kind kind;
	uint64_t t_us;
	uint64_t start_us; /* of EVENT_END */
	const char *id;
	const char *ticket;
	const char *service;
	const char *node;
	const char *backend;
	const char *reason;
	uint64_t version;
	uint64_t number; /* cap, slots or status */
	uint64_t cuts;
};

struct events {
	GArray *all; /* struct event, by time once sorted */
	GHashTable *lines; /* seen before */
	uint32_t unreadable;
	int64_t real_time_offset_us; /* real time minus CLOCK_BOOTTIME */
};

struct events *events_new(int64_t real_time_offset_us);
void events_free(struct events *events);

/* Take the lines of a whole file in. */
void events_add_text(struct events *events, const char *text, size_t len);

/* By time; events of one time stay in the order in which they were added. */
void events_sort(struct events *events);

#ifdef __cplusplus
}
#endif

#endif
