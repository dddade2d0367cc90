#include "edge/gossip.h"

#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/result.h"
#include "edge/beat.h"

/* Between two beats to a neighbour; loads change within a service time. */
#define BEAT_INTERVAL_US (400 * US_PER_MS)

/* Beats without news go to other regions less often: bytes there are dear. */
#define FAR_EVERY 3

/*
 * Members that one round of beats goes to. Where there are more, each round
 * draws some, and what is heard is passed on.
 */
#define TARGETS_MOST 12

struct gossip {
	struct edge *edge;
	uv_udp_t udp;
	uv_timer_t timer;
	uint64_t epoch_us; /* makes numbers rise over restarts */
	uint32_t rounds;
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
	uint32_t count = MIN(news->len, BEAT_MAX_PAIRS);

	memcpy(beat->pairs, news->data, count * sizeof(struct warm_pair));
	beat->pair_count = count;
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

/* Whether this round's beat goes to the member. */
static bool is_target(const struct gossip *gossip, const struct member *member,
		      bool near)
{
	const struct member_table *members = gossip->edge->members;
	uint32_t count = member_table_count(members);

	if (member == members->self || !member->peer.port ||
	    is_near(gossip->edge, member) != near)
		return false;
	return count <= TARGETS_MOST ||
	       g_random_int_range(0, (gint32)count) < TARGETS_MOST;
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

static void beat_now(struct gossip *gossip)
{
	struct edge *edge = gossip->edge;
	struct member *self = edge->members->self;
	struct beat beat = { .life_count = 0 };
	bool far_too = gossip->rounds++ % FAR_EVERY == 0 ||
		       edge->warmth.news->len;

	self->beat = gossip->epoch_us + edge_now_us(edge);
	self->leaving = !edge_is_ready(edge);
	add_lives(gossip, &beat, far_too ? BEAT_MAX_LIVES - 1 : 3);
	add_loads(edge, &beat);
	if (far_too)
		add_news(edge, &beat);
	send_round(gossip, &beat, true);
	if (!far_too)
		return;
	beat.load_count = 0;
	beat.life_count = MIN(beat.life_count, 3);
	send_round(gossip, &beat, false);
	drop_news(edge, beat.pair_count);
}

static void on_timer(uv_timer_t *timer)
{
	beat_now(timer->data);
}

/* --- hearing ------------------------------------------------------------ */

static void take_lives(struct edge *edge, const struct beat *beat)
{
	uint64_t now_us = edge_now_us(edge);
	uint32_t i;

	for (i = 0; i < beat->life_count; i++) {
		const struct beat_life *life = &beat->lives[i];
		struct member *member =
			member_table_find_hash(edge->members, life->member);
		bool served;

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

static void on_datagram(uv_udp_t *udp, ssize_t length, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned flags)
{
	struct gossip *gossip = udp->data;
	struct beat beat;

	if (length <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	if (!beat_decode(buffer->base, (size_t)length, &beat))
		return;
	take_lives(gossip->edge, &beat);
	take_news(gossip->edge, &beat);
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

void gossip_hurry(struct gossip *gossip)
{
	gossip->rounds = 0;
	beat_now(gossip);
}
