/*
 * steer - choice of the place for one service's requests at an entry node
 *
 * Home comes first while it has headroom and isn't slow. Then the least
 * expected time decides (link there and back, queue, service, what was
 * learned), spread by spare headroom over the places that come close to it,
 * within shifts' and links' limits. The place's gate has the last word.
 * steer_place has what is known of one place, steer_shift the ramp of a shift.
 *
 * A request with home F that goes to T, by share or because F is full, counts
 * under the shift from F to T where there is one: the cap holds for both.
 *
 * Pure; not thread-safe: the owner's lock guards it. One service has one class,
 * so refusals and throttling are kept by place. steer_choose() takes constant
 * time while home has headroom, else time in the order of the places that are
 * near enough to matter, and allocates nothing.
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

/* A place as configuration describes it to one entry node. */
struct steer_place_spec {
	const char *name; /* what was learned is kept by it; NULL: by index */
	uint32_t place; /* index in the configuration */
	uint64_t one_way_us; /* from this entry node's place */
	uint32_t link_limit_per_s; /* of this entry node; 0 is no limit */
	uint32_t slots; /* configured, of all backend servers there */
	bool drained;
	uint32_t link; /* places of one number share the limit; 0: its own */
};

/* A shift as one entry node carries it out. */
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
	uint64_t deadline_us; /* on the clock */
	uint32_t tried[REQUEST_MAX_ATTEMPTS]; /* places already tried */
	uint32_t tried_count;
	uint32_t draw; /* random, decides shares; the owner's generator */
};

/* Why a place was chosen, for operators and traces. */
enum steer_rule {
	STEER_HOME, /* home has headroom */
	STEER_LEAST_TIME, /* home hasn't; least expected time */
	STEER_SHIFT, /* a shift's share */
	STEER_LAST_RESORT, /* nothing is known to have headroom */
	STEER_REFUSED,
	STEER_RULE_COUNT,
};

struct steer_choice {
	enum steer_rule rule;
	uint32_t place; /* CONFIG_NONE if refused */
	uint32_t shift; /* index in the specs, or CONFIG_NONE */
	uint64_t expected_us;
	enum result refusal; /* where refused */
	uint64_t retry_after_us; /* where refused */
};

/* What the entry node saw of its request at a place's gate. */
struct steer_feedback {
	uint32_t place;
	uint32_t shift; /* as chosen, or CONFIG_NONE */
	enum result result;
	uint64_t latency_us; /* hop and all */
	uint64_t retry_after_us; /* that a refusal named; 0 if none */
};

/* What an entry node knows of one place, for operators. */
struct steer_place_view {
	uint32_t place;
	uint64_t one_way_us;
	struct gate_summary report;
	uint64_t report_age_us; /* UINT64_MAX: never reported */
	uint64_t expected_us;
	bool drained;
	bool failing; /* left because of failures */
};

const char *steer_rule_name(enum steer_rule rule);

struct steer *steer_new(void);
void steer_free(struct steer *steer);

/* Replace the places; what was learned of those that stay is kept. */
void steer_set_places(struct steer *steer, const struct steer_place_spec *specs,
		      uint32_t count, uint64_t now_us);

/* Replace the shifts; a shift that stays (by id) keeps its ramp. */
void steer_set_shifts(struct steer *steer, const struct steer_shift_spec *specs,
		      uint32_t count, uint64_t now_us);

/* A place's report, made age_us ago; an older one than known is ignored. */
void steer_report(struct steer *steer, uint32_t place,
		  const struct gate_summary *report, uint64_t age_us,
		  uint64_t now_us);

void steer_choose(struct steer *steer, const struct steer_request *request,
		  uint64_t now_us, struct steer_choice *choice);

/* What steer_choose() would answer now; nothing is accounted. */
void steer_explain(struct steer *steer, const struct steer_request *request,
		   uint64_t now_us, struct steer_choice *choice);

/* Every choice that named a place is followed by one feedback. */
void steer_record(struct steer *steer, const struct steer_feedback *feedback,
		  uint64_t now_us);

/* View of the index-th place; false past the last one. */
bool steer_view(const struct steer *steer, uint32_t index, uint64_t now_us,
		struct steer_place_view *view);

/* Share that the ramp of the index-th shift allows now, in permille. */
uint32_t steer_shift_share(const struct steer *steer, uint32_t index,
			   uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
