#include "core/region_plan.h"

#include <math.h>
#include <string.h>

#include "core/hash.h"

static void clear_part(gpointer data)
{
	struct region_part *part = data;

	g_free(part->name);
}

struct region_plan *region_plan_new(void)
{
	struct region_plan *plan = g_new0(struct region_plan, 1);

	plan->parts = g_array_new(FALSE, TRUE, sizeof(struct region_part));
	g_array_set_clear_func(plan->parts, clear_part);
	return plan;
}

void region_plan_free(struct region_plan *plan)
{
	g_array_unref(plan->parts);
	g_free(plan);
}

static struct region_part *part_at(const struct region_plan *plan, guint i)
{
	return &g_array_index(plan->parts, struct region_part, i);
}

static struct region_part *part_of(struct region_plan *plan, const char *name)
{
	struct region_part added = { .name = NULL };
	guint i;

	for (i = 0; i < plan->parts->len; i++)
		if (!strcmp(part_at(plan, i)->name, name))
			return part_at(plan, i);
	added.name = g_strdup(name);
	added.hash = hash_text(name);
	g_array_append_val(plan->parts, added);
	return part_at(plan, i);
}

struct need_sums {
	double slots;
	double demand;
	double room; /* what others can run beyond their own demand */
};

/* What the region can run at the fleet's mean utilization. */
static double fair_demand(const struct region_need *need,
			  const struct need_sums *sums)
{
	return sums->demand * need->slots / sums->slots;
}

static double room_of(const struct region_need *need,
		      const struct need_sums *sums)
{
	return fmax(0, fair_demand(need, sums) - need->demand);
}

static double wanted_share(const struct region_need *need,
			   const struct need_sums *sums)
{
	if (need->slots <= 0)
		return 1;
	if (need->demand <= 0)
		return 0;
	return fmax(0, 1 - fair_demand(need, sums) / need->demand);
}

static struct need_sums sum_needs(const char *own, const GArray *needs)
{
	struct need_sums sums = { .slots = 0 };
	guint i;

	for (i = 0; i < needs->len; i++) {
		sums.slots += g_array_index(needs, struct region_need, i).slots;
		sums.demand +=
			g_array_index(needs, struct region_need, i).demand;
	}
	for (i = 0; sums.slots > 0 && i < needs->len; i++) {
		const struct region_need *need =
			&g_array_index(needs, struct region_need, i);

		if (strcmp(need->name, own) != 0)
			sums.room += room_of(need, &sums);
	}
	return sums;
}

/* Without room anywhere, a share that still leaves keeps its destinations. */
static void want_part(struct region_plan *plan, const struct region_need *need,
		      const struct need_sums *sums)
{
	struct region_part *part = part_of(plan, need->name);

	part->listed = true;
	if (need->slots <= 0)
		part->wanted = part->share = 0;
	else if (sums->room > 0)
		part->wanted = room_of(need, sums) / sums->room;
}

static void drop_unlisted(struct region_plan *plan)
{
	guint i = plan->parts->len;

	while (i--)
		if (!part_at(plan, i)->listed)
			g_array_remove_index_fast(plan->parts, i);
}

/* Regions that lost their slots, or their servers, give theirs to the others.
 */
static void scale_parts(struct region_plan *plan)
{
	double sum = 0;
	guint i;

	for (i = 0; i < plan->parts->len; i++)
		sum += part_at(plan, i)->share;
	for (i = 0; i < plan->parts->len; i++) {
		struct region_part *part = part_at(plan, i);

		part->share = plan->share *
			      (sum > 0 ? part->share / sum : part->wanted);
	}
}

/* What the part lacks, in the direction of the sign; else 0. */
static double missing(const struct region_plan *plan,
		      const struct region_part *part, double sign)
{
	return fmax(0, sign * (plan->wanted * part->wanted - part->share));
}

static double sum_missing(const struct region_plan *plan, double sign)
{
	double sum = 0;
	guint i;

	for (i = 0; i < plan->parts->len; i++)
		sum += missing(plan, part_at(plan, i), sign);
	return sum;
}

/* Gives all parts that lack some this much in total; sign -1: takes it. */
static void add_to_parts(struct region_plan *plan, double amount, double sign)
{
	double all = sum_missing(plan, sign);
	guint i;

	for (i = 0; all > 0 && i < plan->parts->len; i++) {
		struct region_part *part = part_at(plan, i);

		part->share += sign * amount * missing(plan, part, sign) / all;
	}
}

/*
 * First the share that leaves, since a region with few servers is filled by a
 * small part of its requests; then the parts of the other regions.
 */
static void move_shares(struct region_plan *plan, double max_moved)
{
	double sign = plan->wanted > plan->share ? 1 : -1;
	double moved = fmin(max_moved, fabs(plan->wanted - plan->share));
	double swapped;

	add_to_parts(plan, moved, sign);
	plan->share += sign * moved;
	swapped = fmin(max_moved - moved,
		       fmin(sum_missing(plan, 1), sum_missing(plan, -1)));
	add_to_parts(plan, swapped, 1);
	add_to_parts(plan, swapped, -1);
}

void region_plan_update(struct region_plan *plan, const char *own,
			const GArray *needs, double max_moved, uint64_t now_us)
{
	const struct need_sums sums = sum_needs(own, needs);
	bool was_known = plan->known;
	guint i;

	plan->updated_us = now_us;
	plan->known = sums.slots > 0 && sums.demand > 0;
	if (!plan->known)
		return;
	for (i = 0; i < plan->parts->len; i++)
		part_at(plan, i)->listed = false;
	plan->wanted = 0;
	for (i = 0; i < needs->len; i++) {
		const struct region_need *need =
			&g_array_index(needs, struct region_need, i);

		if (strcmp(need->name, own) != 0)
			want_part(plan, need, &sums);
		else
			plan->wanted = wanted_share(need, &sums);
	}
	drop_unlisted(plan);
	scale_parts(plan);
	move_shares(plan, was_known ? max_moved : 1);
}

void region_plan_leave_lost(struct region_plan *plan)
{
	if (plan->known && plan->wanted > plan->share)
		move_shares(plan, 1);
}

const char *region_plan_destination(const struct region_plan *plan,
				    uint32_t object)
{
	const char *best = NULL;
	double best_score = 0;
	guint i;

	for (i = 0; i < plan->parts->len; i++) {
		const struct region_part *part = part_at(plan, i);
		double uniform = ((double)hash_pair(part->hash, object) + 1.0) /
				 18446744073709551617.0;
		double score = -part->share / log(uniform);

		if (score > best_score) {
			best = part->name;
			best_score = score;
		}
	}
	return best;
}
