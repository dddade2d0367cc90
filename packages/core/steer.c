#include "core/steer.h"

#include <glib.h>
#include <string.h>

#include "core/steer_place.h"
#include "core/steer_shift.h"

#define PERMILLE 1000u

/* Places this close to the least expected time share the requests. */
#define BAND_DIVISOR 4
#define BAND_SLACK_US 1000ull

/* Places that may be skipped for one request because of the throttle. */
#define THROTTLED_MAX 4

/* Retry-after of refusals that no single place names a time for. */
#define RETRY_DEFAULT_US (1000 * 1000ull)
#define RETRY_THROTTLED_US (200 * 1000ull)

/* Each random decision hashes the request's draw with another salt. */
enum salt {
	SALT_SHIFT = 1,
	SALT_SPREAD,
	SALT_THROTTLE,
};

struct steer {
	struct steer_place *places; /* sorted by one_way_us */
	struct steer_estimate *estimates; /* scratch, one for each place */
	uint32_t *position; /* in places, by place index; or CONFIG_NONE */
	struct steer_shift *shifts;
	uint32_t place_count;
	uint32_t position_count;
	uint32_t shift_count;
};

/* State of one choice in progress. */
struct selection {
	const struct steer_request *request;
	uint64_t now_us;
	uint32_t estimated_count; /* nearest places, with valid estimates */
	uint32_t throttled_count; /* places skipped by the throttle */
	uint32_t throttled_positions[THROTTLED_MAX];
	enum result reason; /* of highest refusal_priority() so far */
	uint64_t retry_after_us; /* least so far; 0: none */
};

static const char *const rule_names[STEER_RULE_COUNT] = {
	[STEER_HOME] = "home",	     [STEER_LEAST_TIME] = "least-time",
	[STEER_SHIFT] = "shift",     [STEER_LAST_RESORT] = "last-resort",
	[STEER_REFUSED] = "refused",
};

static uint32_t mix(uint32_t draw, enum salt salt)
{
	uint32_t mixed = draw + (uint32_t)salt * 0x9e3779b9u;

	mixed ^= mixed >> 16;
	mixed *= 0x85ebca6bu;
	mixed ^= mixed >> 13;
	mixed *= 0xc2b2ae35u;
	return mixed ^ mixed >> 16;
}

/* A number below bound, evenly distributed over the draws. */
static uint32_t draw_below(uint32_t draw, enum salt salt, uint32_t bound)
{
	return (uint32_t)((uint64_t)mix(draw, salt) * bound >> 32);
}

static uint32_t find_position(const struct steer *steer, uint32_t place)
{
	if (place >= steer->position_count)
		return CONFIG_NONE;
	return steer->position[place];
}

static struct steer_place *find_place(const struct steer *steer, uint32_t place)
{
	uint32_t position = find_position(steer, place);

	return position == CONFIG_NONE ? NULL : &steer->places[position];
}

static uint32_t find_shift(const struct steer *steer, uint32_t from,
			   uint32_t to)
{
	uint32_t i;

	for (i = 0; i < steer->shift_count; i++)
		if (steer->shifts[i].from == from && steer->shifts[i].to == to)
			return i;
	return CONFIG_NONE;
}

/* The existing state of the place that spec describes, or NULL. */
static const struct steer_place *
find_previous(const struct steer *steer, const struct steer_place_spec *spec)
{
	uint32_t i;

	if (!spec->name)
		return find_place(steer, spec->place);
	for (i = 0; i < steer->place_count; i++)
		if (!strcmp(steer->places[i].name, spec->name))
			return &steer->places[i];
	return NULL;
}

static int compare_places(const void *a, const void *b)
{
	const struct steer_place *one = a;
	const struct steer_place *other = b;

	if (one->spec.one_way_us != other->spec.one_way_us)
		return one->spec.one_way_us < other->spec.one_way_us ? -1 : 1;
	if (one->spec.place != other->spec.place)
		return one->spec.place < other->spec.place ? -1 : 1;
	return 0;
}

/* Places behind the same link share one token bucket. */
static void share_links(struct steer *steer)
{
	struct steer_place *place;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < steer->place_count; i++) {
		place = &steer->places[i];
		place->link = &place->link_bucket;
		for (j = 0; j < i && place->spec.link; j++)
			if (steer->places[j].spec.link == place->spec.link) {
				place->link = &steer->places[j].link_bucket;
				break;
			}
	}
}

static void index_places(struct steer *steer)
{
	uint32_t position_count = 0;
	uint32_t i;

	for (i = 0; i < steer->place_count; i++)
		if (steer->places[i].spec.place >= position_count)
			position_count = steer->places[i].spec.place + 1;
	g_free(steer->position);
	steer->position = g_new(uint32_t, position_count);
	steer->position_count = position_count;
	/* A service that has no slots anywhere has no places either. */
	if (position_count)
		memset(steer->position, 0xff,
		       position_count * sizeof(*steer->position));
	for (i = 0; i < steer->place_count; i++)
		steer->position[steer->places[i].spec.place] = i;
}

static bool was_tried(const struct steer_request *request, uint32_t place)
{
	uint32_t i;

	for (i = 0; i < request->tried_count; i++)
		if (request->tried[i] == place)
			return true;
	return false;
}

static bool was_throttled(const struct selection *selection, uint32_t position)
{
	uint32_t i;

	for (i = 0; i < selection->throttled_count; i++)
		if (selection->throttled_positions[i] == position)
			return true;
	return false;
}

/* Where places differ, the most informative reason is returned. */
static int refusal_priority(enum result reason)
{
	switch (reason) {
	case RESULT_OVERLOAD:
		return 3;
	case RESULT_DEADLINE_TOO_SHORT:
		return 2;
	case RESULT_NO_PLACE:
		return 1;
	default:
		return 0;
	}
}

static void record_refusal(struct selection *selection, enum result reason,
			   uint64_t retry_after_us)
{
	if (refusal_priority(reason) > refusal_priority(selection->reason))
		selection->reason = reason;
	if (!selection->retry_after_us ||
	    retry_after_us < selection->retry_after_us)
		selection->retry_after_us = retry_after_us;
}

/* Whether a shift from the request's home to the place has reached its cap. */
static bool shift_cap_reached(struct steer *steer, struct selection *selection,
			      uint32_t place)
{
	uint32_t shift;

	if (selection->request->home == CONFIG_NONE || !steer->shift_count ||
	    selection->request->home == place)
		return false;
	shift = find_shift(steer, selection->request->home, place);
	return shift != CONFIG_NONE &&
	       !steer_shift_cap_allows(&steer->shifts[shift],
				       selection->now_us);
}

static void estimate_place(struct steer *steer, struct selection *selection,
			   uint32_t position)
{
	struct steer_place *place = &steer->places[position];
	struct steer_estimate *estimate = &steer->estimates[position];
	const struct steer_request *request = selection->request;
	struct steer_place_request place_request = { request->class_of,
						     request->home ==
							     place->spec.place,
						     request->deadline_us };

	if (was_tried(request, place->spec.place) ||
	    was_throttled(selection, position)) {
		estimate->availability = STEER_CLOSED;
		return;
	}
	steer_place_estimate(place, &place_request, selection->now_us,
			     estimate);
	if (estimate->availability == STEER_CLOSED) {
		record_refusal(selection, estimate->reason,
			       estimate->retry_after_us);
	} else if (shift_cap_reached(steer, selection, place->spec.place)) {
		estimate->availability = STEER_CLOSED;
		record_refusal(selection, RESULT_OVERLOAD, RETRY_DEFAULT_US);
	}
}

static uint64_t band_us(uint64_t least_us)
{
	return least_us + least_us / BAND_DIVISOR + BAND_SLACK_US;
}

/*
 * Estimate the places, nearest first, until the round trip alone takes longer
 * than the least expected time found so far and its band. Returns the least
 * expected time of the places with this availability.
 */
static uint64_t estimate_nearby(struct steer *steer,
				struct selection *selection,
				enum steer_availability availability)
{
	uint64_t least_us = UINT64_MAX / 2;
	uint64_t link_us;
	uint32_t i;

	for (i = 0; i < steer->place_count; i++) {
		link_us = 2 * steer->places[i].spec.one_way_us;
		if (link_us > band_us(least_us))
			break;
		estimate_place(steer, selection, i);
		if (steer->estimates[i].availability == availability &&
		    steer->estimates[i].expected_us < least_us)
			least_us = steer->estimates[i].expected_us;
	}
	selection->estimated_count = i;
	return least_us;
}

static uint32_t spread_weight(const struct steer *steer, uint32_t position,
			      enum steer_availability availability,
			      uint64_t max_us)
{
	const struct steer_estimate *estimate = &steer->estimates[position];

	if (estimate->availability != availability ||
	    estimate->expected_us > max_us)
		return 0;
	return availability == STEER_HEADROOM ? estimate->spare : 1;
}

/*
 * Pick at random among the places close to the least time, weighted by spare
 * headroom. Otherwise all entry nodes, which act on the same slightly old
 * reports, would pick the one best place and overload it.
 */
static uint32_t pick_within_band(const struct steer *steer,
				 const struct selection *selection,
				 enum steer_availability availability,
				 uint64_t least_us)
{
	uint64_t max_us = band_us(least_us);
	uint64_t sum = 0;
	uint64_t point;
	uint32_t i;

	for (i = 0; i < selection->estimated_count; i++)
		sum += spread_weight(steer, i, availability, max_us);
	if (!sum)
		return CONFIG_NONE;
	if (sum > UINT32_MAX)
		sum = UINT32_MAX;
	point = draw_below(selection->request->draw, SALT_SPREAD,
			   (uint32_t)sum);
	for (i = 0; i < selection->estimated_count; i++) {
		sum = spread_weight(steer, i, availability, max_us);
		if (point < sum)
			return i;
		point -= sum;
	}
	return CONFIG_NONE;
}

/* Home, if it has headroom and isn't slow; estimates no other place. */
static uint32_t pick_home(struct steer *steer, struct selection *selection)
{
	uint32_t home = find_position(steer, selection->request->home);
	const struct steer_place *place;
	const struct steer_estimate *estimate;
	uint64_t base_us;
	uint64_t place_latency_us;

	if (home == CONFIG_NONE)
		return CONFIG_NONE;
	estimate_place(steer, selection, home);
	place = &steer->places[home];
	estimate = &steer->estimates[home];
	if (estimate->availability != STEER_HEADROOM)
		return CONFIG_NONE;
	base_us = steer_place_base_us(place);
	place_latency_us = estimate->expected_us - 2 * place->spec.one_way_us;
	return steer_is_slow(place_latency_us, base_us) ? CONFIG_NONE : home;
}

/* Least expected time of the estimated places that would queue the request. */
static uint64_t least_queue_us(const struct steer *steer,
			       const struct selection *selection)
{
	const struct steer_estimate *estimate;
	uint64_t least_us = UINT64_MAX / 2;
	uint32_t i;

	for (i = 0; i < selection->estimated_count; i++) {
		estimate = &steer->estimates[i];
		if (estimate->availability == STEER_QUEUE &&
		    estimate->expected_us < least_us)
			least_us = estimate->expected_us;
	}
	return least_us;
}

/*
 * The place with headroom and the least time, or home if queueing there takes
 * no longer. If home is closed, a place with a queue is picked instead if
 * that takes no longer.
 */
static uint32_t pick_least_time(struct steer *steer,
				struct selection *selection)
{
	uint64_t least_us = estimate_nearby(steer, selection, STEER_HEADROOM);
	uint32_t home = find_position(steer, selection->request->home);
	uint32_t picked =
		pick_within_band(steer, selection, STEER_HEADROOM, least_us);
	uint64_t queue_us;

	if (picked == CONFIG_NONE || home >= selection->estimated_count)
		return picked;
	if (steer->estimates[home].availability == STEER_QUEUE &&
	    steer->places[home].reported &&
	    steer->estimates[home].expected_us <= least_us)
		return home;
	if (steer->estimates[home].availability != STEER_CLOSED)
		return picked;
	queue_us = least_queue_us(steer, selection);
	if (queue_us > least_us)
		return picked;
	return pick_within_band(steer, selection, STEER_QUEUE, queue_us);
}

/* Whether the round trip to the place exceeds the base latency at home. */
static bool is_far(const struct steer *steer, uint32_t position, uint32_t home)
{
	uint64_t link_us = 2 * steer->places[position].spec.one_way_us;

	return link_us > steer_place_base_us(&steer->places[home]);
}

/*
 * No place is known to have headroom: pick the shortest queue, or a place that
 * never reported. If home is overloaded, nothing goes to far queues: the far
 * places would send their requests here in turn, which delays all of them and
 * relieves no place. The request is refused so that the caller retries later.
 */
static uint32_t pick_last_resort(const struct steer *steer,
				 const struct selection *selection)
{
	uint32_t home = find_position(steer, selection->request->home);
	uint32_t picked = pick_within_band(steer, selection, STEER_QUEUE,
					   least_queue_us(steer, selection));

	if (picked != CONFIG_NONE && home < selection->estimated_count &&
	    steer->estimates[home].overloaded && is_far(steer, picked, home))
		return CONFIG_NONE;
	return picked;
}

/* The shift whose share the draw falls in, or CONFIG_NONE. */
static uint32_t draw_shift(struct steer *steer,
			   const struct selection *selection)
{
	const struct steer_request *request = selection->request;
	uint32_t point = draw_below(request->draw, SALT_SHIFT, PERMILLE);
	struct steer_shift *shift;
	struct steer_place *to;
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < steer->shift_count; i++) {
		shift = &steer->shifts[i];
		if (shift->from != request->home)
			continue;
		to = find_place(steer, shift->to);
		if (to)
			steer_shift_step(shift, to, selection->now_us);
		sum += steer_shift_ramp(shift, to, selection->now_us);
		if (point < sum)
			return i;
	}
	return CONFIG_NONE;
}

/*
 * The receiving place of a shift, if the request falls in its share and there
 * is headroom. A request that was already tried at a place isn't shifted.
 */
static uint32_t pick_shift(struct steer *steer, struct selection *selection)
{
	uint32_t shift;
	uint32_t position;

	if (!steer->shift_count || selection->request->home == CONFIG_NONE ||
	    selection->request->tried_count)
		return CONFIG_NONE;
	shift = draw_shift(steer, selection);
	if (shift == CONFIG_NONE)
		return CONFIG_NONE;
	position = find_position(steer, steer->shifts[shift].to);
	estimate_place(steer, selection, position);
	if (steer->estimates[position].availability != STEER_HEADROOM)
		return CONFIG_NONE;
	return position;
}

/* The place by the first rule that yields one; the throttle isn't applied. */
static uint32_t pick(struct steer *steer, struct selection *selection,
		     enum steer_rule *rule)
{
	uint32_t position = pick_shift(steer, selection);

	*rule = STEER_SHIFT;
	if (position != CONFIG_NONE)
		return position;
	*rule = STEER_HOME;
	position = pick_home(steer, selection);
	if (position != CONFIG_NONE)
		return position;
	*rule = STEER_LEAST_TIME;
	position = pick_least_time(steer, selection);
	if (position != CONFIG_NONE)
		return position;
	*rule = STEER_LAST_RESORT;
	return pick_last_resort(steer, selection);
}

/*
 * Pick places until one passes the throttle. Each refusal by a place costs a
 * hop, so most requests that a place would refuse aren't sent there.
 */
static uint32_t pick_unthrottled(struct steer *steer,
				 struct selection *selection,
				 enum steer_rule *rule)
{
	uint32_t chance;
	uint32_t position;

	chance = draw_below(selection->request->draw, SALT_THROTTLE, 65536);
	for (;;) {
		position = pick(steer, selection, rule);
		if (position == CONFIG_NONE ||
		    !steer_place_throttled(&steer->places[position], chance,
					   selection->now_us))
			return position;
		record_refusal(selection, RESULT_OVERLOAD, RETRY_THROTTLED_US);
		if (selection->throttled_count == THROTTLED_MAX)
			return CONFIG_NONE;
		selection->throttled_positions[selection->throttled_count++] =
			position;
	}
}

static void refuse(struct steer_choice *choice, enum result refusal,
		   uint64_t retry_after_us)
{
	choice->rule = STEER_REFUSED;
	choice->place = CONFIG_NONE;
	choice->refusal = refusal;
	choice->retry_after_us = retry_after_us;
}

static void fill_choice(struct steer *steer, const struct selection *selection,
			uint32_t position, struct steer_choice *choice)
{
	uint32_t home = selection->request->home;

	choice->place = steer->places[position].spec.place;
	choice->expected_us = steer->estimates[position].expected_us;
	if (home != CONFIG_NONE && home != choice->place)
		choice->shift = find_shift(steer, home, choice->place);
}

/* Make the choice without accounting for it; returns the place's position. */
static uint32_t decide(struct steer *steer, struct selection *selection,
		       struct steer_choice *choice)
{
	uint32_t position;

	memset(choice, 0, sizeof(*choice));
	choice->shift = CONFIG_NONE;
	if (selection->now_us >= selection->request->deadline_us) {
		refuse(choice, RESULT_DEADLINE_EXPIRED, 0);
		return CONFIG_NONE;
	}
	position = pick_unthrottled(steer, selection, &choice->rule);
	if (position != CONFIG_NONE) {
		fill_choice(steer, selection, position, choice);
		return position;
	}
	if (!selection->reason)
		selection->reason = RESULT_NO_PLACE;
	if (!selection->retry_after_us)
		selection->retry_after_us = RETRY_DEFAULT_US;
	refuse(choice, selection->reason, selection->retry_after_us);
	return CONFIG_NONE;
}

const char *steer_rule_name(enum steer_rule rule)
{
	if ((unsigned int)rule >= STEER_RULE_COUNT)
		return "unknown";
	return rule_names[rule];
}

struct steer *steer_new(void)
{
	return g_new0(struct steer, 1);
}

void steer_free(struct steer *steer)
{
	if (!steer)
		return;
	g_free(steer->places);
	g_free(steer->estimates);
	g_free(steer->position);
	g_free(steer->shifts);
	g_free(steer);
}

void steer_set_places(struct steer *steer, const struct steer_place_spec *specs,
		      uint32_t count, uint64_t now_us)
{
	struct steer_place *places = g_new0(struct steer_place, count);
	const struct steer_place *known;
	uint32_t i;

	for (i = 0; i < count; i++) {
		known = find_previous(steer, &specs[i]);
		if (known) {
			places[i] = *known;
			steer_place_configure(&places[i], &specs[i], now_us);
		} else {
			steer_place_init(&places[i], &specs[i], now_us);
		}
	}
	if (count)
		qsort(places, count, sizeof(*places), compare_places);
	g_free(steer->places);
	g_free(steer->estimates);
	steer->places = places;
	steer->estimates = g_new0(struct steer_estimate, count);
	steer->place_count = count;
	index_places(steer);
	share_links(steer);
}

void steer_set_shifts(struct steer *steer, const struct steer_shift_spec *specs,
		      uint32_t count, uint64_t now_us)
{
	struct steer_shift *shifts = g_new0(struct steer_shift, count);
	uint32_t i;
	uint32_t j;

	for (i = 0; i < count; i++) {
		steer_shift_init(&shifts[i], &specs[i], now_us);
		for (j = 0; j < steer->shift_count; j++) {
			if (strcmp(steer->shifts[j].id, specs[i].id) != 0)
				continue;
			shifts[i] = steer->shifts[j];
			steer_shift_configure(&shifts[i], &specs[i]);
		}
	}
	g_free(steer->shifts);
	steer->shifts = shifts;
	steer->shift_count = count;
}

void steer_report(struct steer *steer, uint32_t place,
		  const struct gate_summary *report, uint64_t age_us,
		  uint64_t now_us)
{
	struct steer_place *known = find_place(steer, place);

	if (known)
		steer_place_report(known, report, age_us, now_us);
}

void steer_choose(struct steer *steer, const struct steer_request *request,
		  uint64_t now_us, struct steer_choice *choice)
{
	struct selection selection = { .request = request, .now_us = now_us };
	uint32_t position = decide(steer, &selection, choice);
	uint32_t i;

	for (i = 0; i < selection.throttled_count; i++)
		steer_place_count_throttled(
			&steer->places[selection.throttled_positions[i]]);
	if (position == CONFIG_NONE)
		return;
	steer_place_send(&steer->places[position], now_us);
	if (choice->shift != CONFIG_NONE)
		steer_shift_send(&steer->shifts[choice->shift]);
}

void steer_explain(struct steer *steer, const struct steer_request *request,
		   uint64_t now_us, struct steer_choice *choice)
{
	struct selection selection = { .request = request, .now_us = now_us };

	decide(steer, &selection, choice);
}

void steer_record(struct steer *steer, const struct steer_feedback *feedback,
		  uint64_t now_us)
{
	struct steer_place *place = find_place(steer, feedback->place);
	struct steer_shift *shift;

	if (!place)
		return;
	steer_place_record(place, feedback, now_us);
	if (feedback->shift >= steer->shift_count)
		return;
	shift = &steer->shifts[feedback->shift];
	if (shift->to == feedback->place)
		steer_shift_record(shift, place, feedback, now_us);
}

bool steer_view(const struct steer *steer, uint32_t index, uint64_t now_us,
		struct steer_place_view *view)
{
	const struct steer_place *place;

	if (index >= steer->place_count)
		return false;
	place = &steer->places[index];
	view->place = place->spec.place;
	view->one_way_us = place->spec.one_way_us;
	view->report = place->report;
	view->report_age_us = UINT64_MAX;
	if (place->reported)
		view->report_age_us = now_us - place->report_made_us;
	view->expected_us = steer_place_expected_us(place, now_us);
	view->drained = place->spec.drained;
	view->failing = place->failing;
	return true;
}

uint32_t steer_shift_share(const struct steer *steer, uint32_t index,
			   uint64_t now_us)
{
	const struct steer_shift *shift;

	if (index >= steer->shift_count)
		return 0;
	shift = &steer->shifts[index];
	return steer_shift_ramp(shift, find_place(steer, shift->to), now_us);
}
