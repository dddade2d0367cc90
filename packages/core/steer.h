/*
 * steer - choice of the place for one service's requests at an entry node
 *
 * The home place, that of the caller, is chosen while it has headroom and isn't
 * slow. Otherwise the place with the least expected time is chosen: round trip
 * over the link plus the larger of reported queue and service time and measured
 * latency. Places whose expected time is close to the least share the requests
 * in proportion to their spare headroom. Limits of shifts and links apply. The
 * gate of the chosen place may still refuse. steer_place estimates one place,
 * steer_shift ramps up one shift.
 *
 * A request with home F that goes to T counts against the cap of the shift from
 * F to T where there is one, whether it goes there by the shift's share or
 * because F is full.
 *
 * Does no I/O and reads no clock: time is passed in. Not thread-safe: the
 * owner's lock guards it. A service has one class, so refusals and throttling
 * are tracked by place only. steer_choose() takes constant time while home has
 * headroom, else time linear in the number of places that are near enough to
 * be candidates; it allocates nothing.
 *
 * Times are microseconds of the clock port.
 */
#ifndef CORE_STEER_H
#define CORE_STEER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/config.h"
#include "core/gate.h"
#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

struct steer;

/* Configuration of a place as one entry node sees it. */
struct steer_place_spec {
	const char *name; /* identifies the place when it is configured again;
			   * NULL: its index does */
	uint32_t place; /* index in the configuration */
	uint64_t one_way_us; /* link latency from this entry node's place */
	uint32_t link_limit_per_s; /* for this entry node; 0: no limit */
	uint32_t slots; /* configured total of the backend servers there */
	bool drained;
	uint32_t link; /* places with the same number share one limit; 0: not
			* shared */
};

/* Configuration of a shift: traffic moved from one home place to another. */
struct steer_shift_spec {
	const char *id;
	uint32_t from;
	uint32_t to;
	uint32_t share_permille;
	uint32_t cap_per_s;
};

struct steer_request {
	enum service_class class_of;
	uint32_t home; /* place of the caller, or CONFIG_NONE */
	uint64_t deadline_us; /* absolute */
	uint32_t tried[REQUEST_MAX_ATTEMPTS]; /* places already tried */
	uint32_t tried_count;
	uint32_t draw; /* random number from the owner, for shares */
};

/* Rule that made a choice, for operators and traces. */
enum steer_rule {
	STEER_HOME, /* home has headroom and isn't slow */
	STEER_LEAST_TIME, /* least expected time */
	STEER_SHIFT, /* within the share of a shift */
	STEER_LAST_RESORT, /* no place is known to have headroom */
	STEER_REFUSED,
	STEER_RULE_COUNT,
};

struct steer_choice {
	enum steer_rule rule;
	uint32_t place; /* CONFIG_NONE if refused */
	uint32_t shift; /* whose cap it counts against, or CONFIG_NONE; index in
			 * the specs */
	uint64_t expected_us; /* time until the answer */
	enum result refusal; /* reason, if refused */
	uint64_t retry_after_us; /* if refused */
};

/* Outcome of a request that was sent to a place. */
struct steer_feedback {
	uint32_t place;
	uint32_t shift; /* from the choice, or CONFIG_NONE */
	enum result result;
	uint64_t latency_us; /* as measured here, with the link */
	uint64_t retry_after_us; /* from a refusal; 0: none */
};

/* State of one place as this entry node knows it, for operators. */
struct steer_place_view {
	uint32_t place;
	uint64_t one_way_us;
	struct gate_summary report;
	uint64_t report_age_us; /* UINT64_MAX: never reported */
	uint64_t expected_us; /* time until an answer */
	bool drained;
	bool failing; /* gets trial requests only, after failures */
};

const char *steer_rule_name(enum steer_rule rule);

struct steer *steer_new(void);
void steer_free(struct steer *steer);

/* Replace the places; those that stay (by name) keep their learned state. */
void steer_set_places(struct steer *steer, const struct steer_place_spec *specs,
		      uint32_t count, uint64_t now_us);

/* Replace the shifts; those that stay (by id) keep their ramp. */
void steer_set_shifts(struct steer *steer, const struct steer_shift_spec *specs,
		      uint32_t count, uint64_t now_us);

/* Take a place's report made age_us ago; ignored if a newer one is known. */
void steer_report(struct steer *steer, uint32_t place,
		  const struct gate_summary *report, uint64_t age_us,
		  uint64_t now_us);

/*
 * Choose a place for the request, or refuse it, and account for the request.
 * steer_record() must follow once for each choice that names a place.
 */
void steer_choose(struct steer *steer, const struct steer_request *request,
		  uint64_t now_us, struct steer_choice *choice);

/* The choice that steer_choose() would make now, without accounting for it. */
void steer_explain(struct steer *steer, const struct steer_request *request,
		   uint64_t now_us, struct steer_choice *choice);

/* Record the outcome of a request that steer_choose() sent to a place. */
void steer_record(struct steer *steer, const struct steer_feedback *feedback,
		  uint64_t now_us);

/* Fill in view with the place at index, by distance; false past the last. */
bool steer_view(const struct steer *steer, uint32_t index, uint64_t now_us,
		struct steer_place_view *view);

/* Share of the shift at index that its ramp allows now, in permille. */
uint32_t steer_shift_share(const struct steer *steer, uint32_t index,
			   uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
