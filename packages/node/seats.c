#include "node/seats.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/result.h"

#define SEATS_TABLE "seats"
#define SEAT_KEY_SIZE (ID_SIZE + 16)

static struct shift_seat *find_seat(struct node *node, const char *shift,
				    uint32_t rank)
{
	guint i;

	for (i = 0; i < node->seats->len; i++) {
		struct shift_seat *entry = g_ptr_array_index(node->seats, i);

		if (entry->rank == rank && !strcmp(entry->shift, shift))
			return entry;
	}
	return NULL;
}

bool seats_admit(struct node *node, const char *shift)
{
	bool admitted = false;
	uint64_t now_us;
	guint i;

	pthread_mutex_lock(&node->seats_lock);
	/*
	 * Read under the lock: a thread that was held up between the clock and
	 * the lock would else count its admission in a second that is over.
	 */
	now_us = state_now_us(node);
	for (i = 0; !admitted && i < node->seats->len; i++) {
		struct shift_seat *entry = g_ptr_array_index(node->seats, i);

		admitted = entry->wanted && !strcmp(entry->shift, shift) &&
			   seat_admit(entry->seat, now_us);
	}
	pthread_mutex_unlock(&node->seats_lock);
	if (admitted)
		log_event(LOG_DEBUG, "shift-admitted",
			  "shift=%s at_us=%" PRIu64, shift, now_us);
	return admitted;
}

static void want_seat(struct node *node, const struct config_shift *shift,
		      uint32_t rank, bool own)
{
	uint32_t part = seat_quota(shift->cap_per_s, rank, shift->seats);
	struct shift_seat *entry = find_seat(node, shift->id, rank);
	char holder[NAME_SIZE + 20];

	if (!entry) {
		g_snprintf(holder, sizeof(holder), "%s:%" G_GINT64_MODIFIER "x",
			   node->settings->name, node->incarnation);
		entry = g_new0(struct shift_seat, 1);
		g_strlcpy(entry->shift, shift->id, ID_SIZE);
		entry->rank = rank;
		entry->seat = seat_new(holder, part);
		g_ptr_array_add(node->seats, entry);
	}
	seat_set_quota(entry->seat, part);
	entry->own = own;
	entry->wanted = true;
}

/*
 * This node's rank among the nodes of its place that take work, so that each
 * seat has one natural holder; CONFIG_NONE for a drained node. No shifted
 * request is sent to a drained node, and a seat that it held would lie idle.
 */
static uint32_t own_rank(const struct snapshot *snapshot)
{
	const struct config *config = snapshot->config;
	uint32_t rank = 0;
	uint32_t i;

	if (config->nodes[snapshot->own_node].drained)
		return CONFIG_NONE;
	for (i = 0; i < snapshot->own_node; i++)
		if (config->nodes[i].place == snapshot->own_place &&
		    !config->nodes[i].drained)
			rank++;
	return rank;
}

/*
 * A node has the seat of its own rank, and watches the one after it in case
 * its holder is gone. Were all to watch all, a place of n nodes would cost the
 * platform n * n reads in each round.
 */
static void want_seats(struct node *node, const struct snapshot *snapshot)
{
	const struct config *config = snapshot->config;
	uint32_t rank = own_rank(snapshot);
	uint32_t i;

	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];

		if (shift->to != snapshot->own_place || rank >= shift->seats)
			continue;
		want_seat(node, shift, rank, true);
		if (shift->seats > 1)
			want_seat(node, shift, (rank + 1) % shift->seats,
				  false);
	}
}

static void agree_with_config(struct node *node)
{
	struct snapshot *snapshot = snapshot_get(node);
	guint i;

	pthread_mutex_lock(&node->seats_lock);
	for (i = 0; i < node->seats->len; i++) {
		struct shift_seat *entry = g_ptr_array_index(node->seats, i);

		entry->wanted = false;
	}
	if (snapshot && snapshot->own_node != CONFIG_NONE)
		want_seats(node, snapshot);
	for (i = node->seats->len; i-- > 0;) {
		struct shift_seat *entry = g_ptr_array_index(node->seats, i);

		if (!entry->wanted)
			g_ptr_array_remove_index_fast(node->seats, i);
	}
	pthread_mutex_unlock(&node->seats_lock);
	snapshot_put(snapshot);
}

static void read_row(struct node *node, const char *key, struct seat *seat)
{
	struct platform_row row = { 0, NULL };

	if (!platform_read(node->platform, SEATS_TABLE, key, &row, NULL))
		return;
	pthread_mutex_lock(&node->seats_lock);
	seat_row_read(seat, row.version, row.value, state_now_us(node));
	pthread_mutex_unlock(&node->seats_lock);
	platform_row_release(&row);
}

static void write_row(struct node *node, const char *key, struct seat *seat,
		      const struct seat_step *step)
{
	uint64_t sent_us = state_now_us(node);
	uint64_t version = 0;

	if (!platform_write(node->platform, SEATS_TABLE, key, step->value,
			    step->expected_version, &version, NULL))
		version = 0;
	pthread_mutex_lock(&node->seats_lock);
	seat_row_written(seat, version, sent_us, state_now_us(node));
	pthread_mutex_unlock(&node->seats_lock);
}

/* Only the loop that keeps the seats adds or removes them. */
static void keep_seat(struct node *node, struct shift_seat *entry)
{
	char key[SEAT_KEY_SIZE];
	struct seat_step step;

	g_snprintf(key, sizeof(key), "%s/%u", entry->shift, entry->rank);
	pthread_mutex_lock(&node->seats_lock);
	seat_next_step(entry->seat, entry->own, state_now_us(node), &step);
	pthread_mutex_unlock(&node->seats_lock);
	if (step.action == SEAT_READ)
		read_row(node, key, entry->seat);
	else if (step.action == SEAT_WRITE)
		write_row(node, key, entry->seat, &step);
}

void seats_keep(struct node *node)
{
	guint i;

	agree_with_config(node);
	for (i = 0; i < node->seats->len; i++) {
		struct shift_seat *entry = g_ptr_array_index(node->seats, i);

		keep_seat(node, entry);
	}
}

void seats_give_up(struct node *node)
{
	guint i;

	pthread_mutex_lock(&node->seats_lock);
	for (i = 0; i < node->seats->len; i++) {
		struct shift_seat *entry = g_ptr_array_index(node->seats, i);

		seat_release(entry->seat);
	}
	pthread_mutex_unlock(&node->seats_lock);
}
