#include "node/state_parts.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <urcu-bp.h>

#include "adapters/log.h"
#include "core/result.h"

/* Extra attempts that a quiet service may have saved up. */
#define BUDGET_BURST 20

/* A reused connection that says nothing for so many service times is suspect.
 */
#define SILENCE_SERVICE_TIMES 8
#define SILENCE_LEAST_US 300000

static __thread uint64_t draw_state;

uint32_t state_draw(void)
{
	uint64_t mixed;

	if (!draw_state &&
	    getrandom(&draw_state, sizeof(draw_state), 0) != sizeof(draw_state))
		draw_state = (uint64_t)(uintptr_t)&draw_state;
	/* splitmix64 */
	draw_state += 0x9e3779b97f4a7c15ull;
	mixed = draw_state;
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ull;
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebull;
	return (uint32_t)(mixed >> 32);
}

uint64_t state_now_us(const struct node *node)
{
	return clock_now_us(node->clock);
}

uint64_t state_ticket_epoch(const struct node *node)
{
	return ticket_epoch(state_now_us(node) - node->started_us);
}

static struct metric *
service_metric(struct metric *(*make)(const char *, const char *, const char *),
	       const char *metric, const char *help, const char *service)
{
	char labels[NAME_SIZE + 16];

	g_snprintf(labels, sizeof(labels), "service=\"%s\"", service);
	return make(metric, help, labels);
}

static struct service *service_new(const char *name, uint32_t retry_permille)
{
	struct service *service = g_new0(struct service, 1);

	g_strlcpy(service->name, name, NAME_SIZE);
	pthread_mutex_init(&service->steer_lock, NULL);
	pthread_mutex_init(&service->gate_lock, NULL);
	service->steer = steer_new();
	service->gate = gate_new();
	budget_init(&service->budget, retry_permille, BUDGET_BURST);
	service->requests = service_metric(metric_counter,
					   "lilacfield_requests_total",
					   "Callers' requests taken", name);
	service->refused = service_metric(metric_counter,
					  "lilacfield_refused_total",
					  "Requests refused as not run", name);
	service->extra_attempts = service_metric(
		metric_counter, "lilacfield_extra_attempts_total",
		"Attempts after the first", name);
	service->latency = service_metric(metric_histogram,
					  "lilacfield_latency_us",
					  "Time to the whole answer", name);
	return service;
}

bool service_may_repeat(void *context)
{
	struct service *service = context;
	bool may;

	pthread_mutex_lock(&service->steer_lock);
	may = budget_spend(&service->budget);
	pthread_mutex_unlock(&service->steer_lock);
	if (may)
		metric_add(service->extra_attempts, 1);
	return may;
}

uint64_t service_silence_us(uint64_t service_us)
{
	return MAX(SILENCE_SERVICE_TIMES * service_us, SILENCE_LEAST_US);
}

static void service_free(gpointer data)
{
	struct service *service = data;

	steer_free(service->steer);
	gate_free(service->gate);
	pthread_mutex_destroy(&service->steer_lock);
	pthread_mutex_destroy(&service->gate_lock);
	g_free(service);
}

static void seat_entry_free(gpointer data)
{
	struct shift_seat *entry = data;

	seat_free(entry->seat);
	g_free(entry);
}

struct node *state_new(const struct settings *settings,
		       const struct clock *clock, struct platform *platform)
{
	struct node *node = g_new0(struct node, 1);

	node->settings = settings;
	node->clock = clock;
	node->platform = platform;
	node->http = http_client_new();
	node->view = view_new();
	node->started_us = state_now_us(node);
	if (getrandom(&node->incarnation, sizeof(node->incarnation), 0) !=
	    sizeof(node->incarnation))
		g_error("no random numbers for the incarnation");
	pthread_mutex_init(&node->apply_lock, NULL);
	pthread_mutex_init(&node->ledger_lock, NULL);
	pthread_mutex_init(&node->seats_lock, NULL);
	pthread_mutex_init(&node->vms_lock, NULL);
	node->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       service_free);
	node->shares = share_table_new();
	node->sharers = g_ptr_array_new_with_free_func(g_free);
	node->entry_ledger = ledger_new(LEDGER_MAX_ENTRIES);
	node->hop_ledger = ledger_new(LEDGER_MAX_ENTRIES);
	node->seats = g_ptr_array_new_with_free_func(seat_entry_free);
	node->vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return node;
}

void state_free(struct node *node)
{
	snapshot_put(node->snapshot);
	g_free(node->states);
	g_hash_table_destroy(node->vms);
	g_ptr_array_unref(node->seats);
	ledger_free(node->hop_ledger);
	ledger_free(node->entry_ledger);
	g_hash_table_destroy(node->services);
	g_ptr_array_unref(node->sharers);
	share_table_free(node->shares);
	pthread_mutex_destroy(&node->vms_lock);
	pthread_mutex_destroy(&node->seats_lock);
	pthread_mutex_destroy(&node->ledger_lock);
	pthread_mutex_destroy(&node->apply_lock);
	view_free(node->view);
	http_client_free(node->http);
	g_free(node);
}

struct snapshot *snapshot_get(struct node *node)
{
	struct snapshot *snapshot;

	rcu_read_lock();
	snapshot = rcu_dereference(node->snapshot);
	if (snapshot)
		atomic_fetch_add(&snapshot->references, 1);
	rcu_read_unlock();
	return snapshot;
}

void snapshot_put(struct snapshot *snapshot)
{
	if (!snapshot || atomic_fetch_sub(&snapshot->references, 1) != 1)
		return;
	lookup_table_free(snapshot->lookup);
	g_strfreev(snapshot->node_texts);
	config_free(snapshot->config);
	g_free(snapshot->services);
	g_free(snapshot);
}

uint64_t state_version(struct node *node)
{
	struct snapshot *snapshot = snapshot_get(node);
	uint64_t version = snapshot ? snapshot->config->version : 0;

	snapshot_put(snapshot);
	return version;
}

enum vm_state state_vm(struct node *node, const char *address)
{
	enum vm_state state;

	pthread_mutex_lock(&node->vms_lock);
	state = (enum vm_state)GPOINTER_TO_INT(
		g_hash_table_lookup(node->vms, address));
	pthread_mutex_unlock(&node->vms_lock);
	return state;
}

static struct service *ensure_service(struct node *node, const char *name)
{
	struct service *service = g_hash_table_lookup(node->services, name);

	if (!service) {
		service =
			service_new(name, node->settings->retry_share_permille);
		g_hash_table_insert(node->services, service->name, service);
	}
	return service;
}

/* Names were checked to need no escapes. */
static char **make_node_texts(const struct config *config)
{
	char **texts = g_new0(char *, config->node_count + 1);
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		const struct config_node *node = &config->nodes[i];

		texts[i] = g_strdup_printf("{\"node\":\"%s\",\"place\":\"%s\","
					   "\"address\":\"%s\",\"port\":%u}",
					   node->name,
					   config->places[node->place].name,
					   node->address, node->http_port);
	}
	return texts;
}

static struct snapshot *snapshot_new(struct node *node, struct config *config)
{
	struct snapshot *snapshot = g_new0(struct snapshot, 1);
	uint32_t i;

	atomic_init(&snapshot->references, 1);
	snapshot->config = config;
	snapshot->services =
		g_new0(struct service *, config->service_count + 1);
	for (i = 0; i < config->service_count; i++)
		snapshot->services[i] =
			ensure_service(node, config->services[i].name);
	snapshot->lookup = lookup_table_new(config);
	snapshot->node_texts = make_node_texts(config);
	snapshot->own_node = config_find_node(config, node->settings->name);
	snapshot->own_place = config_find_place(config, node->settings->place);
	if (snapshot->own_node != CONFIG_NONE)
		snapshot->own_place = config->nodes[snapshot->own_node].place;
	return snapshot;
}

static void publish(struct node *node, struct snapshot *snapshot)
{
	struct snapshot *before = node->snapshot;

	rcu_assign_pointer(node->snapshot, snapshot);
	/* After it, nobody is between reading the pointer and counting. */
	synchronize_rcu();
	snapshot_put(before);
}

bool state_apply(struct node *node, struct config *config, GError **error)
{
	struct snapshot *snapshot;
	uint64_t version = config->version;
	uint64_t now_us;
	uint32_t i;

	pthread_mutex_lock(&node->apply_lock);
	/*
	 * A lagging peer, a restored platform or a crossed answer may offer an
	 * older version. Taking it would undo what an operator was told is in
	 * force; so a node compares under the lock and only moves forward.
	 */
	if (node->snapshot && node->snapshot->config->version >= version) {
		pthread_mutex_unlock(&node->apply_lock);
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_OLDER,
			    "version %" G_GUINT64_FORMAT " is not newer",
			    version);
		config_free(config);
		return false;
	}
	now_us = state_now_us(node);
	snapshot = snapshot_new(node, config);
	state_change_shares(node, snapshot);
	for (i = 0; i < config->service_count; i++) {
		state_set_backends(node, snapshot, node->snapshot, i, now_us);
		state_set_steer(snapshot, i, now_us);
	}
	publish(node, snapshot);
	pthread_mutex_unlock(&node->apply_lock);
	log_event(LOG_INFO, "config-in-force", "version=%" G_GUINT64_FORMAT,
		  version);
	return true;
}
