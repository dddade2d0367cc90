#include "node/loops.h"

#include <jansson.h>
#include <string.h>
#include <time.h>

#include "adapters/log.h"
#include "adapters/peer_rpc.h"
#include "core/endpoint.h"
#include "core/wire.h"
#include "node/command.h"
#include "node/seats.h"
#include "node/wait.h"

/* A node that isn't its place's reader of the platform polls this much less. */
#define FALLBACK_POLL_FACTOR 5

/* Between rounds with siblings while the shares of slots wait for them. */
#define UNSETTLED_INTERVAL_US 25000

#define SEATS_INTERVAL_US 250000
#define VMS_INTERVAL_US 1000000
#define PEER_TIMEOUT_US 1000000
#define PROBE_TIMEOUT_US 500000

/* Threads that probe, so that a frozen backend server holds up few others. */
#define PROBE_LANES 4
#define PROBE_ANSWER_MAX_BYTES 4096

/* Peers of other places that a node exchanges reports with in one round. */
#define REMOTE_PEERS_A_ROUND 3

struct loops;

/* One thread that does its work again and again. */
struct loop {
	struct loops *loops;
	void (*work)(struct loop *loop);
	uint64_t interval_us;
	pthread_t thread;
	GHashTable *clients; /* struct peer_client by address:port */
	uint32_t lane; /* of the probes */
	uint64_t rounds;
	uint64_t seen_version; /* config loop: last one read or refused */
	bool platform_down; /* config loop: said so in the log */
};

struct loops {
	struct node *node;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool closing;
	bool hurry; /* the siblings' loop is to start its round */
	struct loop *all;
	uint32_t count;
};

static void exchange_with_siblings(struct loop *loop);

static bool is_hurried(struct loop *loop)
{
	return loop->work == exchange_with_siblings && loop->loops->hurry;
}

static uint64_t interval_of(struct loop *loop)
{
	if (loop->work == exchange_with_siblings &&
	    !state_shares_are_settled(loop->loops->node))
		return MIN(UNSETTLED_INTERVAL_US, loop->interval_us);
	return loop->interval_us;
}

static bool wait_for_round(struct loop *loop)
{
	struct loops *loops = loop->loops;
	struct timespec until;
	uint64_t wait_us = interval_of(loop);
	bool closing;

	/* Spread by a quarter, so that nodes don't come all at once. */
	wait_us += wait_us * (state_draw() % 256) / 1024;
	until = wait_until_us(wait_us);
	pthread_mutex_lock(&loops->lock);
	while (!loops->closing && !is_hurried(loop) &&
	       wait_cond(&loops->wake, &loops->lock, until))
		continue;
	closing = loops->closing;
	if (is_hurried(loop))
		loops->hurry = false;
	pthread_mutex_unlock(&loops->lock);
	return !closing;
}

static void *run_loop(void *context)
{
	struct loop *loop = context;

	do {
		loop->work(loop);
		loop->rounds++;
	} while (wait_for_round(loop));
	return NULL;
}

/* Put text in force if it is good and newer; the last good one stays if not. */
static bool apply_text(struct node *node, const char *text, uint64_t version,
		       const char *source)
{
	GError *error = NULL;
	struct config *config = config_decode(text, strlen(text), &error);

	if (config) {
		config->version = version;
		if (state_apply(node, config, &error)) {
			loops_hurry(node);
			return true;
		}
	}
	if (error->code != RESULT_CONFIG_OLDER)
		log_event(LOG_ERROR, "config-refused",
			  "version=%" G_GUINT64_FORMAT
			  " source=%s reason=\"%s\"",
			  version, source, error->message);
	g_error_free(error);
	return false;
}

/*
 * One node of a place reads the platform for all: the first usable one. The
 * others look now and then, in case it is cut off from the platform.
 */
static bool is_reader(struct node *node)
{
	struct snapshot *snapshot = snapshot_get(node);
	bool reader = true;
	uint32_t i;

	for (i = 0; reader && snapshot && snapshot->own_node != CONFIG_NONE &&
		    i < snapshot->own_node;
	     i++)
		if (snapshot->config->nodes[i].place == snapshot->own_place &&
		    view_is_usable(node->view, snapshot->config->nodes[i].name,
				   state_now_us(node)))
			reader = false;
	snapshot_put(snapshot);
	return reader;
}

static void note_platform(struct loop *loop, bool down, const char *reason)
{
	if (down != loop->platform_down)
		log_event(down ? LOG_WARNING : LOG_INFO,
			  down ? "platform-lost" : "platform-back",
			  "reason=\"%s\"", reason);
	loop->platform_down = down;
}

static void poll_config(struct loop *loop)
{
	struct node *node = loop->loops->node;
	struct platform_row row = { 0, NULL };
	GError *error = NULL;

	if (state_version(node) && !is_reader(node) &&
	    loop->rounds % FALLBACK_POLL_FACTOR)
		return;
	if (!platform_read(node->platform, CONFIG_TABLE, CONFIG_KEY, &row,
			   &error)) {
		note_platform(loop, true, error->message);
		g_error_free(error);
		return;
	}
	note_platform(loop, false, "it answers");
	if (row.value && row.version > state_version(node) &&
	    row.version != loop->seen_version)
		apply_text(node, row.value, row.version, "platform");
	loop->seen_version = row.version;
	platform_row_release(&row);
}

static void poll_vms(struct loop *loop)
{
	struct node *node = loop->loops->node;
	struct platform_vm_list list = { NULL, 0 };
	uint32_t i;

	/* Without an answer the last list stands: silence removes nobody. */
	if (!platform_list_vms(node->platform, &list, NULL))
		return;
	pthread_mutex_lock(&node->vms_lock);
	g_hash_table_remove_all(node->vms);
	for (i = 0; i < list.count; i++)
		g_hash_table_insert(node->vms, g_strdup(list.vms[i].address),
				    GINT_TO_POINTER(list.vms[i].state));
	pthread_mutex_unlock(&node->vms_lock);
	platform_vm_list_release(&list);
	state_refresh_backends(node);
}

static void keep_seats(struct loop *loop)
{
	seats_keep(loop->loops->node);
}

/*
 * Only what this node saw for itself: the configuration, the platform's list,
 * the server's own report. If it passed on what a peer had told it, two nodes
 * would keep each other believing, and a server that was drained once would
 * never get work again.
 */
static bool is_seen_leaving(struct node *node, const struct snapshot *snapshot,
			    const struct gate *gate, const char *backend)
{
	const struct config *config = snapshot->config;
	uint32_t index = config_find_backend(config, backend);

	return gate_has_reported_leaving(gate, backend) ||
	       (index != CONFIG_NONE &&
		state_backend_leaving(node, config, &config->backends[index]));
}

/* Backend servers of the own place that are seen to leave, to pass on. */
static void add_leaving(struct node *node, const struct snapshot *snapshot,
			uint32_t index, GArray *names)
{
	struct service *service = snapshot->services[index];
	struct gate_backend_view view;
	uint32_t i;

	pthread_mutex_lock(&service->gate_lock);
	for (i = 0; names->len < PEER_MAX_BACKENDS &&
		    gate_view(service->gate, i, state_now_us(node), &view);
	     i++) {
		char name[NAME_SIZE] = { 0 };

		if (!is_seen_leaving(node, snapshot, service->gate, view.name))
			continue;
		g_strlcpy(name, view.name, sizeof(name));
		g_array_append_vals(names, name, 1);
	}
	pthread_mutex_unlock(&service->gate_lock);
}

static void fill_services(struct node *node, const struct snapshot *snapshot,
			  struct peer_report *report)
{
	GArray *leaving = g_array_new(FALSE, TRUE, NAME_SIZE);
	uint32_t count = snapshot->config->service_count;
	uint32_t i;

	report->services = g_new0(struct peer_service_report, count + 1);
	report->service_count = count;
	for (i = 0; i < count; i++) {
		struct service *service = snapshot->services[i];

		g_strlcpy(report->services[i].service, service->name,
			  NAME_SIZE);
		pthread_mutex_lock(&service->gate_lock);
		gate_summarise(service->gate, state_now_us(node),
			       &report->services[i].summary);
		pthread_mutex_unlock(&service->gate_lock);
		add_leaving(node, snapshot, i, leaving);
	}
	report->leaving_backend_count = leaving->len;
	report->leaving_backends =
		(char(*)[NAME_SIZE])g_array_free(leaving, FALSE);
}

/* Everything this node knows, its own report first. */
static void fill_message(struct node *node, struct peer_message *message)
{
	struct snapshot *snapshot = snapshot_get(node);
	struct peer_report *own = g_new0(struct peer_report, 1);

	memset(message, 0, sizeof(*message));
	g_strlcpy(message->sender, node->settings->name, NAME_SIZE);
	message->reports = own;
	message->report_count = 1;
	g_strlcpy(own->node, node->settings->name, NAME_SIZE);
	own->incarnation = node->incarnation;
	own->sequence = atomic_fetch_add(&node->sequence, 1) + 1;
	own->ticket_epoch = state_ticket_epoch(node);
	own->leaving = atomic_load(&node->stopping);
	own->shares_version = state_declared_version(node);
	if (snapshot) {
		own->config_version = snapshot->config->version;
		fill_services(node, snapshot, own);
	}
	snapshot_put(snapshot);
	view_fill(node->view, message, node->settings->name,
		  state_now_us(node));
}

static void take_message(struct node *node, const struct peer_message *message)
{
	uint64_t now_us = state_now_us(node);
	uint64_t newest = 0;
	uint32_t i;

	for (i = 0; i < message->report_count; i++) {
		newest = MAX(newest, message->reports[i].config_version);
		if (strcmp(message->reports[i].node, node->settings->name) != 0)
			view_take(node->view, &message->reports[i], now_us);
	}
	if (newest > state_version(node))
		loops_hurry(node);
}

static void fetch_config(struct node *node, struct peer_client *client,
			 const char *source)
{
	uint64_t version = 0;
	char *text = NULL;

	if (!peer_client_config(client, state_version(node), &version, &text,
				NULL))
		return;
	if (text)
		apply_text(node, text, version, source);
	g_free(text);
}

static struct peer_client *client_for(struct loop *loop, const char *address,
				      uint16_t port)
{
	char *key = g_strdup_printf("%s:%u", address, port);
	struct peer_client *client = g_hash_table_lookup(loop->clients, key);

	if (client) {
		g_free(key);
		return client;
	}
	client = peer_client_new(address, port, PEER_TIMEOUT_US);
	g_hash_table_insert(loop->clients, key, client);
	return client;
}

static bool exchange_with(struct loop *loop, const char *name,
			  const char *address, uint16_t port)
{
	struct node *node = loop->loops->node;
	struct peer_client *client = client_for(loop, address, port);
	struct peer_message message;
	struct peer_message answer;
	bool good;

	fill_message(node, &message);
	good = peer_client_exchange(client, &message, &answer, NULL);
	peer_message_release(&message);
	if (!good) {
		if (name)
			view_failed(node->view, name, state_now_us(node));
		return false;
	}
	take_message(node, &answer);
	if (answer.report_count)
		view_answered(node->view, answer.reports[0].node,
			      answer.reports[0].incarnation);
	if (answer.report_count &&
	    answer.reports[0].config_version > state_version(node))
		fetch_config(node, client, answer.sender);
	peer_message_release(&answer);
	return true;
}

static void exchange_with_node(struct loop *loop,
			       const struct snapshot *snapshot, uint32_t index)
{
	const struct config_node *peer = &snapshot->config->nodes[index];

	exchange_with(loop, peer->name, peer->address, peer->peer_port);
}

static void exchange_with_siblings(struct loop *loop)
{
	struct node *node = loop->loops->node;
	struct snapshot *snapshot = snapshot_get(node);
	uint32_t i;

	for (i = 0; snapshot && i < snapshot->config->node_count; i++)
		if (i != snapshot->own_node &&
		    snapshot->config->nodes[i].place == snapshot->own_place)
			exchange_with_node(loop, snapshot, i);
	snapshot_put(snapshot);
	state_refresh_shares(node);
	state_refresh_places(node);
	state_refresh_nodes(node);
}

static void ask_seeds(struct loop *loop)
{
	const struct settings *settings = loop->loops->node->settings;
	uint32_t i;

	for (i = 0; i < settings->seed_count; i++) {
		struct endpoint seed;

		if (endpoint_parse(settings->seeds[i], &seed))
			exchange_with(loop, NULL, seed.address, seed.port);
	}
}

static uint32_t draw_remote(const struct snapshot *snapshot)
{
	const struct config *config = snapshot->config;
	uint32_t found = CONFIG_NONE;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < config->node_count; i++)
		if (config->nodes[i].place != snapshot->own_place &&
		    !(state_draw() % ++count))
			found = i;
	return found;
}

static void exchange_with_others(struct loop *loop)
{
	struct node *node = loop->loops->node;
	struct snapshot *snapshot = snapshot_get(node);
	uint32_t peer;
	int i;

	if (!snapshot) {
		ask_seeds(loop);
		return;
	}
	for (i = 0; i < REMOTE_PEERS_A_ROUND; i++) {
		peer = draw_remote(snapshot);
		if (peer != CONFIG_NONE)
			exchange_with_node(loop, snapshot, peer);
	}
	snapshot_put(snapshot);
}

/* What a backend server's load endpoint said. */
static bool read_load(const struct http_answer *answer, uint32_t *in_flight,
		      bool *leaving)
{
	json_t *root;
	json_t *number;
	bool good;

	if (answer->outcome != HTTP_ANSWERED || answer->status != 200)
		return false;
	root = json_loadb(answer->body, answer->body_bytes, 0, NULL);
	number = json_object_get(root, "in_flight");
	good = json_is_integer(number) && json_integer_value(number) >= 0 &&
	       json_integer_value(number) <= UINT32_MAX;
	*in_flight = (uint32_t)json_integer_value(number);
	*leaving = json_is_true(json_object_get(root, "leaving"));
	json_decref(root);
	return good;
}

static void probe_backend(struct node *node, struct service *service,
			  const struct config_backend *backend)
{
	struct http_request request = {
		.method = "GET",
		.address = backend->address,
		.port = backend->port,
		.path = WIRE_PATH_BACKEND_LOAD,
		.timeout_us = PROBE_TIMEOUT_US,
		.answer_max_bytes = PROBE_ANSWER_MAX_BYTES,
	};
	struct http_answer answer;
	uint32_t in_flight = 0;
	bool leaving = false;
	bool read;

	http_client_exchange(node->http, &request, &answer);
	read = read_load(&answer, &in_flight, &leaving);
	pthread_mutex_lock(&service->gate_lock);
	gate_record_probe(service->gate, backend->name,
			  answer.outcome == HTTP_ANSWERED, state_now_us(node));
	if (read)
		gate_record_report(service->gate, backend->name, in_flight,
				   leaving, state_now_us(node));
	pthread_mutex_unlock(&service->gate_lock);
	http_answer_release(&answer);
}

static void probe_backends(struct loop *loop)
{
	struct node *node = loop->loops->node;
	struct snapshot *snapshot = snapshot_get(node);
	uint32_t i;

	for (i = 0; snapshot && i < snapshot->config->backend_count; i++) {
		const struct config_backend *backend =
			&snapshot->config->backends[i];

		if (backend->place == snapshot->own_place &&
		    i % PROBE_LANES == loop->lane)
			probe_backend(node,
				      snapshot->services[backend->service],
				      backend);
	}
	snapshot_put(snapshot);
	state_refresh_backends(node);
}

static void handle_exchange(void *context, const struct peer_message *message,
			    struct peer_message *answer)
{
	struct node *node = context;

	take_message(node, message);
	fill_message(node, answer);
}

static char *handle_config(void *context, uint64_t newer_than,
			   uint64_t *version)
{
	struct node *node = context;
	struct snapshot *snapshot = snapshot_get(node);
	char *text = NULL;

	if (snapshot && snapshot->config->version > newer_than) {
		*version = snapshot->config->version;
		text = config_encode(snapshot->config);
	}
	snapshot_put(snapshot);
	return text;
}

struct peer_handler loops_peer_handler(struct node *node)
{
	struct peer_handler handler = { node, handle_exchange, handle_config };

	return handler;
}

static void free_client(gpointer client)
{
	peer_client_free(client);
}

static void start_loop(struct loops *loops, void (*work)(struct loop *),
		       uint64_t interval_us, uint32_t lane)
{
	struct loop *loop = &loops->all[loops->count++];

	loop->loops = loops;
	loop->work = work;
	loop->interval_us = interval_us;
	loop->lane = lane;
	loop->clients = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_client);
	pthread_create(&loop->thread, NULL, run_loop, loop);
}

void loops_hurry(struct node *node)
{
	struct loops *loops = node->loops;

	if (!loops)
		return;
	pthread_mutex_lock(&loops->lock);
	loops->hurry = true;
	pthread_cond_broadcast(&loops->wake);
	pthread_mutex_unlock(&loops->lock);
}

struct loops *loops_open(struct node *node)
{
	const struct settings *settings = node->settings;
	struct loops *loops = g_new0(struct loops, 1);
	uint32_t lane;

	loops->node = node;
	node->loops = loops;
	loops->all = g_new0(struct loop, 5 + PROBE_LANES);
	pthread_mutex_init(&loops->lock, NULL);
	wait_cond_init(&loops->wake);
	start_loop(loops, poll_config, settings->poll_interval_us, 0);
	start_loop(loops, poll_vms, VMS_INTERVAL_US, 0);
	start_loop(loops, keep_seats, SEATS_INTERVAL_US, 0);
	start_loop(loops, exchange_with_siblings, settings->report_interval_us,
		   0);
	start_loop(loops, exchange_with_others, settings->report_interval_us,
		   0);
	for (lane = 0; lane < PROBE_LANES; lane++)
		start_loop(loops, probe_backends, settings->probe_interval_us,
			   lane);
	return loops;
}

void loops_close(struct loops *loops)
{
	uint32_t i;

	loops->node->loops = NULL;
	pthread_mutex_lock(&loops->lock);
	loops->closing = true;
	pthread_cond_broadcast(&loops->wake);
	pthread_mutex_unlock(&loops->lock);
	for (i = 0; i < loops->count; i++) {
		pthread_join(loops->all[i].thread, NULL);
		g_hash_table_destroy(loops->all[i].clients);
	}
	pthread_cond_destroy(&loops->wake);
	pthread_mutex_destroy(&loops->lock);
	g_free(loops->all);
	g_free(loops);
}
