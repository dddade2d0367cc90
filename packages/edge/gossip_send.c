#include "edge/backend_row.h"
#include "edge/gossip_parts.h"

#include <string.h>

#include "core/duration.h"

/*
 * Where there are more members than the first, each round's beat goes to the
 * region's reader and draws some of the region, and what is heard is passed on.
 */
#define ALL_MOST 12
#define NEAR_DRAWN 12

/* Members of each other region that a beat goes to; one of them may be dead. */
#define FAR_DRAWN 3

/* Lives passed on beside one's own, where they aren't many. */
#define FEW_LIVES 2

/*
 * Datagrams of changes at one time, of up to 1.4 KB, for each Mbit/s of the
 * link: five times a second they fill nine tenths of it. What would take more
 * isn't told; the neighbours ask for it, since their digests differ.
 */
#define CHANGE_DATAGRAMS_PER_MBPS 16

struct datagram {
	uv_udp_send_t request;
	GBytes *bytes;
};

static void add_life(struct beat *beat, const struct member *member)
{
	struct beat_life *life = &beat->lives[beat->life_count++];

	life->member = member->hash;
	life->number = member->beat;
	life->leaving = member->leaving;
}

static void add_lives(struct gossip *gossip, struct beat *beat, uint32_t most)
{
	struct member_table *members = gossip->edge->members;
	uint32_t count = member_table_count(members);
	GHashTableIter iter;
	gpointer value;
	uint32_t i = 0;

	add_life(beat, members->self);
	g_hash_table_iter_init(&iter, members->by_name);
	while (beat->life_count <= most && beat->life_count < BEAT_MAX_LIVES &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		if (value != members->self &&
		    member_serves(members, value, edge_now_us(gossip->edge)) &&
		    (count <= most || i++ >= gossip->relay_at % count))
			add_life(beat, value);
	}
	gossip->relay_at += most;
}

static void add_loads(const struct edge *edge, struct beat *beat)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (beat->load_count < BEAT_MAX_LOADS &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;
		struct beat_load *load = &beat->loads[beat->load_count];

		if (!backend->in_flight)
			continue;
		load->backend = backend->life;
		load->in_flight = backend->in_flight;
		beat->load_count++;
	}
}

/* When the server will be warm; 0: it is, or must be by now. */
static uint16_t ready_ms(const struct warm_news *news, uint64_t now_us)
{
	if (news->ready_us <= now_us)
		return 0;
	return (uint16_t)MIN((news->ready_us - now_us) / US_PER_MS + 1,
			     UINT16_MAX);
}

/*
 * As many as fit move from the news into the beat. One whose first request must
 * have ended since isn't told: whether it is warm is news of its own.
 */
static void move_news(GArray *news, struct beat *beat, uint64_t now_us)
{
	guint taken;

	for (taken = 0; taken < news->len && beat->pair_count < BEAT_MAX_PAIRS;
	     taken++) {
		const struct warm_news *one =
			&g_array_index(news, struct warm_news, taken);
		struct beat_pair *pair = &beat->pairs[beat->pair_count];

		pair->pair = one->pair;
		pair->ready_ms = ready_ms(one, now_us);
		if (!one->ready_us || pair->ready_ms)
			beat->pair_count++;
	}
	g_array_remove_range(news, 0, taken);
}

static void on_sent(uv_udp_send_t *request, int status)
{
	struct datagram *datagram = request->data;

	(void)status; /* a lost beat is made up for by the next */
	g_bytes_unref(datagram->bytes);
	g_free(datagram);
}

static void send_to(struct gossip *gossip, const struct member *member,
		    GBytes *bytes)
{
	struct datagram *datagram = g_new0(struct datagram, 1);
	struct sockaddr_in address;
	gsize length;
	uv_buf_t buffer;

	buffer.base = (char *)g_bytes_get_data(bytes, &length);
	buffer.len = length;
	datagram->request.data = datagram;
	datagram->bytes = g_bytes_ref(bytes);
	uv_ip4_addr(member->peer.address, member->peer.port, &address);
	if (uv_udp_send(&datagram->request, &gossip->udp, &buffer, 1,
			(const struct sockaddr *)&address, on_sent))
		on_sent(&datagram->request, UV_EINVAL);
}

static bool is_near(const struct edge *edge, const struct member *member)
{
	return !strcmp(member->region, edge->settings.region);
}

bool gossip_reads_for_others(const struct gossip *gossip)
{
	const struct edge *edge = gossip->edge;

	return member_table_reads(edge->members, edge_now_us(edge));
}

/* Whether this round's beat goes to the neighbour. */
static bool is_drawn(const struct edge *edge, const struct member *member,
		     const struct member *reader)
{
	uint32_t count = member_table_count(edge->members);

	/* Whoever reads for its region is heard by all of it, and hears all. */
	if (count <= ALL_MOST || reader == edge->members->self ||
	    member == reader)
		return true;
	return g_random_int_range(0, (gint32)count) < NEAR_DRAWN;
}

static GPtrArray *members_of(const struct gossip *gossip, bool near)
{
	const struct edge *edge = gossip->edge;
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, edge->members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (member != edge->members->self && member->peer.port &&
		    is_near(edge, member) == near)
			g_ptr_array_add(list, value);
	}
	return list;
}

static void send_near(struct gossip *gossip, const struct beat *beat)
{
	const struct edge *edge = gossip->edge;
	const struct member *reader =
		member_table_reader(edge->members, edge_now_us(edge));
	GPtrArray *near = members_of(gossip, true);
	GBytes *bytes = beat_encode(beat);
	guint i;

	for (i = 0; i < near->len; i++)
		if (is_drawn(edge, near->pdata[i], reader))
			send_to(gossip, near->pdata[i], bytes);
	g_bytes_unref(bytes);
	g_ptr_array_unref(near);
}

static void shuffle(GPtrArray *list)
{
	guint i;

	for (i = list->len; i > 1; i--) {
		guint other = (guint)g_random_int_range(0, (gint32)i);
		gpointer last = list->pdata[i - 1];

		list->pdata[i - 1] = list->pdata[other];
		list->pdata[other] = last;
	}
}

/* To a few members of each other region, which pass it on there. */
static void send_far(struct gossip *gossip, const struct beat *beat)
{
	GHashTable *sent = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *far = members_of(gossip, false);
	GBytes *bytes = beat_encode(beat);
	guint i;

	shuffle(far);
	for (i = 0; i < far->len; i++) {
		const struct member *member = far->pdata[i];
		guint count = GPOINTER_TO_UINT(
			g_hash_table_lookup(sent, member->region));

		if (count >= FAR_DRAWN)
			continue;
		g_hash_table_insert(sent, member->region,
				    GUINT_TO_POINTER(count + 1));
		send_to(gossip, member, bytes);
	}
	g_hash_table_destroy(sent);
	g_bytes_unref(bytes);
	g_ptr_array_unref(far);
}

void gossip_sign(struct gossip *gossip, struct beat *beat)
{
	add_life(beat, gossip->edge->members->self);
}

void gossip_send_to_one(struct gossip *gossip, const struct member *member,
			const struct beat *beat)
{
	GBytes *bytes = beat_encode(beat);

	send_to(gossip, member, bytes);
	g_bytes_unref(bytes);
}

void gossip_send_to_all(struct gossip *gossip, const struct beat *beat)
{
	const struct member_table *members = gossip->edge->members;
	GBytes *bytes = beat_encode(beat);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (member != members->self && member->peer.port)
			send_to(gossip, member, bytes);
	}
	g_bytes_unref(bytes);
}

void gossip_send_to_some(struct gossip *gossip, const struct beat *beat)
{
	send_near(gossip, beat);
	send_far(gossip, beat);
}

static void add_change(const struct edge *edge, const char *id,
		       struct beat *beat)
{
	const struct backend *backend = backend_table_find(edge->backends, id);
	struct beat_row *row = &beat->rows[beat->row_count++];

	g_strlcpy(row->id, id, sizeof(row->id));
	if (backend)
		backend_row_fill(backend, edge_now_us(edge), row);
	else
		row->version =
			backend_table_removed_version(edge->backends, id);
}

static void tell_some(struct gossip *gossip, const GPtrArray *changes,
		      guint from, guint count)
{
	struct beat beat = { .life_count = 0 };
	guint i;

	add_life(&beat, gossip->edge->members->self);
	for (i = 0; i < count; i++)
		add_change(gossip->edge, changes->pdata[from + i], &beat);
	send_near(gossip, &beat);
}

/* How many changes may be told at one time, to so many neighbours. */
static guint changes_most(const struct edge *edge, guint neighbours)
{
	double datagrams = CHANGE_DATAGRAMS_PER_MBPS * edge->settings.link_mbps;
	guint beats = (guint)(datagrams / MAX(neighbours, 1));

	return BEAT_MAX_ROWS * MAX(beats, 1);
}

void gossip_tell_changes(struct gossip *gossip)
{
	GPtrArray *changes = backend_table_take_changes(gossip->edge->backends);
	GPtrArray *near = members_of(gossip, true);
	guint at;

	if (gossip_reads_for_others(gossip) &&
	    changes->len <= changes_most(gossip->edge, near->len))
		for (at = 0; at < changes->len; at += BEAT_MAX_ROWS)
			tell_some(gossip, changes, at,
				  MIN(BEAT_MAX_ROWS, changes->len - at));
	g_ptr_array_unref(near);
	g_ptr_array_unref(changes);
}

void gossip_beat_near(struct gossip *gossip)
{
	struct edge *edge = gossip->edge;
	struct beat beat = { .life_count = 0 };

	add_lives(gossip, &beat,
		  gossip->rounds % GOSSIP_FAR_EVERY ? FEW_LIVES :
						      BEAT_MAX_LIVES - 1);
	add_loads(edge, &beat);
	move_news(edge->warmth.news, &beat, edge_now_us(edge));
	if (gossip->sync && gossip_reads_for_others(gossip))
		beat.vouch_count =
			sync_fill_digests(gossip->sync, beat.vouches);
	send_near(gossip, &beat);
}

void gossip_beat_far(struct gossip *gossip)
{
	struct beat beat = { .life_count = 0 };

	add_lives(gossip, &beat, FEW_LIVES);
	move_news(gossip->edge->warmth.far_news, &beat,
		  edge_now_us(gossip->edge));
	send_far(gossip, &beat);
}
