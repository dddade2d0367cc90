/*
 * fleet - real nodes on loopback, with a stand-in for the platform
 *
 * They live in a network namespace of this process, so that loopback carries
 * their bytes only and can be counted.
 */
#ifndef CAPACITY_FLEET_H
#define CAPACITY_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "adapters/http_client.h"
#include "capacity/document.h"

struct fleet_options {
	struct document_size size; /* of the configuration */
	uint32_t processes; /* the first so many of its nodes run */
	uint32_t http_threads;
	uint32_t poll_interval_ms; /* of the configuration row */
	bool with_backends; /* stand-ins for its backend servers run too */
};

struct fleet;

/* Once, before any thread starts; false where the system forbids it. */
bool fleet_enter_network(void);

/* Returns when all nodes have the configuration; NULL if they don't get it. */
struct fleet *fleet_open(const struct fleet_options *options);
void fleet_close(struct fleet *fleet);

pid_t fleet_pid(const struct fleet *fleet, uint32_t index);

/* Processor time of all nodes together, in nanoseconds. */
uint64_t fleet_process_ns(const struct fleet *fleet);

/* What the platform's stand-in has served so far. */
struct platform_calls {
	uint64_t reads;
	uint64_t writes;
};

struct platform_calls fleet_platform_calls(struct fleet *fleet);

/* Cut the nodes off from the platform, or let them back. */
bool fleet_cut_platform(struct fleet *fleet, bool cut);

/* Write the configuration row anew, as that version's successor. */
bool fleet_rewrite(struct fleet *fleet, uint64_t version);

/* Have the first node change the configuration; its peers hear of it. */
bool fleet_command(struct fleet *fleet, const char *sentence);

/* Nodes that have the version in force. */
uint32_t fleet_count_version(const struct fleet *fleet, uint64_t version);
bool fleet_has_version(const struct fleet *fleet, uint64_t version);

#endif
