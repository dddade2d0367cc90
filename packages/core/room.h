/*
 * room - a service's capacity, shared out over its demand at all nodes
 *
 * Each node counts the requests offered to it by priority and by account and
 * tells its peers; all apply the same rule to the sums, so no node coordinates.
 * The rule gives the longest wait for a slot with which a request is admitted.
 * Waits are shorter for low priorities and for accounts over their fair share,
 * so these are rejected first when requests queue. Each class and account keeps
 * a part of what is served. A node that hears nobody applies the rule to its
 * own demand. Pure; not thread-safe.
 */
#ifndef CORE_ROOM_H
#define CORE_ROOM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Priorities that are told apart; 0 is the highest, lower ones are merged. */
#define ROOM_LEVELS 8

/* Accounts of which the demand is told to peers: the largest. */
#define ROOM_ACCOUNTS 8

/* Time after which a report counts no more, as of a node that has ended. */
#define ROOM_REPORT_LIFE_US UINT64_C(3000000)

/* The state of one service at one node. */
struct room;

struct room_account_demand {
	uint32_t account; /* hash of its name */
	double per_s;
};

/* Requests offered per second at a node, or at all nodes of a region. */
struct room_demand {
	double per_s[ROOM_LEVELS];
	struct room_account_demand accounts[ROOM_ACCOUNTS]; /* the largest */
	uint32_t account_count;
};

/* Who sends a request. */
struct room_class {
	uint32_t priority;
	uint32_t account; /* hash of its name; 0: none */
};

/* A request at the server chosen for it; times in us. */
struct room_request {
	struct room_class class_of;
	double target_us; /* latency objective */
	double spent_us; /* since the caller's first attempt */
	double round_trip_us;
	double work_us; /* service time there */
	double warm_us; /* service time on a server that is warm for it */
};

enum room_rejection {
	ROOM_QUEUE_LATE, /* its wait would be longer than allowed */
	ROOM_TOO_LATE, /* it would miss its deadline */
	ROOM_ALL_FULL, /* no server's queue has a place */
	ROOM_REJECTIONS, /* number of reasons */
};

struct room *room_new(const char *region);
void room_free(struct room *room);

/* Notes a request offered to this node, once, before it is decided. */
void room_note_offered(struct room *room, const struct room_class *class_of,
		       uint64_t now_us);
/* Notes that it was admitted, or rejected. */
void room_note_admitted(struct room *room, const struct room_class *class_of,
			uint64_t now_us);
void room_note_rejected(struct room *room, const struct room_class *class_of,
			enum room_rejection reason);
/* Notes that a response took took_us where expected_us were expected. */
void room_note_response(struct room *room, double expected_us, double took_us);

/*
 * Longest wait for a slot with which the request is admitted; 0 or less: only
 * where a slot is free. Remembers the objective of its priority, which bounds
 * the waits of lower ones.
 */
double room_allowed_wait_us(struct room *room,
			    const struct room_request *request,
			    uint64_t now_us);

/*
 * Whether the request is needed for the least part of what is served that its
 * class or account keeps: then it is admitted whatever its wait.
 */
bool room_has_credit(const struct room *room,
		     const struct room_class *class_of);

/*
 * Retry-after for a rejected caller that waits patience_us in all (0: unknown),
 * where the queue drains in drain_us. Callers return in the order in which they
 * were rejected, spaced by a part of the rate at which this node admits.
 */
uint64_t room_retry_after_us(struct room *room, double drain_us,
			     uint64_t patience_us, uint64_t now_us);

/* --- reports ------------------------------------------------------------ */

/*
 * Sets the nodes of this region that serve, this one included. Each report goes
 * to a random part of them, so the demand of those not heard is taken to be
 * that of the others on average.
 */
void room_set_near_nodes(struct room *room, uint32_t near_nodes);

/* Applies a report of a node of this region on its own demand. */
void room_apply_report(struct room *room, uint32_t sender,
		       const struct room_demand *demand, uint64_t age_us,
		       uint64_t now_us);
/*
 * Applies the sum over another region, told by one of its nodes or relayed by
 * one of this region.
 */
void room_apply_region_report(struct room *room, uint32_t region,
			      const struct room_demand *demand, uint64_t age_us,
			      bool is_relayed, uint64_t now_us);

/* Fills in this node's demand, with 0 where there is none. */
void room_own_demand(const struct room *room, struct room_demand *demand,
		     uint64_t now_us);
/* The same of this region, as this node knows it. */
void room_near_demand(const struct room *room, struct room_demand *demand,
		      uint64_t now_us);

/* The newest sum over a region. */
struct room_region_report {
	uint32_t region; /* hash of its name */
	uint64_t age_us;
	struct room_demand demand;
};

/*
 * Fills in the sums to relay within the region: those of regions of which one
 * node told this one since the last call. Where several did, the other nodes
 * here were told as well. Returns their number, at most max_count.
 */
uint32_t room_take_region_reports(struct room *room,
				  struct room_region_report *reports,
				  uint32_t max_count, uint64_t now_us);

/*
 * Requests per second offered to the nodes of the region; 0: unknown. For this
 * node's region it includes its own. The room may be NULL.
 */
double room_region_demand(const struct room *room, const char *region,
			  uint64_t now_us);

/* --- views -------------------------------------------------------------- */

/* Share of the fleet's demand with a higher priority, 0 to 1. */
double room_higher_share(struct room *room, uint32_t priority, uint64_t now_us);
/* Part of its allowed wait that the account keeps, 0 to 1. */
double room_account_factor(struct room *room, uint32_t account,
			   uint64_t now_us);
double room_late_factor(const struct room *room);
/* Share of this node's recent requests that were admitted, 0 to 1. */
double room_served_share(const struct room *room);

struct room_view {
	double own_per_s;
	double all_per_s; /* of the fleet */
	double per_s[ROOM_LEVELS]; /* of the fleet */
	double own_level_per_s[ROOM_LEVELS];
	double allowed_wait_us[ROOM_LEVELS]; /* of the latest request; NaN: none
						seen */
	uint64_t rejected[ROOM_LEVELS][ROOM_REJECTIONS];
	uint32_t peers; /* nodes of this region heard lately */
	uint32_t regions; /* other regions heard of lately */
	double late_factor;
	double served_share;
};
void room_view(struct room *room, struct room_view *view, uint64_t now_us);

struct room_account_view {
	uint32_t account;
	double per_s; /* of the fleet */
	double factor; /* see room_account_factor() */
	uint64_t rejected[ROOM_REJECTIONS];
};
/* Accounts seen here, the largest first; g_array_unref() frees the array. */
GArray *room_account_views(struct room *room, uint64_t now_us);

/*
 * Whether the service has become short of room or has recovered since the last
 * call.
 */
enum room_change { ROOM_SAME, ROOM_SHORT, ROOM_RECOVERED };
enum room_change room_take_change(struct room *room, uint64_t now_us);

/* By the latest change. */
bool room_is_short(const struct room *room);

const char *room_rejection_name(enum room_rejection reason);

#ifdef __cplusplus
}
#endif

#endif
