#include "edge/gossip.h"

#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/result.h"
#include "edge/beat.h"
#include "edge/sync.h"

/* Between two beats to a neighbour; loads change within a service time. */
#define BEAT_INTERVAL_US (400 * US_PER_MS)

/* Beats without news go to other regions less often: bytes there are dear. */
#define FAR_EVERY 3

/*
 * Members that one round of beats goes to. Where there are more, each round
 * draws some, and what is heard is passed on.
 */
#define TARGETS_MOST 12
#define FAR_TARGETS_MOST 4

struct gossip {
	struct edge *edge;
	struct sync *sync; /* NULL: none attached */
	uv_udp_t udp;
	uv_timer_t timer;
	uint64_t epoch_us; /* makes numbers rise over restarts */
	uint32_t rounds;
	bool unknown; /* a member was heard of that the list didn't name */
	uint32_t relay_at; /* which members were passed on last */
};

struct datagram {
	uv_udp_send_t request;
	GBytes *bytes;
};

/* --- sending ------------------------------------------------------------ */

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
		load->backend = backend->hash;
		load->in_flight = backend->in_flight;
		beat->load_count++;
	}
}

static void add_news(const struct edge *edge, struct beat *beat)
{
	const GArray *news = edge->warmth.news;

	for (; beat->pair_count < MIN(news->len, BEAT_MAX_PAIRS);
	     beat->pair_count++)
		beat->pairs[beat->pair_count] =
			g_array_index(news, struct warm_pair, beat->pair_count);
}

static void drop_news(struct edge *edge, uint32_t count)
{
	if (count)
		g_array_remove_range(edge->warmth.news, 0, count);
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

static bool reads_for_others(const struct gossip *gossip)
{
	const struct edge *edge = gossip->edge;

	return member_table_reader(edge->members, edge_now_us(edge)) ==
	       edge->members->self;
}

/* Whether this round's beat goes to the member. */
static bool is_target(const struct gossip *gossip, const struct member *member,
		      bool near)
{
	const struct member_table *members = gossip->edge->members;
	uint32_t count = member_table_count(members);

	if (member == members->self || !member->peer.port ||
	    is_near(gossip->edge, member) != near)
		return false;
	/* Whoever reads for its region is heard by all of it, each time. */
	if (count <= TARGETS_MOST || (near && reads_for_others(gossip)))
		return true;
	return g_random_int_range(0, (gint32)count) <
	       (near ? TARGETS_MOST : FAR_TARGETS_MOST);
}

static void send_round(struct gossip *gossip, const struct beat *beat,
		       bool near)
{
	GBytes *bytes = beat_encode(beat);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gossip->edge->members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_target(gossip, value, near))
			send_to(gossip, value, bytes);
	g_bytes_unref(bytes);
}

static void add_change(const struct edge *edge, const char *id,
		       struct beat *beat)
{
	const struct backend *backend = backend_table_find(edge->backends, id);
	struct beat_row *row = &beat->rows[beat->row_count++];
	uint64_t now_us = edge_now_us(edge);

	g_strlcpy(row->id, id, sizeof(row->id));
	if (!backend)
		return;
	g_strlcpy(row->service, backend->service, sizeof(row->service));
	g_strlcpy(row->domain, backend->domain, sizeof(row->domain));
	row->address = backend->address;
	row->slots = backend->slots;
	row->draining = backend->draining;
	if (backend->listed_cold && backend->cold_until_us > now_us)
		row->cold_left_ms =
			(uint32_t)((backend->cold_until_us - now_us) /
				   US_PER_MS) +
			1;
}

static void tell_some(struct gossip *gossip, const GPtrArray *changes,
		      guint from, guint count)
{
	struct beat beat = { .life_count = 0 };
	guint i;

	add_life(&beat, gossip->edge->members->self);
	for (i = 0; i < count; i++)
		add_change(gossip->edge, changes->pdata[from + i], &beat);
	send_round(gossip, &beat, true);
}

void gossip_tell_changes(struct gossip *gossip)
{
	GPtrArray *changes = backend_table_take_changes(gossip->edge->backends);
	guint at;

	for (at = 0; at < changes->len && reads_for_others(gossip);
	     at += BEAT_MAX_ROWS)
		tell_some(gossip, changes, at,
			  MIN(BEAT_MAX_ROWS, changes->len - at));
	g_ptr_array_unref(changes);
}

static void beat_now(struct gossip *gossip)
{
	struct edge *edge = gossip->edge;
	struct member *self = edge->members->self;
	struct beat beat = { .life_count = 0 };
	bool far_too = gossip->rounds++ % FAR_EVERY == 0 ||
		       edge->warmth.news->len;

	/* Told after the digests, each change would make neighbours call. */
	gossip_tell_changes(gossip);
	self->beat = gossip->epoch_us + edge_now_us(edge);
	self->leaving = !edge_is_ready(edge);
	add_lives(gossip, &beat, far_too ? BEAT_MAX_LIVES - 1 : 3);
	add_loads(edge, &beat);
	if (far_too)
		add_news(edge, &beat);
	if (gossip->sync && reads_for_others(gossip))
		beat.vouch_count = sync_vouches(gossip->sync, beat.vouches);
	send_round(gossip, &beat, true);
	if (!far_too)
		return;
	beat.load_count = 0;
	beat.vouch_count = 0;
	beat.life_count = MIN(beat.life_count, 3);
	send_round(gossip, &beat, false);
	drop_news(edge, beat.pair_count);
}

static void on_timer(uv_timer_t *timer)
{
	struct gossip *gossip = timer->data;

	beat_now(gossip);
	if (gossip->unknown && gossip->sync && reads_for_others(gossip))
		sync_read_members(gossip->sync);
	gossip->unknown = false;
}

/* --- hearing ------------------------------------------------------------ */

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
			log_event(LOG_INFO, "member-state",
				  "member=%s serves=%s", member->name,
				  life->leaving ? "no" : "yes");
	}
}

static void take_news(struct edge *edge, const struct beat *beat)
{
	uint64_t now_us = edge_now_us(edge);
	uint32_t sender = beat->lives[0].member;
	uint32_t i;

	for (i = 0; i < beat->pair_count; i++)
		warmth_note(&edge->warmth, beat->pairs[i], false, now_us);
	if (beat->load_count)
		backend_table_forget_words(edge->backends, sender);
	for (i = 0; i < beat->load_count; i++) {
		struct backend *backend = backend_table_find_hash(
			edge->backends, beat->loads[i].backend);

		if (backend)
			backend_told(backend, sender, beat->loads[i].in_flight,
				     now_us);
	}
}

static void take_rows(struct edge *edge, const struct beat *beat)
{
	uint64_t now_us = edge_now_us(edge);
	uint32_t i;

	for (i = 0; i < beat->row_count; i++) {
		const struct beat_row *row = &beat->rows[i];
		const struct backend_facts facts = {
			.id = row->id,
			.service = row->service,
			.address = row->address,
			.domain = row->domain,
			.region = edge_settings_region(&edge->settings,
						       row->domain),
			.slots = row->slots,
			.draining = row->draining,
			.cold_left_us = row->cold_left_ms * US_PER_MS,
		};

		log_event(LOG_INFO, "backend-told",
			  "backend=%s left=%s draining=%s cold_left_ms=%u",
			  row->id, *row->service ? "no" : "yes",
			  row->draining ? "yes" : "no", row->cold_left_ms);
		if (*row->service)
			backend_table_put(edge->backends, &facts, now_us);
		else
			backend_table_remove(edge->backends, row->id, 0,
					     now_us);
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
		sync_vouched(gossip->sync, &beat->vouches[i]);
}

/* Peers use one port everywhere; the sender's own is another for its sends. */
static void ask_neighbour(struct gossip *gossip, const struct sockaddr *from)
{
	struct endpoint neighbour = { .port = gossip->edge->settings.peer.port };

	if (!uv_ip4_name((const struct sockaddr_in *)from, neighbour.address,
			 sizeof(neighbour.address)))
		sync_heard_neighbour(gossip->sync, &neighbour);
}

static void on_datagram(uv_udp_t *udp, ssize_t length, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned flags)
{
	struct gossip *gossip = udp->data;
	struct beat beat;

	if (length <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	if (!beat_decode(buffer->base, (size_t)length, &beat))
		return;
	if (gossip->sync && !edge_is_ready(gossip->edge))
		ask_neighbour(gossip, from);
	take_lives(gossip, &beat);
	take_news(gossip->edge, &beat);
	take_vouches(gossip, &beat);
}

static void lend_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[2 * BEAT_MAX_BYTES];

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

struct gossip *gossip_open(struct edge *edge, GError **error)
{
	const struct endpoint *at = &edge->settings.peer;
	struct gossip *gossip = g_new0(struct gossip, 1);
	struct sockaddr_in address;
	int status;

	gossip->edge = edge;
	/* A restarted node must be heard although its clock began anew. */
	gossip->epoch_us = (uint64_t)g_get_real_time() - edge_now_us(edge);
	uv_ip4_addr(at->address, at->port, &address);
	uv_udp_init(edge->loop, &gossip->udp);
	uv_timer_init(edge->loop, &gossip->timer);
	gossip->udp.data = gossip;
	gossip->timer.data = gossip;
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
	uv_timer_start(&gossip->timer, on_timer, 100,
		       BEAT_INTERVAL_US / US_PER_MS);
	return gossip;
}

void gossip_close(struct gossip *gossip)
{
	uv_close((uv_handle_t *)&gossip->udp, NULL);
	uv_close((uv_handle_t *)&gossip->timer, NULL);
}

void gossip_attach(struct gossip *gossip, struct sync *sync)
{
	gossip->sync = sync;
}

void gossip_hurry(struct gossip *gossip)
{
	gossip->rounds = 0;
	beat_now(gossip);
}
