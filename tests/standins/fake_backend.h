/*
 * fake_backend - stand-in for one backend server
 *
 * Serves as docs/DESIGN.md says. A request takes a slot, waits in a short
 * queue or is shed with 503 and "X-Not-Run: 1", which is true. Its service
 * time is drawn (log-normal around the backend server's own), is longer while
 * the backend server is cold, and ends early at the request's deadline (504)
 * or when its connection is closed. The answer has "X-Ran: N" and names the
 * backend server, the request id and how often that id ran.
 *
 * Faults, by fake_backend_control():
 *
 *   "slow_permille"  service times are that much of their usual (1000)
 *   "frozen"         true: requests are taken and not answered; they go on
 *                    once it is false, if their connections still stand
 *   "silent"         true: the connections open now never answer again, what
 *                    runs on them still runs, and what comes on them doesn't
 *                    reach the backend server; new connections work
 *   "shed"           true: all work is shed
 *   "unhealthy"      true: /health answers 503; work is done as before
 *   "leaving"        true: /load says so; what comes is done as before, and
 *                    counted ("late_starts"), so that a check can see it
 *   "down"           true: connections are reset and refused; false starts it
 *                    again, cold
 *   "cold"           true: cold from now on
 *   "claimed_load"   /load claims so many in flight; negative: the truth
 *   "stale_load"     true: /load stays as it is now
 *   "drop_answers"   so many of the next requests run and their connections
 *                    are closed without an answer
 */
#ifndef STANDINS_FAKE_BACKEND_H
#define STANDINS_FAKE_BACKEND_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"
#include "standins/event_log.h"
#include "standins/run_book.h"
#include "standins/standin.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fake_backend_spec {
	char name[NAME_SIZE];
	char service[NAME_SIZE];
	struct standin_endpoint endpoint;
	uint32_t slots;
	uint32_t queue; /* requests that may wait for a slot */
	uint32_t threads; /* connections served at a time */
	uint64_t service_us; /* typical, at strength 1000 */
	uint32_t strength_permille; /* a stronger one is faster */
	uint32_t cold_requests; /* so many are slower after a start */
	uint32_t cold_permille; /* of the usual time, at the first one */
	uint32_t seed; /* of the service times */
};

struct fake_backend;

/* The run book and the log are shared and outlive the backend server. */
struct fake_backend *fake_backend_open(const struct fake_backend_spec *spec,
				       struct run_book *book,
				       struct event_log *log, GError **error);
void fake_backend_close(struct fake_backend *backend);

const struct fake_backend_spec *
fake_backend_spec_of(const struct fake_backend *backend);

/* Set the faults that the object names; the others stay. */
bool fake_backend_control(struct fake_backend *backend, const json_t *faults,
			  GError **error);

/* Counters: started, answered, shed, cancelled, expired, late_starts, … */
json_t *fake_backend_describe(struct fake_backend *backend);

#ifdef __cplusplus
}
#endif

#endif
