/*
 * view - what the nodes have last said of themselves, each with its age
 *
 * Thread-safe; its lock is the last in the node's lock order.
 */
#ifndef NODE_VIEW_H
#define NODE_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "adapters/peer_rpc.h"
#include "core/gate.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A node that was silent for longer is taken to be gone until it speaks. */
#define VIEW_SILENT_US (3 * 1000 * 1000ull)

/* The name of a node that was silent for so long is forgotten. */
#define VIEW_FORGET_US (600 * 1000 * 1000ull)

struct view;

struct view_node {
	uint64_t incarnation;
	uint64_t ticket_epoch;
	uint64_t config_version;
	uint64_t shares_version;
	uint64_t age_us; /* UINT64_MAX: never heard of */
	bool leaving;
	bool answered; /* a call of ours, in this incarnation */
	bool failing; /* calls to it failed since it last spoke */
};

struct view *view_new(void);
void view_free(struct view *view);

/* Take in a report; one that is older than known is ignored. */
void view_take(struct view *view, const struct peer_report *report,
	       uint64_t now_us);

/* The node's incarnation answered a call of ours, and so knows our own one. */
void view_answered(struct view *view, const char *node, uint64_t incarnation);

/* A call to the node failed to connect; it counts as silent till it speaks. */
void view_failed(struct view *view, const char *node, uint64_t now_us);

/* False, with age_us UINT64_MAX, where the node was never heard of. */
bool view_find(struct view *view, const char *node, uint64_t now_us,
	       struct view_node *found);

/* Whether the node spoke lately, isn't leaving and didn't fail since. */
bool view_is_usable(struct view *view, const char *node, uint64_t now_us);

/* The node's summary of a service; false where it isn't usable or silent. */
bool view_summary(struct view *view, const char *node, const char *service,
		  uint64_t now_us, struct gate_summary *summary,
		  uint64_t *age_us);

/* Whether any node said that this backend server is leaving. */
bool view_backend_leaving(struct view *view, const char *backend,
			  uint64_t now_us);

/* Copies of all reports not silent, with their ages, after the own one. */
void view_fill(struct view *view, struct peer_message *message,
	       const char *but_node, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
