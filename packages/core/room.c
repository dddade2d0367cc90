#include "core/room.h"

#include <math.h>
#include <string.h>

#include "core/admission.h"
#include "core/duration.h"
#include "core/hash.h"

/* Time in which a request's weight in a demand falls by the factor e. */
#define DEMAND_MEMORY_US (1 * US_PER_S)

/*
 * The same for the served share: long enough to average some dozen requests at
 * a node with a few per second.
 */
#define SERVED_MEMORY_US (2 * US_PER_S)

/* Requests taken to be served at first, so that a few rejections don't count */
#define SERVED_PRIOR 5.0

/*
 * Sums over the fleet are computed anew after this time: half of that between
 * two reports of a peer. Computed for each request they would cost more than
 * the choice of a server.
 */
#define SUM_LIFE_US (200 * US_PER_MS)

/* Demand from which a priority counts as in use. */
#define MIN_LEVEL_PER_S 0.2

/* How long an objective bounds lower priorities after its latest request. */
#define TARGET_LIFE_US (1 * US_PER_S)

/* Least part of the served share that each class and account keeps. */
#define KEPT_FRACTION 0.25

/*
 * Bounds of the credit for it in requests. Below -2 it would take too many
 * rejected requests to become due; above 2, requests of a starved class would
 * be admitted in bursts.
 */
#define CREDIT_MIN (-2.0)
#define CREDIT_MAX 2.0

/*
 * Step of the late factor. A response above it raises it by nearly as much, one
 * below lowers it by a twentieth of that: at two dozen responses a second it
 * rises by a half within half a second and falls as much in 4 s. With half the
 * step, 5.1 in 100 of the admitted were late at 1.5 times the room; with this
 * one, 4.4.
 */
#define LATE_STEP 0.1
#define LATE_QUANTILE 0.95
#define LATE_FACTOR_MAX 2.0

/*
 * Part of the admitted rate that is left to callers that return after a
 * rejection: they are late already, whereas new requests can be in time.
 */
#define RETURN_FRACTION 0.2

/*
 * Served shares at which a service becomes short of room and recovers, and the
 * least time between two such changes.
 */
#define SHORT_SHARE 0.9
#define RECOVERED_SHARE 0.98
#define MIN_CHANGE_US (5 * US_PER_S)

/* Accounts without recent requests are forgotten below this rate. */
#define MIN_ACCOUNT_PER_S 0.001

/* A decaying number of requests. */
struct recent {
	double count;
	uint64_t at_us;
};

struct level {
	struct recent offered;
	double credit;
	double target_us; /* shortest recent objective */
	uint64_t target_at_us; /* 0: none seen */
	double allowed_us; /* of the latest request */
	uint64_t rejected[ROOM_REJECTIONS];
};

struct account_state {
	struct recent offered;
	double credit;
	uint64_t rejected[ROOM_REJECTIONS];
};

struct report {
	struct room_demand demand;
	uint64_t at_us; /* when the sender counted */
	uint32_t told; /* times that a node of the region told it, since the
			  last room_take_region_reports() */
};

/* Sums over all nodes known. */
struct sums {
	double per_s[ROOM_LEVELS];
	double all_per_s;
	GHashTable *accounts; /* hash -> rate, a double */
	double fair_per_s; /* most that an account gets; infinite: no limit */
	uint64_t at_us; /* 0: to be computed */
};

struct room {
	uint32_t region; /* hash of this node's */
	uint32_t near_nodes;
	struct level levels[ROOM_LEVELS];
	GHashTable *accounts; /* hash -> struct account_state */
	GHashTable *peers; /* sender -> struct report */
	GHashTable *regions; /* hash of a region -> struct report */
	struct recent offered; /* over SERVED_MEMORY_US, as admitted */
	struct recent admitted;
	double late_factor;
	struct admission_retry_schedule returns;
	struct sums sums;
	bool is_short;
	uint64_t changed_us;
};

/* --- rates -------------------------------------------------------------- */

static double recent_count(const struct recent *recent, uint64_t memory_us,
			   uint64_t now_us)
{
	double passed_us =
		now_us > recent->at_us ? (double)(now_us - recent->at_us) : 0;

	return recent->count * exp(-passed_us / (double)memory_us);
}

static void recent_add(struct recent *recent, uint64_t memory_us,
		       uint64_t now_us)
{
	recent->count = recent_count(recent, memory_us, now_us) + 1;
	recent->at_us = now_us;
}

static double demand_per_s(const struct recent *recent, uint64_t now_us)
{
	return recent_count(recent, DEMAND_MEMORY_US, now_us) *
	       (double)US_PER_S / (double)DEMAND_MEMORY_US;
}

/* --- the object --------------------------------------------------------- */

struct room *room_new(const char *region)
{
	struct room *room = g_new0(struct room, 1);

	room->region = hash_text(region);
	room->near_nodes = 1;
	room->late_factor = 1;
	room->accounts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	room->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	room->regions = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	room->sums.accounts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return room;
}

void room_free(struct room *room)
{
	if (!room)
		return;
	g_hash_table_destroy(room->accounts);
	g_hash_table_destroy(room->peers);
	g_hash_table_destroy(room->regions);
	g_hash_table_destroy(room->sums.accounts);
	g_free(room);
}

static uint32_t level_of(uint32_t priority)
{
	return MIN(priority, ROOM_LEVELS - 1);
}

static struct account_state *find_account(const struct room *room,
					  uint32_t account)
{
	return g_hash_table_lookup(room->accounts, GUINT_TO_POINTER(account));
}

static struct account_state *account_of(struct room *room, uint32_t account)
{
	struct account_state *state = find_account(room, account);

	if (!state) {
		state = g_new0(struct account_state, 1);
		g_hash_table_insert(room->accounts, GUINT_TO_POINTER(account),
				    state);
	}
	return state;
}

/* --- reports ------------------------------------------------------------ */

static bool is_expired(const struct report *report, uint64_t now_us)
{
	return now_us - report->at_us >= ROOM_REPORT_LIFE_US;
}

/* Stores a report unless a newer one is known; returns what is known then. */
static struct report *store_report(GHashTable *reports, uint32_t key,
				   const struct room_demand *demand,
				   uint64_t age_us, uint64_t now_us)
{
	struct report *report =
		g_hash_table_lookup(reports, GUINT_TO_POINTER(key));
	uint64_t at_us = now_us - MIN(age_us, now_us);

	if (age_us >= ROOM_REPORT_LIFE_US || (report && at_us <= report->at_us))
		return report;
	if (!report) {
		report = g_new0(struct report, 1);
		g_hash_table_insert(reports, GUINT_TO_POINTER(key), report);
	}
	report->demand = *demand;
	report->at_us = at_us;
	return report;
}

void room_set_near_nodes(struct room *room, uint32_t near_nodes)
{
	room->near_nodes = MAX(near_nodes, 1);
}

void room_apply_report(struct room *room, uint32_t sender,
		       const struct room_demand *demand, uint64_t age_us,
		       uint64_t now_us)
{
	store_report(room->peers, sender, demand, age_us, now_us);
}

void room_apply_region_report(struct room *room, uint32_t region,
			      const struct room_demand *demand, uint64_t age_us,
			      bool is_relayed, uint64_t now_us)
{
	struct report *report;

	if (region == room->region)
		return;
	report = store_report(room->regions, region, demand, age_us, now_us);
	if (report && !is_relayed)
		report->told++;
}

static void expire(GHashTable *reports, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, reports);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_expired(value, now_us))
			g_hash_table_iter_remove(&iter);
}

static void forget_accounts(struct room *room, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, room->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct account_state *state = value;

		if (demand_per_s(&state->offered, now_us) < MIN_ACCOUNT_PER_S)
			g_hash_table_iter_remove(&iter);
	}
}

/* --- sums --------------------------------------------------------------- */

static void add_account(GHashTable *accounts, uint32_t account, double per_s)
{
	double *sum = g_hash_table_lookup(accounts, GUINT_TO_POINTER(account));

	if (!sum) {
		sum = g_new0(double, 1);
		g_hash_table_insert(accounts, GUINT_TO_POINTER(account), sum);
	}
	*sum += per_s;
}

/* Each adds to rates by priority, and by account unless accounts is NULL. */
static void add_demand(double *per_s, GHashTable *accounts,
		       const struct room_demand *demand, double weight)
{
	uint32_t i;

	for (i = 0; i < ROOM_LEVELS; i++)
		per_s[i] += weight * demand->per_s[i];
	for (i = 0; accounts && i < demand->account_count; i++)
		add_account(accounts, demand->accounts[i].account,
			    weight * demand->accounts[i].per_s);
}

static void add_own(const struct room *room, double *per_s,
		    GHashTable *accounts, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	uint32_t i;

	for (i = 0; i < ROOM_LEVELS; i++)
		per_s[i] += demand_per_s(&room->levels[i].offered, now_us);
	if (!accounts)
		return;
	g_hash_table_iter_init(&iter, room->accounts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct account_state *state = value;

		add_account(accounts, GPOINTER_TO_UINT(key),
			    demand_per_s(&state->offered, now_us));
	}
}

/* Nodes of the region besides this one, per one whose report is known. */
static double peer_weight(const struct room *room, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t heard = 0;

	g_hash_table_iter_init(&iter, room->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		heard += !is_expired(value, now_us);
	return heard ? fmax(1.0, (room->near_nodes - 1.0) / heard) : 0;
}

static void add_near(const struct room *room, double *per_s,
		     GHashTable *accounts, uint64_t now_us)
{
	double weight = peer_weight(room, now_us);
	GHashTableIter iter;
	gpointer value;

	add_own(room, per_s, accounts, now_us);
	g_hash_table_iter_init(&iter, room->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct report *report = value;

		if (!is_expired(report, now_us))
			add_demand(per_s, accounts, &report->demand, weight);
	}
}

static double sum_levels(const double *per_s)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < ROOM_LEVELS; i++)
		sum += per_s[i];
	return sum;
}

static gint compare_demands(gconstpointer a, gconstpointer b)
{
	const struct room_account_demand *left = a;
	const struct room_account_demand *right = b;

	if (left->per_s != right->per_s)
		return left->per_s < right->per_s ? 1 : -1;
	return (left->account > right->account) -
	       (left->account < right->account);
}

/* The accounts, the largest first. */
static GArray *sort_accounts(GHashTable *accounts)
{
	GArray *sorted =
		g_array_new(FALSE, TRUE, sizeof(struct room_account_demand));
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, accounts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct room_account_demand demand = {
			GPOINTER_TO_UINT(key), *(const double *)value
		};

		g_array_append_val(sorted, demand);
	}
	g_array_sort(sorted, compare_demands);
	return sorted;
}

/*
 * Max-min fair share: the level at which accounts are cut so that they take
 * capacity_per_s together. rest_per_s is the demand of accounts that aren't
 * listed, each smaller than those that are, and of requests without an account.
 */
static double fair_level(const GArray *sorted, double rest_per_s,
			 double capacity_per_s)
{
	double left_per_s = capacity_per_s - rest_per_s;
	guint i;

	for (i = sorted->len; i > 0; i--) {
		double per_s =
			g_array_index(sorted, struct room_account_demand, i - 1)
				.per_s;

		if (per_s * i >= left_per_s)
			return fmax(left_per_s, 0) / i;
		left_per_s -= per_s;
	}
	return INFINITY;
}

static void compute_fair_share(struct room *room)
{
	struct sums *sums = &room->sums;
	GArray *sorted = sort_accounts(sums->accounts);
	double listed_per_s = 0;
	guint i;

	for (i = 0; i < sorted->len; i++)
		listed_per_s +=
			g_array_index(sorted, struct room_account_demand, i)
				.per_s;
	sums->fair_per_s =
		fair_level(sorted, fmax(sums->all_per_s - listed_per_s, 0),
			   room_served_share(room) * sums->all_per_s);
	g_array_unref(sorted);
}

static const struct sums *sums_of(struct room *room, uint64_t now_us)
{
	struct sums *sums = &room->sums;
	GHashTableIter iter;
	gpointer value;

	if (sums->at_us && now_us - sums->at_us < SUM_LIFE_US)
		return sums;
	expire(room->peers, now_us);
	expire(room->regions, now_us);
	forget_accounts(room, now_us);
	memset(sums->per_s, 0, sizeof(sums->per_s));
	g_hash_table_remove_all(sums->accounts);
	add_near(room, sums->per_s, sums->accounts, now_us);
	g_hash_table_iter_init(&iter, room->regions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct report *report = value;

		add_demand(sums->per_s, sums->accounts, &report->demand, 1);
	}
	sums->all_per_s = sum_levels(sums->per_s);
	sums->at_us = now_us;
	compute_fair_share(room);
	return sums;
}

/* --- reports to send ---------------------------------------------------- */

static void fill_accounts(GHashTable *accounts, struct room_demand *demand)
{
	GArray *sorted = sort_accounts(accounts);
	guint i;

	demand->account_count = MIN(sorted->len, ROOM_ACCOUNTS);
	for (i = 0; i < demand->account_count; i++)
		demand->accounts[i] =
			g_array_index(sorted, struct room_account_demand, i);
	g_array_unref(sorted);
}

/* add: add_own or add_near. */
static void fill_demand(const struct room *room,
			void (*add)(const struct room *room, double *per_s,
				    GHashTable *accounts, uint64_t now_us),
			struct room_demand *demand, uint64_t now_us)
{
	GHashTable *accounts = g_hash_table_new_full(NULL, NULL, NULL, g_free);

	memset(demand, 0, sizeof(*demand));
	add(room, demand->per_s, accounts, now_us);
	fill_accounts(accounts, demand);
	g_hash_table_destroy(accounts);
}

void room_own_demand(const struct room *room, struct room_demand *demand,
		     uint64_t now_us)
{
	fill_demand(room, add_own, demand, now_us);
}

void room_near_demand(const struct room *room, struct room_demand *demand,
		      uint64_t now_us)
{
	fill_demand(room, add_near, demand, now_us);
}

uint32_t room_take_region_reports(struct room *room,
				  struct room_region_report *reports,
				  uint32_t max_count, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, room->regions);
	while (count < max_count &&
	       g_hash_table_iter_next(&iter, &key, &value)) {
		struct report *report = value;
		uint32_t told = report->told;

		report->told = 0;
		if (told != 1 || is_expired(report, now_us))
			continue;
		reports[count].region = GPOINTER_TO_UINT(key);
		reports[count].age_us = now_us - report->at_us;
		reports[count++].demand = report->demand;
	}
	return count;
}

double room_region_demand(const struct room *room, const char *region,
			  uint64_t now_us)
{
	uint32_t hash = hash_text(region);
	double near_per_s[ROOM_LEVELS] = { 0 };
	const struct report *report;

	if (!room)
		return 0;
	if (hash == room->region) {
		add_near(room, near_per_s, NULL, now_us);
		return sum_levels(near_per_s);
	}
	report = g_hash_table_lookup(room->regions, GUINT_TO_POINTER(hash));
	return report && !is_expired(report, now_us) ?
		       sum_levels(report->demand.per_s) :
		       0;
}

/* --- requests ----------------------------------------------------------- */

static void add_credit(double *credit, double change)
{
	*credit = CLAMP(*credit + change, CREDIT_MIN, CREDIT_MAX);
}

void room_note_offered(struct room *room, const struct room_class *class_of,
		       uint64_t now_us)
{
	struct level *level = &room->levels[level_of(class_of->priority)];
	double kept = KEPT_FRACTION * room_served_share(room);

	recent_add(&room->offered, SERVED_MEMORY_US, now_us);
	recent_add(&level->offered, DEMAND_MEMORY_US, now_us);
	add_credit(&level->credit, kept);
	if (class_of->account) {
		struct account_state *state =
			account_of(room, class_of->account);

		recent_add(&state->offered, DEMAND_MEMORY_US, now_us);
		add_credit(&state->credit, kept);
	}
}

void room_note_admitted(struct room *room, const struct room_class *class_of,
			uint64_t now_us)
{
	struct account_state *state = find_account(room, class_of->account);

	recent_add(&room->admitted, SERVED_MEMORY_US, now_us);
	add_credit(&room->levels[level_of(class_of->priority)].credit, -1);
	if (state)
		add_credit(&state->credit, -1);
}

void room_note_rejected(struct room *room, const struct room_class *class_of,
			enum room_rejection reason)
{
	struct account_state *state = find_account(room, class_of->account);

	room->levels[level_of(class_of->priority)].rejected[reason]++;
	if (state)
		state->rejected[reason]++;
}

void room_note_response(struct room *room, double expected_us, double took_us)
{
	double above = took_us > room->late_factor * expected_us ? 1 : 0;

	if (!(expected_us > 0))
		return;
	room->late_factor += LATE_STEP * (above - (1 - LATE_QUANTILE));
	room->late_factor = CLAMP(room->late_factor, 1, LATE_FACTOR_MAX);
}

bool room_has_credit(const struct room *room, const struct room_class *class_of)
{
	const struct account_state *state =
		find_account(room, class_of->account);

	return room->levels[level_of(class_of->priority)].credit >= 1 ||
	       (state && state->credit >= 1);
}

/* --- the rule ----------------------------------------------------------- */

double room_served_share(const struct room *room)
{
	uint64_t now_us = MAX(room->offered.at_us, room->admitted.at_us);
	double offered = recent_count(&room->offered, SERVED_MEMORY_US, now_us);
	double admitted =
		recent_count(&room->admitted, SERVED_MEMORY_US, now_us);

	return fmin(1, (admitted + SERVED_PRIOR) / (offered + SERVED_PRIOR));
}

double room_late_factor(const struct room *room)
{
	return room->late_factor;
}

double room_higher_share(struct room *room, uint32_t priority, uint64_t now_us)
{
	const struct sums *sums = sums_of(room, now_us);
	uint32_t level = level_of(priority);
	double higher_per_s = 0;
	uint32_t i;

	for (i = 0; i < level; i++)
		higher_per_s += sums->per_s[i];
	return sums->all_per_s > 0 ? higher_per_s / sums->all_per_s : 0;
}

double room_account_factor(struct room *room, uint32_t account, uint64_t now_us)
{
	const struct sums *sums = sums_of(room, now_us);
	const double *per_s =
		g_hash_table_lookup(sums->accounts, GUINT_TO_POINTER(account));

	if (!account || !per_s || *per_s <= sums->fair_per_s)
		return 1;
	return sums->fair_per_s / *per_s;
}

/* Several routes may share a priority: the shortest objective is kept. */
static void note_target(struct level *level, double target_us, uint64_t now_us)
{
	if (level->target_at_us && target_us > level->target_us &&
	    now_us - level->target_at_us < TARGET_LIFE_US)
		return;
	level->target_us = target_us;
	level->target_at_us = now_us;
}

/*
 * Longest wait of a warm request of any higher priority at this server. A
 * longer objective of a low priority would let it fill the queue to where
 * requests of a higher one are late.
 */
static double higher_wait_us(struct room *room,
			     const struct room_request *request,
			     uint64_t now_us)
{
	const struct sums *sums = sums_of(room, now_us);
	uint32_t end = level_of(request->class_of.priority);
	double wait_us = INFINITY;
	uint32_t i;

	for (i = 0; i < end; i++) {
		const struct level *level = &room->levels[i];

		if (level->target_at_us && sums->per_s[i] >= MIN_LEVEL_PER_S)
			wait_us = fmin(wait_us, level->target_us -
							request->round_trip_us -
							request->warm_us);
	}
	return wait_us;
}

double room_allowed_wait_us(struct room *room,
			    const struct room_request *request, uint64_t now_us)
{
	const struct room_class *class_of = &request->class_of;
	struct level *level = &room->levels[level_of(class_of->priority)];
	double wait_us = request->target_us - request->spent_us -
			 request->round_trip_us - request->work_us;

	note_target(level, request->target_us, now_us);
	wait_us = fmin(wait_us, higher_wait_us(room, request, now_us));
	wait_us *= (1 - room_higher_share(room, class_of->priority, now_us)) *
		   room_account_factor(room, class_of->account, now_us) /
		   room->late_factor;
	level->allowed_us = wait_us;
	return wait_us;
}

uint64_t room_retry_after_us(struct room *room, double drain_us,
			     uint64_t patience_us, uint64_t now_us)
{
	double admitted_per_s =
		recent_count(&room->admitted, SERVED_MEMORY_US, now_us) *
		(double)US_PER_S / (double)SERVED_MEMORY_US;

	return admission_schedule_return_us(&room->returns,
					    (uint64_t)fmax(drain_us, 0),
					    RETURN_FRACTION * admitted_per_s,
					    patience_us, 1, now_us);
}

/* --- views -------------------------------------------------------------- */

void room_view(struct room *room, struct room_view *view, uint64_t now_us)
{
	const struct sums *sums = sums_of(room, now_us);
	uint32_t i;

	memset(view, 0, sizeof(*view));
	for (i = 0; i < ROOM_LEVELS; i++) {
		const struct level *level = &room->levels[i];

		view->per_s[i] = sums->per_s[i];
		view->own_level_per_s[i] =
			demand_per_s(&level->offered, now_us);
		view->own_per_s += view->own_level_per_s[i];
		view->allowed_wait_us[i] =
			level->target_at_us ? level->allowed_us : NAN;
		memcpy(view->rejected[i], level->rejected,
		       sizeof(level->rejected));
	}
	view->all_per_s = sums->all_per_s;
	view->peers = g_hash_table_size(room->peers);
	view->regions = g_hash_table_size(room->regions);
	view->late_factor = room->late_factor;
	view->served_share = room_served_share(room);
}

GArray *room_account_views(struct room *room, uint64_t now_us)
{
	GArray *sorted = sort_accounts(sums_of(room, now_us)->accounts);
	GArray *views =
		g_array_new(FALSE, TRUE, sizeof(struct room_account_view));
	guint i;

	for (i = 0; i < sorted->len; i++) {
		const struct room_account_demand *demand =
			&g_array_index(sorted, struct room_account_demand, i);
		const struct account_state *state =
			find_account(room, demand->account);
		struct room_account_view view = {
			.account = demand->account,
			.per_s = demand->per_s,
			.factor = room_account_factor(room, demand->account,
						      now_us),
		};

		if (state)
			memcpy(view.rejected, state->rejected,
			       sizeof(view.rejected));
		g_array_append_val(views, view);
	}
	g_array_unref(sorted);
	return views;
}

enum room_change room_take_change(struct room *room, uint64_t now_us)
{
	double share = room_served_share(room);
	bool is_short = room->is_short ? share < RECOVERED_SHARE :
					 share < SHORT_SHARE;

	if (is_short == room->is_short ||
	    (room->changed_us && now_us - room->changed_us < MIN_CHANGE_US))
		return ROOM_SAME;
	room->is_short = is_short;
	room->changed_us = now_us;
	return is_short ? ROOM_SHORT : ROOM_RECOVERED;
}

bool room_is_short(const struct room *room)
{
	return room->is_short;
}

const char *room_rejection_name(enum room_rejection reason)
{
	switch (reason) {
	case ROOM_QUEUE_LATE:
		return "queue-late";
	case ROOM_TOO_LATE:
		return "too-late";
	case ROOM_ALL_FULL:
		return "all-full";
	case ROOM_REJECTIONS:
		break;
	}
	return "unknown";
}
