#include "edge/room_gossip.h"

#include <math.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/hash.h"
#include "core/room.h"

/* Demand is told in requests per 10 s. */
#define PER_10S 10.0

/*
 * Demand above this is none that nodes could serve, but a fault of its sender:
 * it would have all other demand look like nothing.
 */
#define MAX_PER_S 1e6

/* Regions whose sums are relayed at a time. */
#define MAX_RELAYED 16

/* A datagram under construction and how it is sent. */
struct batch {
	struct gossip *gossip;
	void (*send)(struct gossip *gossip, const struct heartbeat *heartbeat);
	struct heartbeat heartbeat;
};

/* --- sending ------------------------------------------------------------ */

static void begin_batch(struct batch *batch, struct gossip *gossip,
			void (*send)(struct gossip *gossip,
				     const struct heartbeat *heartbeat))
{
	memset(batch, 0, sizeof(*batch));
	batch->gossip = gossip;
	batch->send = send;
	gossip_add_sender(gossip, &batch->heartbeat);
}

static void end_batch(struct batch *batch)
{
	if (batch->heartbeat.demand_count)
		batch->send(batch->gossip, &batch->heartbeat);
	batch->heartbeat.demand_count = 0;
}

static uint32_t to_per_10s(double per_s)
{
	return (uint32_t)lround(fmin(per_s, MAX_PER_S) * PER_10S);
}

static void add_entry(struct batch *batch, const char *service, uint32_t region,
		      uint64_t age_us, const struct room_demand *demand)
{
	struct heartbeat *heartbeat = &batch->heartbeat;
	struct heartbeat_demand *entry;
	uint32_t i;

	if (heartbeat->demand_count == HEARTBEAT_MAX_DEMANDS)
		end_batch(batch);
	entry = &heartbeat->demands[heartbeat->demand_count++];
	memset(entry, 0, sizeof(*entry));
	entry->service = hash_text(service);
	entry->region = region;
	entry->age_ms = (uint16_t)MIN(age_us / US_PER_MS, UINT16_MAX);
	for (i = 0; i < ROOM_LEVELS; i++)
		entry->per_10s[i] = to_per_10s(demand->per_s[i]);
	for (i = 0; i < demand->account_count; i++) {
		uint32_t per_10s = to_per_10s(demand->accounts[i].per_s);

		if (!per_10s)
			break;
		entry->accounts[entry->account_count].account =
			demand->accounts[i].account;
		entry->accounts[entry->account_count++].per_10s = per_10s;
	}
}

/* Nodes of this region that serve, this one included. */
static uint32_t count_near_nodes(const struct edge *edge)
{
	uint64_t now_us = edge_now_us(edge);
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 1;

	g_hash_table_iter_init(&iter, edge->members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		count += member != edge->members->self &&
			 !strcmp(member->region, edge->settings.region) &&
			 member_serves(edge->members, member, now_us);
	}
	return count;
}

static void add_near(struct batch *batch, const char *service,
		     struct room *room, bool with_relayed)
{
	uint64_t now_us = edge_now_us(batch->gossip->edge);
	struct room_region_report relayed[MAX_RELAYED];
	struct room_demand demand;
	uint32_t count;
	uint32_t i;

	room_own_demand(room, &demand, now_us);
	add_entry(batch, service, 0, 0, &demand);
	if (!with_relayed)
		return;
	count = room_take_region_reports(room, relayed, MAX_RELAYED, now_us);
	for (i = 0; i < count; i++)
		add_entry(batch, service, relayed[i].region, relayed[i].age_us,
			  &relayed[i].demand);
}

static void add_far(struct batch *batch, const char *service,
		    const struct room *room)
{
	const struct edge *edge = batch->gossip->edge;
	struct room_demand demand;

	room_near_demand(room, &demand, edge_now_us(edge));
	add_entry(batch, service, hash_text(edge->settings.region), 0, &demand);
}

/* Tells operators when a service becomes short of room, and when not. */
static void log_change(const struct edge *edge, const char *service,
		       struct room *room)
{
	uint64_t now_us = edge_now_us(edge);
	enum room_change change = room_take_change(room, now_us);
	struct room_view view;

	if (change == ROOM_SAME)
		return;
	room_view(room, &view, now_us);
	log_event(change == ROOM_SHORT ? LOG_WARNING : LOG_INFO,
		  change == ROOM_SHORT ? "room-short" : "room-recovered",
		  "service=%s served_permille=%.0f own_per_s=%.1f "
		  "fleet_per_s=%.1f late_factor=%.2f peers=%u regions=%u",
		  service, 1000 * view.served_share, view.own_per_s,
		  view.all_per_s, view.late_factor, view.peers, view.regions);
}

static void send_service(const char *service, struct room *room,
			 uint32_t near_nodes, struct batch *near,
			 struct batch *far)
{
	room_set_near_nodes(room, near_nodes);
	log_change(near->gossip->edge, service, room);
	add_near(near, service, room, far != NULL);
	if (far)
		add_far(far, service, room);
}

static bool is_due(const struct gossip *gossip)
{
	return gossip->ticks % GOSSIP_TICKS_PER_HEARTBEAT == 0;
}

static bool is_far_due(const struct gossip *gossip)
{
	return gossip->ticks / GOSSIP_TICKS_PER_HEARTBEAT %
		       GOSSIP_ROUNDS_PER_FAR_HEARTBEAT ==
	       0;
}

void room_gossip_send(struct gossip *gossip)
{
	struct edge *edge = gossip->edge;
	uint32_t short_services = 0;
	uint32_t near_nodes;
	struct batch near;
	struct batch far;
	GHashTableIter iter;
	gpointer value;

	if (!is_due(gossip) || !edge->routes)
		return;
	near_nodes = count_near_nodes(edge);
	begin_batch(&near, gossip, gossip_send_to_near);
	begin_batch(&far, gossip, gossip_send_to_far);
	g_hash_table_iter_init(&iter, edge->routes->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *service = value;
		struct room *room;

		if (!backend_table_coordinates(edge->backends, service))
			continue;
		room = chooser_room(&edge->chooser, service->name);
		send_service(service->name, room, near_nodes, &near,
			     is_far_due(gossip) ? &far : NULL);
		short_services += room_is_short(room);
	}
	metric_set(edge->stats.room_short, short_services);
	end_batch(&near);
	end_batch(&far);
}

/* --- receiving ---------------------------------------------------------- */

static struct room *find_room(struct edge *edge, uint32_t hash)
{
	GHashTableIter iter;
	gpointer value;

	if (!edge->routes)
		return NULL;
	g_hash_table_iter_init(&iter, edge->routes->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *service = value;

		if (hash_text(service->name) == hash &&
		    backend_table_coordinates(edge->backends, service))
			return chooser_room(&edge->chooser, service->name);
	}
	return NULL;
}

/* False where no node or region has such a demand. */
static bool read_entry(const struct heartbeat_demand *entry,
		       struct room_demand *demand)
{
	double all_per_s = 0;
	uint32_t i;

	memset(demand, 0, sizeof(*demand));
	for (i = 0; i < ROOM_LEVELS; i++) {
		demand->per_s[i] = entry->per_10s[i] / PER_10S;
		all_per_s += demand->per_s[i];
	}
	demand->account_count = entry->account_count;
	for (i = 0; i < entry->account_count; i++) {
		demand->accounts[i].account = entry->accounts[i].account;
		demand->accounts[i].per_s =
			entry->accounts[i].per_10s / PER_10S;
		if (demand->accounts[i].per_s > MAX_PER_S)
			return false;
	}
	return all_per_s <= MAX_PER_S;
}

static bool has_nodes(const struct edge *edge, uint32_t region)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, edge->members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (region == hash_text(member->region))
			return true;
	}
	return false;
}

/* The sum over a region: of a node there, or relayed by one of this region. */
static void apply_region(struct edge *edge, const struct member *sender,
			 const struct heartbeat_demand *entry,
			 const struct room_demand *demand, struct room *room,
			 bool is_near)
{
	uint32_t region = entry->region;

	if (is_near ? has_nodes(edge, region) :
		      region == hash_text(sender->region))
		room_apply_region_report(room, region, demand,
					 entry->age_ms * US_PER_MS, is_near,
					 edge_now_us(edge));
	else
		metric_add(edge->stats.updates_rejected, 1);
}

static void apply_entry(struct edge *edge, const struct member *sender,
			const struct heartbeat_demand *entry)
{
	bool is_near = !strcmp(sender->region, edge->settings.region);
	struct room *room = find_room(edge, entry->service);
	struct room_demand demand;

	if (!room)
		return;
	if (!read_entry(entry, &demand))
		metric_add(edge->stats.updates_rejected, 1);
	else if (entry->region)
		apply_region(edge, sender, entry, &demand, room, is_near);
	else if (is_near)
		room_apply_report(room, sender->hash, &demand,
				  entry->age_ms * US_PER_MS, edge_now_us(edge));
}

void room_gossip_apply(struct gossip *gossip, const struct heartbeat *heartbeat)
{
	struct edge *edge = gossip->edge;
	const struct member *sender;
	uint32_t i;

	if (!heartbeat->demand_count)
		return;
	sender = member_table_find_hash(edge->members,
					heartbeat->members[0].member);
	if (!sender || sender == edge->members->self)
		return;
	for (i = 0; i < heartbeat->demand_count; i++)
		apply_entry(edge, sender, &heartbeat->demands[i]);
}
