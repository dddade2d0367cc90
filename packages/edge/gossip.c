#include "edge/backend_row.h"
#include "edge/gossip_internal.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/load_report.h"
#include "core/result.h"
#include "edge/room_gossip.h"

/*
 * Interval of the timer. A heartbeat goes to peers each fourth tick, 400 ms,
 * since loads change within a service time. Warmth updates are sent each tick:
 * until a peer has one, it causes another cold run of the object.
 */
#define TICK_US (100 * US_PER_MS)

/*
 * A loop that runs a callback so long after the previous one was stalled, and
 * the datagrams that came in the meantime wait in the socket. Three ticks,
 * since parsing a large document may take one. After a longer parse the
 * reader's next heartbeat comes soon enough.
 */
#define MAX_TURN_US (3 * TICK_US)

/* --- receiving ---------------------------------------------------------- */

/*
 * Members of other regions aren't logged: their heartbeats come seldom, so they
 * would seem to leave and return all the time.
 */
static void log_member_state(const struct edge *edge,
			     const struct member *member)
{
	if (strcmp(member->region, edge->settings.region) != 0)
		return;
	log_event(LOG_INFO, "member-state",
		  "member=%s serves=%s partitioned=%s", member->name,
		  member->leaving ? "no" : "yes",
		  member->partitioned ? "yes" : "no");
}

/* Whether the entry changed what this node believes of the member. */
static bool apply_member(struct edge *edge, struct member *member,
			 const struct heartbeat_member *entry)
{
	uint64_t now_us = edge_now_us(edge);
	bool served = member_serves(edge->members, member, now_us);
	bool was_partitioned = member->partitioned;

	if (!member_note_heartbeat(member, entry->number, entry->leaving,
				   now_us))
		return false;
	member->partitioned = entry->partitioned;
	return served == entry->leaving ||
	       was_partitioned != entry->partitioned;
}

static void apply_members(struct gossip *gossip,
			  const struct heartbeat *heartbeat)
{
	struct edge *edge = gossip->edge;
	uint32_t i;

	for (i = 0; i < heartbeat->member_count; i++) {
		const struct heartbeat_member *entry = &heartbeat->members[i];
		struct member *member =
			member_table_find_hash(edge->members, entry->member);

		if (!member)
			gossip->unknown_member = true;
		if (!member || member == edge->members->self)
			continue;
		if (apply_member(edge, member, entry))
			log_member_state(edge, member);
	}
}

/*
 * A node sends its warmth updates to a part of its region and to a few members
 * of each other region. A member that receives one from another region relays
 * it within its own. Updates of the own region aren't relayed, by its reader
 * neither: with 100 peers that filled the reader's link of 10 Mbit/s, and its
 * table digests were lost.
 */
static enum warm_source update_source(const struct edge *edge,
				      const struct heartbeat *heartbeat)
{
	const struct member *sender = member_table_find_hash(
		edge->members, heartbeat->members[0].member);

	if (sender && strcmp(sender->region, edge->settings.region) != 0)
		return WARM_RELAYED;
	return WARM_RECEIVED;
}

static void apply_pair(struct warmth *warmth, const struct heartbeat_pair *pair,
		       enum warm_source source, uint64_t now_us)
{
	if (pair->ready_ms)
		warmth_begin(warmth, pair->pair, source,
			     now_us + pair->ready_ms * US_PER_MS, now_us);
	else
		warmth_note(warmth, pair->pair, source, now_us);
}

static void apply_pairs_and_loads(struct gossip *gossip,
				  const struct heartbeat *heartbeat)
{
	struct edge *edge = gossip->edge;
	enum warm_source source = update_source(edge, heartbeat);
	uint64_t now_us = edge_now_us(edge);
	uint32_t sender = heartbeat->members[0].member;
	uint32_t i;

	for (i = 0; i < heartbeat->pair_count; i++) {
		apply_pair(&edge->warmth, &heartbeat->pairs[i], source, now_us);
		if (source == WARM_RECEIVED)
			gossip_spread_cancel(gossip, &heartbeat->pairs[i]);
	}
	if (heartbeat->load_count)
		backend_table_clear_peer_loads(edge->backends, sender);
	for (i = 0; i < heartbeat->load_count; i++) {
		struct backend *backend = backend_table_find_incarnation(
			edge->backends, heartbeat->loads[i].incarnation);

		if (backend)
			backend_note_peer_load(backend, sender,
					       heartbeat->loads[i].in_flight,
					       now_us);
	}
}

bool gossip_backend_coordinates(const struct edge *edge,
				const struct backend *backend)
{
	const struct service *service =
		edge->routes ?
			route_table_service(edge->routes, backend->service) :
			NULL;

	return service && backend_table_coordinates(edge->backends, service);
}

/* Returns whether the report is news. */
static bool apply_report(struct edge *edge,
			 const struct heartbeat_report *entry,
			 enum backend_report_source source, uint64_t sent_us)
{
	uint64_t age_us = entry->age_ms * US_PER_MS;
	const struct backend_report report = {
		.at_us = sent_us > age_us ? sent_us - age_us : 0,
		.total = entry->total,
		.work_percent = entry->work_percent,
		.source = source,
	};
	struct backend *backend = backend_table_find_incarnation(
		edge->backends, entry->incarnation);

	/* A server that tells its speed makes its service coordinate. */
	if (!backend || (!report.work_percent &&
			 !gossip_backend_coordinates(edge, backend)))
		return false;
	if (!backend_note_peer_report(
		    edge->backends, backend, &report,
		    chooser_link_us(&edge->chooser, backend->region) / 2,
		    edge_now_us(edge)))
		return false;
	log_event(LOG_DEBUG, "load-told",
		  "backend=%s total=%u work_percent=%u age_us=%" PRIu64,
		  backend->id, report.total, report.work_percent,
		  edge_now_us(edge) - report.at_us);
	return true;
}

/* Reports of servers' loads; their ages count from when they were sent. */
static void apply_reports(struct edge *edge, const struct heartbeat *heartbeat)
{
	const struct member *sender = member_table_find_hash(
		edge->members, heartbeat->members[0].member);
	bool far = sender && strcmp(sender->region, edge->settings.region) != 0;
	uint64_t sent_us = edge_now_us(edge);
	uint32_t i;

	if (far)
		sent_us -= MIN(sent_us,
			       chooser_link_us(&edge->chooser, sender->region) /
				       2);
	for (i = 0; i < heartbeat->report_count; i++) {
		const struct heartbeat_report *entry = &heartbeat->reports[i];

		if (entry->total > 2 * LOAD_REPORT_MAX ||
		    entry->work_percent > LOAD_REPORT_MAX)
			metric_add(edge->stats.reports_rejected, 1);
		else if (apply_report(edge, entry,
				      far ? BACKEND_REPORT_RELAYED :
					    BACKEND_REPORT_RECEIVED,
				      sent_us))
			metric_add(edge->stats.reports_received, 1);
	}
}

static void apply_rows(struct edge *edge, const struct heartbeat *heartbeat)
{
	uint32_t i;

	for (i = 0; i < heartbeat->row_count; i++) {
		const struct heartbeat_row *row = &heartbeat->rows[i];

		log_event(LOG_INFO, "backend-told",
			  "backend=%s left=%s draining=%s cold_left_ms=%u",
			  row->id, *row->service ? "no" : "yes",
			  row->draining ? "yes" : "no", row->cold_left_ms);
		backend_row_receive(edge, row);
	}
}

/*
 * Accepts rows and digests only from the peer that this node takes for its
 * region's reader.
 */
static void apply_digests(struct gossip *gossip,
			  const struct heartbeat *heartbeat)
{
	struct edge *edge = gossip->edge;
	const struct member *reader =
		member_table_reader(edge->members, edge_now_us(edge));
	uint32_t i;

	if (reader == edge->members->self ||
	    reader->hash != heartbeat->members[0].member)
		return;
	apply_rows(edge, heartbeat);
	for (i = 0; gossip->sync && i < heartbeat->digest_count; i++)
		sync_receive_digest(gossip->sync, &heartbeat->digests[i]);
}

/*
 * All peers listen on the same port; the datagram's source port may have been
 * rewritten on the way.
 */
static void report_peer_address(struct gossip *gossip,
				const struct sockaddr *from)
{
	struct endpoint peer = { .port = gossip->edge->settings.peer.port };

	if (!uv_ip4_name((const struct sockaddr_in *)from, peer.address,
			 sizeof(peer.address)))
		sync_receive_peer_address(gossip->sync, &peer);
}

/* Detects that the loop was stalled since the last callback. */
static void detect_stall(struct gossip *gossip)
{
	uint64_t now_us = edge_now_us(gossip->edge);

	if (now_us - gossip->last_turn_us > MAX_TURN_US)
		gossip->socket_stale = true;
	gossip->last_turn_us = now_us;
}

static void on_datagram(uv_udp_t *udp, ssize_t length, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned flags)
{
	struct gossip *gossip = udp->data;
	struct heartbeat heartbeat;

	detect_stall(gossip);
	/* No sender: the socket has been emptied. */
	if (!from)
		gossip->socket_stale = false;
	if (length <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	if (!heartbeat_decode(buffer->base, (size_t)length, &heartbeat))
		return;
	if (gossip->sync && !edge_is_ready(gossip->edge))
		report_peer_address(gossip, from);
	apply_members(gossip, &heartbeat);
	apply_pairs_and_loads(gossip, &heartbeat);
	gossip_apply_updates(gossip, &heartbeat);
	/*
	 * The ages of digests, reports and demand count from receipt. A node
	 * that had been suspended applied digests from before: they confirmed
	 * routes that had been replaced since, and requests for new routes were
	 * denied.
	 */
	if (gossip->socket_stale)
		return;
	apply_reports(gossip->edge, &heartbeat);
	room_gossip_apply(gossip, &heartbeat);
	apply_digests(gossip, &heartbeat);
}

static void provide_buffer(uv_handle_t *handle, size_t suggested,
			   uv_buf_t *buffer)
{
	static char bytes[2 * HEARTBEAT_MAX_BYTES];

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

/* --- sending ------------------------------------------------------------ */

static void heartbeat(struct gossip *gossip)
{
	struct edge *edge = gossip->edge;
	struct member *self = edge->members->self;

	/*
	 * Changes go out before the digests: otherwise each change would make
	 * the peers' digests differ, and all of them would call the platform.
	 */
	gossip_send_changes(gossip);
	self->heartbeat = gossip->epoch_us + edge_now_us(edge);
	self->leaving = !edge_is_ready(edge);
	gossip_send_near_heartbeat(gossip);
	gossip_send_updates(gossip);
	room_gossip_send(gossip);
	if (gossip->rounds++ % GOSSIP_ROUNDS_PER_FAR_HEARTBEAT == 0 ||
	    edge->warmth.far_updates->len)
		gossip_send_far_heartbeat(gossip);
}

bool gossip_is_due(const struct gossip *gossip)
{
	const struct warmth *warmth = &gossip->edge->warmth;

	return gossip->ticks % GOSSIP_TICKS_PER_HEARTBEAT == 0 ||
	       warmth->updates->len || warmth->far_updates->len;
}

static void on_timer(uv_timer_t *timer)
{
	struct gossip *gossip = timer->data;

	detect_stall(gossip);
	if (gossip_is_due(gossip))
		heartbeat(gossip);
	gossip_spread_tick(gossip);
	gossip->ticks++;
	if (gossip->unknown_member && gossip->sync && gossip_is_reader(gossip))
		sync_read_members(gossip->sync);
	gossip->unknown_member = false;
}

struct gossip *gossip_open(struct edge *edge, GError **error)
{
	const struct endpoint *at = &edge->settings.peer;
	struct gossip *gossip = g_new0(struct gossip, 1);
	struct sockaddr_in address;
	int status;

	gossip->edge = edge;
	gossip->last_turn_us = edge_now_us(edge);
	/*
	 * Numbers must rise over a restart, or peers would ignore the restarted
	 * node's heartbeats as old; the loop's clock may start over.
	 */
	gossip->epoch_us = (uint64_t)g_get_real_time() - edge_now_us(edge);
	uv_ip4_addr(at->address, at->port, &address);
	uv_udp_init(edge->loop, &gossip->udp);
	uv_timer_init(edge->loop, &gossip->timer);
	gossip->udp.data = gossip;
	gossip->timer.data = gossip;
	gossip_updates_open(gossip);
	gossip_spread_open(gossip);
	status =
		uv_udp_bind(&gossip->udp, (const struct sockaddr *)&address, 0);
	if (!status)
		status = uv_udp_recv_start(&gossip->udp, provide_buffer,
					   on_datagram);
	if (status) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM,
			    "datagrams at %s:%u: %s", at->address, at->port,
			    uv_strerror(status));
		gossip_close(gossip);
		return NULL;
	}
	uv_timer_start(&gossip->timer, on_timer, TICK_US / US_PER_MS,
		       TICK_US / US_PER_MS);
	return gossip;
}

void gossip_close(struct gossip *gossip)
{
	uv_close((uv_handle_t *)&gossip->udp, NULL);
	uv_close((uv_handle_t *)&gossip->timer, NULL);
	gossip_updates_close(gossip);
	gossip_spread_close(gossip);
}

void gossip_set_sync(struct gossip *gossip, struct sync *sync)
{
	gossip->sync = sync;
}

void gossip_send_heartbeat_now(struct gossip *gossip)
{
	gossip->rounds = 0;
	heartbeat(gossip);
}
