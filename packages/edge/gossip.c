#include "edge/backend_row.h"
#include "edge/gossip_parts.h"

#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/result.h"

/*
 * Between two ticks. A beat goes to a neighbour each fourth, 400 ms, since
 * loads change within a service time. News of what is warm goes with each:
 * until a neighbour knows, it has the object run cold once more.
 */
#define TICK_US (100 * US_PER_MS)

/*
 * A loop that is at its timer so late stood still, and beats that came in the
 * meantime wait in the socket. Three ticks, since reading a large document may
 * take one; where it takes longer, the reader's next beat comes soon enough.
 */
#define STOOD_US (3 * TICK_US)

/* --- hearing ------------------------------------------------------------ */

/*
 * Of other regions a node hears now and then, so that their members seem to
 * come and go: not worth a line each.
 */
static void note_state(const struct edge *edge, const struct member *member)
{
	if (strcmp(member->region, edge->settings.region) != 0)
		return;
	log_event(LOG_INFO, "member-state", "member=%s serves=%s", member->name,
		  member->leaving ? "no" : "yes");
}

static void take_lives(struct gossip *gossip, const struct beat *beat)
{
	struct edge *edge = gossip->edge;
	uint64_t now_us = edge_now_us(edge);
	uint32_t i;

	for (i = 0; i < beat->life_count; i++) {
		const struct beat_life *life = &beat->lives[i];
		struct member *member =
			member_table_find_hash(edge->members, life->member);
		bool served;

		if (!member)
			gossip->unknown = true;
		if (!member || member == edge->members->self)
			continue;
		served = member_serves(edge->members, member, now_us);
		if (member_heard(member, life->number, life->leaving, now_us) &&
		    served == life->leaving)
			note_state(edge, member);
	}
}

/*
 * A node tells its news to some of its region and to a few of each other
 * region; who hears it from another region tells it at home. The reader doesn't
 * pass news on: with 100 neighbours that filled its link of 10 Mbit/s, and what
 * it says of the tables was lost.
 */
static enum warm_source source_of(const struct edge *edge,
				  const struct beat *beat)
{
	const struct member *sender =
		member_table_find_hash(edge->members, beat->lives[0].member);

	if (sender && strcmp(sender->region, edge->settings.region) != 0)
		return WARM_PASSED_ON;
	return WARM_TOLD;
}

static void take_pair(struct warmth *warmth, const struct beat_pair *pair,
		      enum warm_source source, uint64_t now_us)
{
	if (pair->ready_ms)
		warmth_begin(warmth, pair->pair, source,
			     now_us + pair->ready_ms * US_PER_MS, now_us);
	else
		warmth_note(warmth, pair->pair, source, now_us);
}

static void take_news(struct edge *edge, const struct beat *beat)
{
	enum warm_source source = source_of(edge, beat);
	uint64_t now_us = edge_now_us(edge);
	uint32_t sender = beat->lives[0].member;
	uint32_t i;

	for (i = 0; i < beat->pair_count; i++)
		take_pair(&edge->warmth, &beat->pairs[i], source, now_us);
	if (beat->load_count)
		backend_table_forget_words(edge->backends, sender);
	for (i = 0; i < beat->load_count; i++) {
		struct backend *backend = backend_table_find_life(
			edge->backends, beat->loads[i].backend);

		if (backend)
			backend_told(backend, sender, beat->loads[i].in_flight,
				     now_us);
	}
}

static void take_rows(struct edge *edge, const struct beat *beat)
{
	uint32_t i;

	for (i = 0; i < beat->row_count; i++) {
		const struct beat_row *row = &beat->rows[i];

		log_event(LOG_INFO, "backend-told",
			  "backend=%s left=%s draining=%s cold_left_ms=%u",
			  row->id, *row->service ? "no" : "yes",
			  row->draining ? "yes" : "no", row->cold_left_ms);
		backend_row_receive(edge, row);
	}
}

/* Only the neighbour that this node takes for the reader can vouch. */
static void take_vouches(struct gossip *gossip, const struct beat *beat)
{
	struct edge *edge = gossip->edge;
	const struct member *reader =
		member_table_reader(edge->members, edge_now_us(edge));
	uint32_t i;

	if (reader == edge->members->self ||
	    reader->hash != beat->lives[0].member)
		return;
	take_rows(edge, beat);
	for (i = 0; gossip->sync && i < beat->vouch_count; i++)
		sync_receive_digest(gossip->sync, &beat->vouches[i]);
}

/* Peers use one port everywhere; the sender's own is another for its sends. */
static void ask_neighbour(struct gossip *gossip, const struct sockaddr *from)
{
	struct endpoint neighbour = { .port = gossip->edge->settings.peer.port };

	if (!uv_ip4_name((const struct sockaddr_in *)from, neighbour.address,
			 sizeof(neighbour.address)))
		sync_receive_peer_address(gossip->sync, &neighbour);
}

/* Whether the loop stood still since it was here last. */
static void note_turn(struct gossip *gossip)
{
	uint64_t now_us = edge_now_us(gossip->edge);

	if (now_us - gossip->turned_us > STOOD_US)
		gossip->behind = true;
	gossip->turned_us = now_us;
}

static void on_datagram(uv_udp_t *udp, ssize_t length, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned flags)
{
	struct gossip *gossip = udp->data;
	struct beat beat;

	note_turn(gossip);
	/* Without a sender: the socket is empty. */
	if (!from)
		gossip->behind = false;
	if (length <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	if (!beat_decode(buffer->base, (size_t)length, &beat))
		return;
	if (gossip->sync && !edge_is_ready(gossip->edge))
		ask_neighbour(gossip, from);
	take_lives(gossip, &beat);
	take_news(gossip->edge, &beat);
	gossip_take_words(gossip, &beat);
	/*
	 * The ages of vouches count from their receipt. From before the node
	 * was suspended, they confirmed routes that had been replaced since,
	 * and those that were added were denied.
	 */
	if (!gossip->behind)
		take_vouches(gossip, &beat);
}

static void lend_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[2 * BEAT_MAX_BYTES];

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

/* --- beating ------------------------------------------------------------ */

static void beat(struct gossip *gossip)
{
	struct edge *edge = gossip->edge;
	struct member *self = edge->members->self;

	/* Told after the digests, each change would make neighbours call. */
	gossip_tell_changes(gossip);
	self->beat = gossip->epoch_us + edge_now_us(edge);
	self->leaving = !edge_is_ready(edge);
	gossip_beat_near(gossip);
	gossip_beat_words(gossip);
	if (gossip->rounds++ % GOSSIP_FAR_EVERY == 0 ||
	    edge->warmth.far_news->len)
		gossip_beat_far(gossip);
}

bool gossip_is_due(const struct gossip *gossip)
{
	const struct warmth *warmth = &gossip->edge->warmth;

	return gossip->ticks % GOSSIP_TICKS_A_BEAT == 0 || warmth->news->len ||
	       warmth->far_news->len;
}

static void on_timer(uv_timer_t *timer)
{
	struct gossip *gossip = timer->data;

	note_turn(gossip);
	if (gossip_is_due(gossip))
		beat(gossip);
	gossip->ticks++;
	if (gossip->unknown && gossip->sync && gossip_reads_for_others(gossip))
		sync_read_members(gossip->sync);
	gossip->unknown = false;
}

struct gossip *gossip_open(struct edge *edge, GError **error)
{
	const struct endpoint *at = &edge->settings.peer;
	struct gossip *gossip = g_new0(struct gossip, 1);
	struct sockaddr_in address;
	int status;

	gossip->edge = edge;
	gossip->turned_us = edge_now_us(edge);
	/* A restarted node must be heard although its clock began anew. */
	gossip->epoch_us = (uint64_t)g_get_real_time() - edge_now_us(edge);
	uv_ip4_addr(at->address, at->port, &address);
	uv_udp_init(edge->loop, &gossip->udp);
	uv_timer_init(edge->loop, &gossip->timer);
	gossip->udp.data = gossip;
	gossip->timer.data = gossip;
	gossip_words_open(gossip);
	status =
		uv_udp_bind(&gossip->udp, (const struct sockaddr *)&address, 0);
	if (!status)
		status = uv_udp_recv_start(&gossip->udp, lend_buffer,
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
	gossip_words_close(gossip);
}

void gossip_attach(struct gossip *gossip, struct sync *sync)
{
	gossip->sync = sync;
}

void gossip_hurry(struct gossip *gossip)
{
	gossip->rounds = 0;
	beat(gossip);
}
