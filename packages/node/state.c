#include "node/state.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <urcu-bp.h>

#include "adapters/log.h"
#include "core/result.h"

/* Extra attempts that a quiet service may have saved up. */
#define BUDGET_BURST 20

/* A node that was silent for longer runs nothing any more; see settle(). */
#define SHARER_SILENT_US (10 * 1000 * 1000ull)

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

/*
 * This node's rank among the nodes that share its place's slots: the listed
 * ones that aren't drained. False where it isn't one of them.
 */
static bool find_rank(const struct snapshot *snapshot, uint32_t *rank,
		      uint32_t *count)
{
	const struct config *config = snapshot->config;
	bool found = false;
	uint32_t i;

	*rank = 0;
	*count = 0;
	for (i = 0; i < config->node_count; i++) {
		if (config->nodes[i].place != snapshot->own_place ||
		    config->nodes[i].drained)
			continue;
		if (i == snapshot->own_node) {
			*rank = *count;
			found = true;
		}
		(*count)++;
	}
	return found;
}

bool state_backend_leaving(struct node *node, const struct config *config,
			   const struct config_backend *backend)
{
	return backend->drained || config->places[backend->place].drained ||
	       state_vm(node, backend->address) == VM_LEAVING;
}

/* Leaving is the OR of every sign that can be had; each may come first. */
static bool backend_is_leaving(struct node *node, const struct config *config,
			       const struct config_backend *backend,
			       uint64_t now_us)
{
	return state_backend_leaving(node, config, backend) ||
	       view_backend_leaving(node->view, backend->name, now_us);
}

static bool was_known(const struct snapshot *before, const char *backend)
{
	return !before ||
	       config_find_backend(before->config, backend) != CONFIG_NONE;
}

static void set_backends(struct node *node, const struct snapshot *snapshot,
			 const struct snapshot *before, uint32_t index,
			 uint64_t now_us)
{
	const struct config *config = snapshot->config;
	struct service *service = snapshot->services[index];
	struct gate_backend_spec *specs;
	uint32_t count = 0;
	uint32_t i;

	specs = g_new0(struct gate_backend_spec, config->backend_count + 1);
	/* A node that isn't listed knows no backend servers. */
	for (i = 0;
	     snapshot->own_node != CONFIG_NONE && i < config->backend_count;
	     i++) {
		const struct config_backend *backend = &config->backends[i];
		struct gate_backend_spec *spec = &specs[count];

		if (backend->service != index ||
		    backend->place != snapshot->own_place)
			continue;
		spec->name = backend->name;
		spec->slots = share_table_slots(node->shares, backend->name);
		spec->total_slots = backend->slots;
		spec->leaving =
			backend_is_leaving(node, config, backend, now_us);
		spec->cold = !was_known(before, backend->name);
		count++;
	}
	pthread_mutex_lock(&service->gate_lock);
	gate_set_backends(service->gate, specs, count, now_us);
	pthread_mutex_unlock(&service->gate_lock);
	g_free(specs);
}

void state_refresh_backends(struct node *node)
{
	struct snapshot *snapshot;
	uint32_t i;

	/* Not against the next version's numbers, should it come meanwhile. */
	pthread_mutex_lock(&node->apply_lock);
	snapshot = snapshot_get(node);
	for (i = 0; snapshot && i < snapshot->config->service_count; i++)
		set_backends(node, snapshot, snapshot, i, state_now_us(node));
	snapshot_put(snapshot);
	pthread_mutex_unlock(&node->apply_lock);
}

/* Every node that may use slots of the place: present and former ones. */
static void add_sharers(struct node *node, const struct snapshot *snapshot)
{
	const struct config *config = snapshot->config;
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		const char *name = config->nodes[i].name;

		if (config->nodes[i].place != snapshot->own_place ||
		    i == snapshot->own_node ||
		    g_ptr_array_find_with_equal_func(node->sharers, name,
						     g_str_equal, NULL))
			continue;
		g_ptr_array_add(node->sharers, g_strdup(name));
	}
}

static void change_shares(struct node *node, const struct snapshot *snapshot)
{
	const struct config *config = snapshot->config;
	struct share_target *targets;
	uint32_t rank, nodes, i;
	uint32_t count = 0;
	bool shares = find_rank(snapshot, &rank, &nodes);

	targets = g_new0(struct share_target, config->backend_count + 1);
	for (i = 0; shares && i < config->backend_count; i++) {
		const struct config_backend *backend = &config->backends[i];

		if (backend->place != snapshot->own_place)
			continue;
		targets[count].backend = backend->name;
		targets[count].slots = gate_share(backend->slots, rank, nodes);
		count++;
	}
	share_table_change(node->shares, config->version, targets, count);
	node->shares_since_us = state_now_us(node);
	add_sharers(node, snapshot);
	g_free(targets);
}

/*
 * Whether the other node keeps to the shares of the present version. One that
 * is silent may be dead or cut off. It is waited for as long as a report may
 * be late; then it is taken to be gone, so that its place goes on with what it
 * can. A cut within one failure domain, at the moment of a change of its nodes
 * or slots, can so make the sum exceed the slots until the cut heals.
 *
 * Only a node that answered a call of ours counts, since it has our present
 * incarnation's report. One that hasn't may still go by what our former life
 * declared: restarted with an older version from a lagging peer, this node
 * would take its larger share of that one while the other has grown already.
 */
static bool sharer_is_ready(struct node *node, const char *name,
			    uint64_t now_us)
{
	struct view_node known;

	if (view_find(node->view, name, now_us, &known) &&
	    known.age_us < SHARER_SILENT_US)
		return known.answered &&
		       known.shares_version ==
			       share_table_version(node->shares);
	return now_us - node->shares_since_us >= SHARER_SILENT_US;
}

static bool all_sharers_are_ready(struct node *node)
{
	uint64_t now_us = state_now_us(node);
	guint i;

	for (i = 0; i < node->sharers->len; i++)
		if (!sharer_is_ready(node, g_ptr_array_index(node->sharers, i),
				     now_us))
			return false;
	return true;
}

void state_refresh_shares(struct node *node)
{
	struct snapshot *snapshot;
	uint32_t i;

	pthread_mutex_lock(&node->apply_lock);
	snapshot = snapshot_get(node);
	if (snapshot && !share_table_is_settled(node->shares) &&
	    all_sharers_are_ready(node)) {
		share_table_settle(node->shares, snapshot->config->version);
		g_ptr_array_set_size(node->sharers, 0);
		add_sharers(node, snapshot);
		for (i = 0; i < snapshot->config->service_count; i++)
			set_backends(node, snapshot, snapshot, i,
				     state_now_us(node));
	}
	snapshot_put(snapshot);
	pthread_mutex_unlock(&node->apply_lock);
}

bool state_shares_are_settled(struct node *node)
{
	bool settled;

	pthread_mutex_lock(&node->apply_lock);
	settled = share_table_is_settled(node->shares) ||
		  !share_table_version(node->shares);
	pthread_mutex_unlock(&node->apply_lock);
	return settled;
}

/* Whether a gate has more in flight somewhere than its share. */
static bool is_over(struct node *node, struct service *service)
{
	struct gate_backend_view view;
	bool over = false;
	uint32_t i;

	pthread_mutex_lock(&service->gate_lock);
	for (i = 0;
	     !over && gate_view(service->gate, i, state_now_us(node), &view);
	     i++)
		over = view.in_flight >
		       share_table_slots(node->shares, view.name);
	pthread_mutex_unlock(&service->gate_lock);
	return over;
}

uint64_t state_declared_version(struct node *node)
{
	uint64_t version;
	GHashTableIter iter;
	gpointer service;

	pthread_mutex_lock(&node->apply_lock);
	version = share_table_version(node->shares);
	g_hash_table_iter_init(&iter, node->services);
	while (version && g_hash_table_iter_next(&iter, NULL, &service))
		if (is_over(node, service))
			version = 0;
	pthread_mutex_unlock(&node->apply_lock);
	return version;
}

static uint32_t slots_at(const struct config *config, uint32_t service,
			 uint32_t place)
{
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < config->backend_count; i++) {
		const struct config_backend *backend = &config->backends[i];

		if (backend->service == service && backend->place == place &&
		    !backend->drained)
			slots += backend->slots;
	}
	return slots;
}

static uint32_t nodes_in_region(const struct config *config, const char *region)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		uint32_t place = config->nodes[i].place;

		if (!strcmp(config->places[place].region, region))
			count++;
	}
	return count;
}

/* Number from 1 of the place's region, so that its places share a link. */
static uint32_t region_number(const struct config *config, uint32_t place)
{
	uint32_t i = 0;

	while (strcmp(config->places[i].region, config->places[place].region) !=
	       0)
		i++;
	return i + 1;
}

/*
 * Every entry node of a region has the same part of the link's limit, and each
 * service the same part of that, so that the sum never exceeds it.
 */
static uint32_t link_part(const struct config *config, uint32_t from,
			  uint32_t to)
{
	uint32_t limit = config_link_limit_per_s(config, from, to);
	uint32_t nodes = nodes_in_region(config, config->places[from].region);

	if (!limit || !nodes)
		return 0;
	return MAX(limit / (nodes * config->service_count), 1);
}

static void set_places(const struct snapshot *snapshot, uint32_t index,
		       uint64_t now_us)
{
	const struct config *config = snapshot->config;
	struct service *service = snapshot->services[index];
	struct steer_place_spec *specs;
	uint32_t own = snapshot->own_place;
	uint32_t count = 0;
	uint32_t i;

	specs = g_new0(struct steer_place_spec, config->place_count + 1);
	for (i = 0; i < config->place_count; i++) {
		uint32_t slots = slots_at(config, index, i);

		if (!slots)
			continue;
		specs[count].name = config->places[i].name;
		specs[count].place = i;
		specs[count].slots = slots;
		specs[count].drained = config->places[i].drained;
		if (own != CONFIG_NONE) {
			specs[count].one_way_us =
				config_one_way_us(config, own, i);
			specs[count].link_limit_per_s =
				link_part(config, own, i);
			specs[count].link = region_number(config, i);
		}
		count++;
	}
	steer_set_places(service->steer, specs, count, now_us);
	g_free(specs);
}

static void set_shifts(const struct snapshot *snapshot, uint32_t index,
		       uint64_t now_us)
{
	const struct config *config = snapshot->config;
	struct service *service = snapshot->services[index];
	struct steer_shift_spec *specs;
	uint32_t count = 0;
	uint32_t i;

	specs = g_new0(struct steer_shift_spec, config->shift_count + 1);
	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];

		if (shift->service != index)
			continue;
		specs[count].id = shift->id;
		specs[count].from = shift->from;
		specs[count].to = shift->to;
		specs[count].share_permille = shift->share_permille;
		specs[count].cap_per_s = shift->cap_per_s;
		count++;
	}
	steer_set_shifts(service->steer, specs, count, now_us);
	g_free(specs);
}

static void set_steer(const struct snapshot *snapshot, uint32_t index,
		      uint64_t now_us)
{
	struct service *service = snapshot->services[index];

	pthread_mutex_lock(&service->steer_lock);
	set_places(snapshot, index, now_us);
	set_shifts(snapshot, index, now_us);
	service->steer_version = snapshot->config->version;
	pthread_mutex_unlock(&service->steer_lock);
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
	change_shares(node, snapshot);
	for (i = 0; i < config->service_count; i++) {
		set_backends(node, snapshot, node->snapshot, i, now_us);
		set_steer(snapshot, i, now_us);
	}
	publish(node, snapshot);
	pthread_mutex_unlock(&node->apply_lock);
	log_event(LOG_INFO, "config-in-force", "version=%" G_GUINT64_FORMAT,
		  version);
	return true;
}

/* The place's report: its usable nodes' summaries added up. */
struct place_sum {
	struct gate_summary total;
	uint64_t service_weighted;
	uint64_t wait_weighted;
	uint64_t weight;
	uint64_t age_us;
	uint32_t nodes;
};

static void add_summary(struct place_sum *sum,
			const struct gate_summary *summary, uint64_t age_us)
{
	uint64_t weight = summary->slots;

	sum->total.slots += summary->slots;
	sum->total.in_flight += summary->in_flight;
	sum->total.waiting += summary->waiting;
	sum->service_weighted += weight * summary->service_us;
	sum->wait_weighted += weight * summary->wait_us;
	sum->weight += weight;
	/*
	 * The least: a node that falls silent is left out after a while, and
	 * until then must not make its whole place look old.
	 */
	sum->age_us = sum->nodes ? MIN(sum->age_us, age_us) : age_us;
	sum->nodes++;
}

static void add_node(struct node *node, const struct snapshot *snapshot,
		     uint32_t service, uint32_t index, struct place_sum *sum)
{
	struct service *tables = snapshot->services[service];
	uint64_t now_us = state_now_us(node);
	struct gate_summary summary;
	uint64_t age_us = 0;

	if (index == snapshot->own_node) {
		pthread_mutex_lock(&tables->gate_lock);
		gate_summarise(tables->gate, now_us, &summary);
		pthread_mutex_unlock(&tables->gate_lock);
	} else if (!view_summary(node->view,
				 snapshot->config->nodes[index].name,
				 tables->name, now_us, &summary, &age_us)) {
		return;
	}
	add_summary(sum, &summary, age_us);
}

static void report_places(struct node *node, const struct snapshot *snapshot,
			  uint32_t service)
{
	const struct config *config = snapshot->config;
	struct service *tables = snapshot->services[service];
	struct place_sum *sums = g_new0(struct place_sum, config->place_count);
	uint32_t i;

	for (i = 0; i < config->node_count; i++)
		add_node(node, snapshot, service, i,
			 &sums[config->nodes[i].place]);
	pthread_mutex_lock(&tables->steer_lock);
	for (i = 0; i < config->place_count; i++) {
		struct place_sum *sum = &sums[i];

		if (!sum->nodes || tables->steer_version != config->version)
			continue;
		/* Nodes without slots have no times to say. */
		sum->total.service_us =
			sum->service_weighted / MAX(sum->weight, 1);
		sum->total.wait_us = sum->weight ?
					     sum->wait_weighted / sum->weight :
					     UINT32_MAX;
		steer_report(tables->steer, i, &sum->total, sum->age_us,
			     state_now_us(node));
	}
	pthread_mutex_unlock(&tables->steer_lock);
	g_free(sums);
}

void state_refresh_places(struct node *node)
{
	struct snapshot *snapshot = snapshot_get(node);
	uint32_t i;

	for (i = 0; snapshot && i < snapshot->config->service_count; i++)
		report_places(node, snapshot, i);
	snapshot_put(snapshot);
}

static enum lookup_node_state judge_node(struct node *node,
					 const struct snapshot *snapshot,
					 uint32_t index, uint64_t now_us)
{
	const struct config_node *target = &snapshot->config->nodes[index];
	struct view_node known;

	if (target->drained || state_vm(node, target->address) == VM_LEAVING)
		return LOOKUP_LEAVING;
	if (index == snapshot->own_node)
		return atomic_load(&node->stopping) ? LOOKUP_LEAVING :
						      LOOKUP_ALIVE;
	if (view_find(node->view, target->name, now_us, &known) &&
	    known.leaving)
		return LOOKUP_LEAVING;
	return view_is_usable(node->view, target->name, now_us) ? LOOKUP_ALIVE :
								  LOOKUP_DEAD;
}

static bool same_states(const struct node_states *a,
			const struct node_states *b)
{
	return a && a->version == b->version && a->count == b->count &&
	       !memcmp(a->states, b->states, a->count);
}

void state_refresh_nodes(struct node *node)
{
	struct snapshot *snapshot = snapshot_get(node);
	struct node_states *before = node->states;
	struct node_states *next;
	uint32_t count, i;

	if (!snapshot)
		return;
	count = snapshot->config->node_count;
	next = g_malloc0(sizeof(*next) + count);
	next->version = snapshot->config->version;
	next->count = count;
	for (i = 0; i < count; i++)
		next->states[i] = (uint8_t)judge_node(node, snapshot, i,
						      state_now_us(node));
	snapshot_put(snapshot);
	if (same_states(before, next)) {
		g_free(next);
		return;
	}
	rcu_assign_pointer(node->states, next);
	synchronize_rcu();
	g_free(before);
}
