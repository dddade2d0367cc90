#include "core/duration.h"
#include "experiment/fleet_parts.h"

/* As the deployed node: between two ticks, and ticks between two beats. */
#define TICK_US (100 * US_PER_MS)
#define TICKS_A_BEAT 4

/* A beat on its way. */
struct letter {
	struct node *from;
	struct node *to;
	GArray *news; /* of struct warm_update */
	GArray *loads; /* of struct node_load; NULL: none */
};

struct node_load {
	uint32_t backend;
	uint32_t in_flight;
};

static void take_news(struct node *node, const struct letter *letter)
{
	uint64_t now_us = node->fleet->now_us;
	enum warm_source source = letter->from->region == node->region ?
					  WARM_RECEIVED :
					  WARM_RELAYED;
	guint i;

	for (i = 0; i < letter->news->len; i++) {
		const struct warm_update *news =
			&g_array_index(letter->news, struct warm_update, i);

		if (!news->ready_us)
			warmth_note(&node->warmth, news->pair, source, now_us);
		else if (news->ready_us > now_us)
			warmth_begin(&node->warmth, news->pair, source,
				     news->ready_us, now_us);
	}
}

static void take_loads(struct node *node, const struct letter *letter)
{
	guint i;

	backend_table_clear_peer_loads(node->backends, letter->from->index);
	for (i = 0; i < letter->loads->len; i++) {
		const struct node_load *load =
			&g_array_index(letter->loads, struct node_load, i);
		struct backend *backend = backend_table_find_incarnation(
			node->backends, load->backend);

		if (backend)
			backend_note_peer_load(backend, letter->from->index,
					       load->in_flight,
					       node->fleet->now_us);
	}
}

static void letter_free(gpointer data)
{
	struct letter *letter = data;

	g_array_unref(letter->news);
	if (letter->loads)
		g_array_unref(letter->loads);
	g_free(letter);
}

static void on_letter(struct fleet *fleet, void *subject)
{
	struct letter *letter = subject;

	(void)fleet;
	if (letter->to->up) {
		take_news(letter->to, letter);
		if (letter->loads)
			take_loads(letter->to, letter);
	}
	letter_free(letter);
}

static void post(struct node *from, struct node *to, GArray *news,
		 GArray *loads)
{
	struct fleet *fleet = from->fleet;
	struct letter *letter;

	if (gsl_rng_uniform(fleet->random) < fleet->plan->beat_loss)
		return;
	letter = g_new0(struct letter, 1);
	letter->from = from;
	letter->to = to;
	letter->news = g_array_ref(news);
	letter->loads = loads ? g_array_ref(loads) : NULL;
	fleet_at_owned(fleet,
		       fleet->now_us +
			       fleet_way_us(fleet, from->region, to->region),
		       on_letter, letter, letter_free);
}

static GArray *own_loads(const struct node *node)
{
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(struct node_load));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;
		const struct node_load load = { backend->incarnation,
						backend->in_flight };

		if (backend->in_flight)
			g_array_append_val(loads, load);
	}
	return loads;
}

static GArray *taken_news(GArray **news)
{
	GArray *taken = *news;

	*news = g_array_new(FALSE, FALSE, sizeof(struct warm_update));
	return taken;
}

static void beat(struct node *node)
{
	struct fleet *fleet = node->fleet;
	GArray *news = taken_news(&node->warmth.updates);
	GArray *far_news = taken_news(&node->warmth.far_updates);
	GArray *loads = own_loads(node);
	uint32_t i;

	for (i = 0; i < fleet->node_count; i++) {
		struct node *to = &fleet->nodes[i];

		if (to == node)
			continue;
		if (to->region == node->region)
			post(node, to, news, loads);
		else if (far_news->len)
			post(node, to, far_news, NULL);
	}
	g_array_unref(news);
	g_array_unref(far_news);
	g_array_unref(loads);
}

static void on_tick(struct fleet *fleet, void *subject)
{
	struct node *node = subject;

	if (node->up &&
	    (node->ticks % TICKS_A_BEAT == 0 || node->warmth.updates->len ||
	     node->warmth.far_updates->len))
		beat(node);
	node->ticks++;
	fleet_at(fleet, fleet->now_us + TICK_US, on_tick, node);
}

void beats_start(struct node *node)
{
	struct fleet *fleet = node->fleet;

	fleet_at(fleet, node->index * TICK_US / fleet->node_count, on_tick,
		 node);
}
