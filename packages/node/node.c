#include "node/node.h"

#include <inttypes.h>

#include "adapters/clock_system.h"
#include "adapters/log.h"
#include "adapters/peer_rpc.h"
#include "adapters/platform_http.h"
#include "node/loops.h"
#include "node/seats.h"
#include "node/server.h"
#include "node/state.h"
#include "node/wait.h"

#define STOP_POLL_US 20000

struct running_node {
	struct platform *platform;
	struct node *node;
	struct server *server;
	struct peer_server *peers;
	struct loops *loops;
	struct peer_handler handler;
};

struct running_node *node_open(const struct settings *settings, GError **error)
{
	struct running_node *running = g_new0(struct running_node, 1);

	running->platform = platform_http_new(settings->platform_address,
					      settings->platform_port,
					      settings->platform_timeout_us);
	running->node = state_new(settings, clock_system(), running->platform);
	/* Before peers and loops, whose first words may come at once. */
	log_event(LOG_INFO, "node-started",
		  "place=%s address=%s port=%u incarnation=%" PRIu64,
		  settings->place, settings->address, settings->http_port,
		  running->node->incarnation);
	running->handler = loops_peer_handler(running->node);
	running->peers = peer_server_open(settings->address,
					  settings->peer_port,
					  &running->handler, error);
	if (running->peers)
		running->server = server_open(running->node, error);
	if (!running->server) {
		node_close(running);
		return NULL;
	}
	running->loops = loops_open(running->node);
	return running;
}

bool node_stop(struct running_node *running)
{
	struct node *node = running->node;
	const struct settings *settings = node->settings;
	uint64_t start_us = state_now_us(node);
	uint64_t end_us = start_us + settings->stop_linger_us;
	/*
	 * Callers come for as long as they may keep a look-up that names this
	 * node, and peers until they have heard of the stop. Exiting earlier
	 * would cut what they send.
	 */
	uint64_t least_us = start_us + settings->lookup_ttl_us +
			    5 * settings->report_interval_us;

	log_event(LOG_INFO, "node-stopping", "in_flight=%u",
		  atomic_load(&node->in_flight));
	atomic_store(&node->stopping, true);
	seats_give_up(node);
	while (state_now_us(node) < end_us) {
		if (state_now_us(node) >= least_us &&
		    !atomic_load(&node->in_flight))
			return true;
		wait_sleep_us(STOP_POLL_US);
	}
	return !atomic_load(&node->in_flight);
}

void node_close(struct running_node *running)
{
	if (running->loops)
		loops_close(running->loops);
	server_close(running->server);
	if (running->peers)
		peer_server_close(running->peers);
	state_free(running->node);
	platform_http_free(running->platform);
	g_free(running);
}
