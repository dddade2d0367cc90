#include "edge/backend_row.h"
#include "edge/gossip_internal.h"

#include <string.h>

#include "core/duration.h"

/*
 * Up to MAX_FULL_MESH members, each heartbeat goes to all peers of the region.
 * With more, it goes to the region's reader and to each other peer with
 * probability NEAR_PEERS / members; members relay each other's heartbeat
 * numbers.
 */
#define MAX_FULL_MESH 12
#define NEAR_PEERS 12

/*
 * Members of each other region that a heartbeat goes to; one of them may be
 * dead.
 */
#define FAR_PEERS 3

/* Members that a short heartbeat relays besides the sender. */
#define FEW_RELAYED 2

/*
 * Limit of datagrams with changes at one time, of up to 1.4 KB each, per Mbit/s
 * of the link: sent five times a second they fill nine tenths of it. More
 * changes than that aren't sent; peers request them since their digests differ.
 */
#define CHANGE_DATAGRAMS_PER_MBPS 16

struct datagram {
	uv_udp_send_t request;
	GBytes *bytes;
};

static void add_member(struct heartbeat *heartbeat, const struct member *member)
{
	struct heartbeat_member *entry =
		&heartbeat->members[heartbeat->member_count++];

	entry->member = member->hash;
	entry->number = member->heartbeat;
	entry->leaving = member->leaving;
	entry->partitioned = member->partitioned;
}

static void add_members(struct gossip *gossip, struct heartbeat *heartbeat,
			uint32_t max_members)
{
	struct member_table *members = gossip->edge->members;
	uint32_t count = member_table_count(members);
	GHashTableIter iter;
	gpointer value;
	uint32_t i = 0;

	add_member(heartbeat, members->self);
	g_hash_table_iter_init(&iter, members->by_name);
	while (heartbeat->member_count <= max_members &&
	       heartbeat->member_count < HEARTBEAT_MAX_MEMBERS &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		if (value != members->self &&
		    member_serves(members, value, edge_now_us(gossip->edge)) &&
		    (count <= max_members ||
		     i++ >= gossip->relay_offset % count))
			add_member(heartbeat, value);
	}
	gossip->relay_offset += max_members;
}

static void add_loads(const struct edge *edge, struct heartbeat *heartbeat)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (heartbeat->load_count < HEARTBEAT_MAX_LOADS &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;
		struct heartbeat_load *load =
			&heartbeat->loads[heartbeat->load_count];

		if (!backend->in_flight)
			continue;
		load->incarnation = backend->incarnation;
		load->in_flight = backend->in_flight;
		heartbeat->load_count++;
	}
}

/*
 * Time until the server is warm; 0: it is warm, or its first request must have
 * ended.
 */
static uint16_t ready_ms(const struct warm_update *update, uint64_t now_us)
{
	if (update->ready_us <= now_us)
		return 0;
	return (uint16_t)MIN((update->ready_us - now_us) / US_PER_MS + 1,
			     UINT16_MAX);
}

void gossip_add_pair(struct heartbeat *heartbeat,
		     const struct warm_update *update, uint64_t now_us)
{
	struct heartbeat_pair *pair = &heartbeat->pairs[heartbeat->pair_count];

	pair->pair = update->pair;
	pair->ready_ms = ready_ms(update, now_us);
	if (!update->ready_us || pair->ready_ms)
		heartbeat->pair_count++;
}

/* Moves as many updates as fit into the heartbeat. */
static void move_updates(GArray *updates, struct heartbeat *heartbeat,
			 uint64_t now_us)
{
	guint taken;

	for (taken = 0; taken < updates->len &&
			heartbeat->pair_count < HEARTBEAT_MAX_PAIRS;
	     taken++)
		gossip_add_pair(heartbeat,
				&g_array_index(updates, struct warm_update,
					       taken),
				now_us);
	g_array_remove_range(updates, 0, taken);
}

static void on_sent(uv_udp_send_t *request, int status)
{
	struct datagram *datagram = request->data;

	(void)status; /* the next heartbeat makes up for a lost one */
	g_bytes_unref(datagram->bytes);
	g_free(datagram);
}

void gossip_send_bytes(struct gossip *gossip, const struct member *member,
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

bool gossip_is_reader(const struct gossip *gossip)
{
	const struct edge *edge = gossip->edge;

	return member_table_is_reader(edge->members, edge_now_us(edge));
}

/* Whether this round's heartbeat goes to the peer. */
static bool is_picked(const struct edge *edge, const struct member *member,
		      const struct member *reader)
{
	uint32_t count = member_table_count(edge->members);

	/*
	 * The region's reader sends to all of its region and receives from all.
	 */
	if (count <= MAX_FULL_MESH || reader == edge->members->self ||
	    member == reader)
		return true;
	return g_random_int_range(0, (gint32)count) < NEAR_PEERS;
}

static GPtrArray *find_peers(const struct gossip *gossip, bool near)
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

GPtrArray *gossip_find_near(const struct gossip *gossip)
{
	return find_peers(gossip, true);
}

/* The peers of the region that this round's heartbeat goes to. */
static GPtrArray *pick_near(const struct gossip *gossip,
			    const struct member *reader)
{
	const struct edge *edge = gossip->edge;
	GPtrArray *near = find_peers(gossip, true);
	GPtrArray *picked = g_ptr_array_new();
	guint i;

	for (i = 0; i < near->len; i++)
		if (is_picked(edge, near->pdata[i], reader))
			g_ptr_array_add(picked, near->pdata[i]);
	g_ptr_array_unref(near);
	return picked;
}

static const struct member *current_reader(const struct gossip *gossip)
{
	const struct edge *edge = gossip->edge;

	return member_table_reader(edge->members, edge_now_us(edge));
}

static void send_near_sample(struct gossip *gossip,
			     const struct heartbeat *heartbeat,
			     const struct member *reader)
{
	GPtrArray *picked = pick_near(gossip, reader);
	GBytes *bytes = heartbeat_encode(heartbeat);
	guint i;

	for (i = 0; i < picked->len; i++)
		gossip_send_bytes(gossip, picked->pdata[i], bytes);
	g_bytes_unref(bytes);
	g_ptr_array_unref(picked);
}

static void send_near(struct gossip *gossip, const struct heartbeat *heartbeat)
{
	send_near_sample(gossip, heartbeat, current_reader(gossip));
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

/* Members of a region that a far heartbeat has been sent to. */
static guint count_sent(GHashTable *sent, const char *region)
{
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(sent, region));

	g_hash_table_replace(sent, (gpointer)region,
			     GUINT_TO_POINTER(count + 1));
	return count;
}

static GBytes *encode_without_reports(const struct heartbeat *heartbeat)
{
	struct heartbeat without = *heartbeat;

	without.report_count = 0;
	return heartbeat_encode(&without);
}

/*
 * Sends to a few members of each other region, which relay it there. Servers'
 * loads only go to one of these: each would send them to all of its region, and
 * a lost one is made up for by the next, to another member.
 */
static void send_far(struct gossip *gossip, const struct heartbeat *heartbeat)
{
	GHashTable *sent = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *far = find_peers(gossip, false);
	GBytes *whole = heartbeat_encode(heartbeat);
	GBytes *bytes = heartbeat->report_count ?
				encode_without_reports(heartbeat) :
				g_bytes_ref(whole);
	guint i;

	shuffle(far);
	for (i = 0; i < far->len; i++) {
		const struct member *member = far->pdata[i];
		guint count = count_sent(sent, member->region);

		if (count < FAR_PEERS)
			gossip_send_bytes(gossip, member,
					  count ? bytes : whole);
	}
	g_hash_table_destroy(sent);
	g_bytes_unref(whole);
	g_bytes_unref(bytes);
	g_ptr_array_unref(far);
}

void gossip_add_sender(struct gossip *gossip, struct heartbeat *heartbeat)
{
	add_member(heartbeat, gossip->edge->members->self);
}

void gossip_send_to_one(struct gossip *gossip, const struct member *member,
			const struct heartbeat *heartbeat)
{
	GBytes *bytes = heartbeat_encode(heartbeat);

	gossip_send_bytes(gossip, member, bytes);
	g_bytes_unref(bytes);
}

void gossip_send_to_all(struct gossip *gossip,
			const struct heartbeat *heartbeat)
{
	const struct member_table *members = gossip->edge->members;
	GBytes *bytes = heartbeat_encode(heartbeat);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (member != members->self && member->peer.port)
			gossip_send_bytes(gossip, member, bytes);
	}
	g_bytes_unref(bytes);
}

void gossip_send_to_near(struct gossip *gossip,
			 const struct heartbeat *heartbeat)
{
	send_near_sample(gossip, heartbeat, NULL);
}

void gossip_send_to_far(struct gossip *gossip,
			const struct heartbeat *heartbeat)
{
	send_far(gossip, heartbeat);
}

void gossip_send_to_sample(struct gossip *gossip,
			   const struct heartbeat *heartbeat)
{
	send_near(gossip, heartbeat);
	send_far(gossip, heartbeat);
}

static void add_change(const struct edge *edge, const char *id,
		       struct heartbeat *heartbeat)
{
	const struct backend *backend = backend_table_find(edge->backends, id);
	struct heartbeat_row *row = &heartbeat->rows[heartbeat->row_count++];

	g_strlcpy(row->id, id, sizeof(row->id));
	if (backend)
		backend_row_fill(backend, edge_now_us(edge), row);
	else
		row->version =
			backend_table_removed_version(edge->backends, id);
}

static void send_change_batch(struct gossip *gossip, const GPtrArray *changes,
			      guint from, guint count)
{
	struct heartbeat heartbeat = { .member_count = 0 };
	guint i;

	add_member(&heartbeat, gossip->edge->members->self);
	for (i = 0; i < count; i++)
		add_change(gossip->edge, changes->pdata[from + i], &heartbeat);
	send_near(gossip, &heartbeat);
}

/* Limit of changes sent at one time to so many peers. */
static guint max_changes(const struct edge *edge, guint peers)
{
	double datagrams = CHANGE_DATAGRAMS_PER_MBPS * edge->settings.link_mbps;
	guint datagrams_each = (guint)(datagrams / MAX(peers, 1));

	return HEARTBEAT_MAX_ROWS * MAX(datagrams_each, 1);
}

void gossip_send_changes(struct gossip *gossip)
{
	GPtrArray *changes = backend_table_take_changes(gossip->edge->backends);
	GPtrArray *near = find_peers(gossip, true);
	guint at;

	if (gossip_is_reader(gossip) &&
	    changes->len <= max_changes(gossip->edge, near->len))
		for (at = 0; at < changes->len; at += HEARTBEAT_MAX_ROWS)
			send_change_batch(gossip, changes, at,
					  MIN(HEARTBEAT_MAX_ROWS,
					      changes->len - at));
	g_ptr_array_unref(near);
	g_ptr_array_unref(changes);
}

void gossip_send_near_heartbeat(struct gossip *gossip)
{
	struct edge *edge = gossip->edge;
	struct heartbeat heartbeat = { .member_count = 0 };
	GPtrArray *picked = pick_near(gossip, current_reader(gossip));

	add_members(gossip, &heartbeat,
		    gossip->rounds % GOSSIP_ROUNDS_PER_FAR_HEARTBEAT ?
			    FEW_RELAYED :
			    HEARTBEAT_MAX_MEMBERS - 1);
	add_loads(edge, &heartbeat);
	gossip_spread_collect(gossip, &heartbeat);
	if (gossip->sync && gossip_is_reader(gossip))
		heartbeat.digest_count =
			sync_fill_digests(gossip->sync, heartbeat.digests);
	gossip_spread_send(gossip, picked, &heartbeat);
	g_ptr_array_unref(picked);
}

void gossip_send_far_heartbeat(struct gossip *gossip)
{
	struct heartbeat heartbeat = { .member_count = 0 };

	add_members(gossip, &heartbeat, FEW_RELAYED);
	move_updates(gossip->edge->warmth.far_updates, &heartbeat,
		     edge_now_us(gossip->edge));
	gossip_add_far_reports(gossip, &heartbeat);
	send_far(gossip, &heartbeat);
}
