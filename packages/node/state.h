/*
 * state - a node's shared tables, and the configuration in force
 *
 * Lock order: apply_lock, ledger_lock, then a service's steer_lock, then its
 * gate_lock, then the view's own; seats_lock and vms_lock are leaves. No lock
 * is held over I/O. The configuration is published by RCU as a counted
 * snapshot; a request holds one for as long as it needs it and never blocks the
 * next version.
 */
#ifndef NODE_STATE_H
#define NODE_STATE_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
#include <atomic>
using std::atomic_bool;
using std::atomic_uint;
using std::atomic_ullong;
#else
#include <stdatomic.h>
#endif

#include "adapters/http_client.h"
#include "adapters/metrics.h"
#include "adapters/settings.h"
#include "core/budget.h"
#include "core/config.h"
#include "core/gate.h"
#include "core/lookup.h"
#include "core/seat.h"
#include "core/share.h"
#include "core/steer.h"
#include "core/ticket.h"
#include "node/view.h"
#include "ports/clock.h"
#include "ports/platform.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The tables of one service, kept for the node's life. */
struct service {
	char name[NAME_SIZE];
	pthread_mutex_t steer_lock;
	struct steer *steer;
	struct budget budget;
	uint64_t steer_version; /* of the configuration that steer holds */
	pthread_mutex_t gate_lock;
	struct gate *gate;
	struct metric *requests;
	struct metric *refused;
	struct metric *extra_attempts;
	struct metric *latency;
};

/* One version of the configuration, read-only and counted. */
struct snapshot {
	atomic_uint references;
	struct config *config;
	struct service **services; /* as config->services */
	struct lookup_table *lookup;
	char **node_texts; /* as config->nodes: JSON for look-ups */
	uint32_t own_node; /* CONFIG_NONE: not listed */
	uint32_t own_place; /* CONFIG_NONE: not listed */
};

/* Whether each node of one configuration may be named in look-ups. */
struct node_states {
	uint64_t version; /* of the configuration that it belongs to */
	uint32_t count;
	uint8_t states[]; /* enum lookup_node_state */
};

/* A seat that this node has or tries to have. */
struct shift_seat {
	char shift[ID_SIZE];
	uint32_t rank;
	struct seat *seat;
	bool own; /* of this node's rank; others are taken when they lapse */
	bool wanted; /* by the configuration in force */
};

struct loops;

struct node {
	const struct settings *settings;
	const struct clock *clock;
	struct platform *platform;
	struct http_client *http;
	struct view *view;
	uint64_t incarnation;
	uint64_t started_us;
	atomic_bool stopping;
	atomic_uint in_flight; /* callers' and peers' requests */
	atomic_ullong sequence; /* of reports */
	atomic_ullong tickets_issued;
	atomic_uint attempts; /* made at this incarnation */

	struct snapshot *snapshot; /* by RCU */
	struct node_states *states; /* by RCU; written by one loop only */
	pthread_mutex_t apply_lock; /* one version is put in force at a time */
	GHashTable *services; /* struct service by name, under apply_lock */
	struct share_table *shares; /* under apply_lock */
	GPtrArray *sharers; /* names of nodes that may use the place's slots */
	uint64_t shares_since_us; /* when the shares' version came */

	pthread_mutex_t ledger_lock;
	struct ledger *entry_ledger; /* by ticket */
	struct ledger *hop_ledger; /* by ticket and attempt */

	pthread_mutex_t seats_lock; /* a leaf: nothing is locked under it */
	GPtrArray *seats; /* struct shift_seat */

	GHashTable *vms; /* enum vm_state by address, under vms_lock */
	pthread_mutex_t vms_lock; /* a leaf */

	struct loops *loops; /* NULL while none run */
};

struct node *state_new(const struct settings *settings,
		       const struct clock *clock, struct platform *platform);
void state_free(struct node *node);

/* The configuration in force, for snapshot_put(); NULL while there is none. */
struct snapshot *snapshot_get(struct node *node);
void snapshot_put(struct snapshot *snapshot);

/*
 * Put a newer configuration in force; takes config over. RESULT_CONFIG_OLDER
 * where it isn't newer: a node only moves forward in version.
 */
bool state_apply(struct node *node, struct config *config, GError **error);

/* Whether operators or the platform have the backend server leave. */
bool state_backend_leaving(struct node *node, const struct config *config,
			   const struct config_backend *backend);

/* Tell the gates anew who leaves and which share of the slots is ours. */
void state_refresh_backends(struct node *node);

/* Take the shares of the present version whole if all others are ready. */
void state_refresh_shares(struct node *node);

bool state_shares_are_settled(struct node *node);

/* The version whose shares this node keeps to, 0 while it is over one. */
uint64_t state_declared_version(struct node *node);

/* Tell steer what the places' nodes report. */
void state_refresh_places(struct node *node);

/* Judge anew which nodes look-ups may name; called by one thread only. */
void state_refresh_nodes(struct node *node);

/* Version in force, 0 for none. */
uint64_t state_version(struct node *node);

uint64_t state_ticket_epoch(const struct node *node);

uint64_t state_now_us(const struct node *node);

/* What the platform's list says of the VM, VM_UNKNOWN without a list. */
enum vm_state state_vm(struct node *node, const char *address);

/* Take one extra attempt of the service's requests from its budget. */
bool service_may_repeat(void *service);

/* Silence of a reused connection, beyond the link's time, that is suspect. */
uint64_t service_silence_us(uint64_t service_us);

/* A random number from a generator of the thread's own. */
uint32_t state_draw(void);

#ifdef __cplusplus
}
#endif

#endif
