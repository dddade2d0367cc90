#include "edge/hops.h"

#include <stdlib.h>
#include <string.h>

#include "core/duration.h"

/* How long a peer that failed, or had no room, isn't chosen. */
#define AVOID_US (1 * US_PER_S)
#define FULL_US (100 * US_PER_MS)

/* Peers of which the one with the most room is taken. */
#define PICK_AMONG 2

struct hops {
	struct edge *edge;
	GHashTable *peers; /* member's name -> struct hop_peer */
};

static void peer_free(gpointer data)
{
	struct hop_peer *peer = data;

	backend_unref(peer->address);
	g_free(peer);
}

struct hops *hops_new(struct edge *edge)
{
	struct hops *hops = g_new0(struct hops, 1);

	hops->edge = edge;
	hops->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    peer_free);
	return hops;
}

void hops_free(struct hops *hops)
{
	g_hash_table_destroy(hops->peers);
	g_free(hops);
}

/* --- choosing a peer ---------------------------------------------------- */

static struct backend *address_of(const struct member *member)
{
	struct backend *address = g_new0(struct backend, 1);

	address->references = 1;
	address->id = g_strdup(member->name);
	address->service = g_strdup("");
	address->domain = g_strdup("");
	address->region = g_strdup(member->region);
	address->address = member->peer;
	return address;
}

static struct hop_peer *peer_of(struct hops *hops, const struct member *member)
{
	struct hop_peer *peer = g_hash_table_lookup(hops->peers, member->name);

	if (!peer) {
		peer = g_new0(struct hop_peer, 1);
		peer->address = address_of(member);
		peer->room = HOPS_MAX_TAKEN;
		g_hash_table_insert(hops->peers, g_strdup(member->name), peer);
	}
	/* A node that was replaced may have another address. */
	peer->address->address = member->peer;
	return peer;
}

static bool was_tried(const struct hop_query *query,
		      const struct hop_peer *peer)
{
	uint32_t i;

	for (i = 0; i < query->tried_count; i++)
		if (query->tried[i] == peer)
			return true;
	return false;
}

static bool may_take(struct hops *hops, const struct hop_query *query,
		     const struct member *member, uint64_t now_us)
{
	const struct member_table *members = hops->edge->members;
	const struct hop_peer *peer;

	if (member == members->self || !member->peer.port ||
	    member->partitioned || !member_serves(members, member, now_us) ||
	    !route_allows_region(query->route, member->region) ||
	    !account_allows_region(query->account, member->region))
		return false;
	peer = peer_of(hops, member);
	return peer->avoid_until_us <= now_us && !was_tried(query, peer);
}

/* Peers of this region, or of others. */
static GPtrArray *find_peers(struct hops *hops, const struct hop_query *query,
			     bool near)
{
	const struct member_table *members = hops->edge->members;
	uint64_t now_us = edge_now_us(hops->edge);
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (!strcmp(member->region, members->self->region) == near &&
		    may_take(hops, query, member, now_us))
			g_ptr_array_add(list, peer_of(hops, member));
	}
	return list;
}

static struct hop_peer *pick_one(const GPtrArray *list)
{
	struct hop_peer *best = NULL;
	uint32_t i;

	for (i = 0; list->len && i < PICK_AMONG; i++) {
		struct hop_peer *peer =
			list->pdata[g_random_int_range(0, (gint32)list->len)];

		if (!best || peer->room > best->room)
			best = peer;
	}
	return best;
}

struct hop_peer *hops_pick(struct hops *hops, const struct hop_query *query)
{
	struct hop_peer *picked = NULL;
	int near;

	for (near = 1; near >= 0 && !picked; near--) {
		GPtrArray *list = find_peers(hops, query, near != 0);

		picked = pick_one(list);
		g_ptr_array_unref(list);
	}
	return picked;
}

/* --- what peers answer -------------------------------------------------- */

static void avoid(const struct hops *hops, struct hop_peer *peer, uint64_t us)
{
	peer->avoid_until_us = edge_now_us(hops->edge) + us;
	peer->room = HOPS_MAX_TAKEN;
}

void hops_sent(struct hops *hops, struct hop_peer *peer)
{
	metric_add(hops->edge->stats.hops_sent, 1);
	if (peer->room > 1)
		peer->room--;
	else
		avoid(hops, peer, FULL_US);
}

void hops_answered(struct hops *hops, struct hop_peer *peer, const char *room)
{
	if (!room) {
		hops_failed(hops, peer);
		return;
	}
	peer->room = (uint32_t)MIN(strtoul(room, NULL, 10), HOPS_MAX_TAKEN);
	if (!peer->room)
		avoid(hops, peer, FULL_US);
}

void hops_failed(struct hops *hops, struct hop_peer *peer)
{
	metric_add(hops->edge->stats.hops_failed, 1);
	avoid(hops, peer, AVOID_US);
}

/* --- the other side ----------------------------------------------------- */

const char *const *hops_headers(void)
{
	static const char *const names[] = { HOP_SENDS, HOP_ROOM, HOP_NOT_RUN,
					     HOP_LEAVING, NULL };

	return names;
}

bool hops_is_node(const struct edge *edge, const char *address)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, edge->members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!strcmp(((struct member *)value)->peer.address, address))
			return true;
	return false;
}

uint32_t hops_room(const struct edge *edge)
{
	return edge->hops_taken < HOPS_MAX_TAKEN ?
		       HOPS_MAX_TAKEN - edge->hops_taken :
		       0;
}
