/*
 * heartbeat - the datagram that nodes send each other
 *
 * Encoded by GVariant. A heartbeat says that its sender is alive, which other
 * members are, which backend servers are warm for which objects, and, within a
 * region, how many of the sender's requests are in flight at which server. The
 * region's reader adds table digests or changed backend servers. Suspects
 * (requests that may crash servers), servers' rates and their tokens go in
 * datagrams of the same format.
 */
#ifndef EDGE_HEARTBEAT_H
#define EDGE_HEARTBEAT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/endpoint.h"
#include "core/rate_limit.h"
#include "core/row_version.h"
#include "core/suspect_table.h"
#include "core/warmth.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Largest heartbeat: fits into one Ethernet frame, so that it is never
 * fragmented.
 */
#define HEARTBEAT_MAX_BYTES 1400

/*
 * Limits of the arrays. Pairs, members, loads and digests fit into one
 * heartbeat together; so do suspects, rates and tokens. Rows go alone.
 */
#define HEARTBEAT_MAX_PAIRS 45
#define HEARTBEAT_MAX_MEMBERS 16
#define HEARTBEAT_MAX_LOADS 40
#define HEARTBEAT_MAX_DIGESTS 3
#define HEARTBEAT_MAX_ROWS 8
#define HEARTBEAT_MAX_SUSPECTS 8
#define HEARTBEAT_MAX_RATES 20
#define HEARTBEAT_MAX_TOKENS 8
#define HEARTBEAT_MAX_REPORTS 40
#define HEARTBEAT_MAX_DEMANDS 6
#define HEARTBEAT_DEMAND_LEVELS 8
#define HEARTBEAT_DEMAND_ACCOUNTS 8

struct heartbeat_member {
	uint32_t member; /* hash of its name */
	uint64_t number; /* rises with each heartbeat of the member */
	bool leaving;
	bool partitioned; /* reaches no backend server by itself */
};

/*
 * A backend server that is warm for an object, or will be: it has the object,
 * which callers' requests name by a key, in its cache.
 */
struct heartbeat_pair {
	struct warm_pair pair;
	uint16_t ready_ms; /* time until it is warm; 0: it is */
};

struct heartbeat_load {
	uint32_t incarnation; /* of the backend server */
	uint32_t in_flight;
};

/* State of one of the platform's tables at the region's reader. */
struct heartbeat_digest {
	uint32_t table; /* enum registry_table */
	uint64_t digest; /* of the reader's copy */
	struct row_version version; /* of the platform's newest row in it */
	uint32_t age_ms; /* since the platform last confirmed it */
};

/* A backend server that changed; the service is empty where it was removed. */
struct heartbeat_row {
	char id[NAME_SIZE];
	char service[NAME_SIZE];
	char domain[NAME_SIZE];
	struct endpoint address;
	uint32_t slots;
	bool draining;
	uint32_t cold_left_ms;
	uint64_t started_ms; /* start time, part of the incarnation; 0: unknown
			      */
	struct row_version version; /* of its row in the platform's table */
};

/*
 * Tokens of a server's or an account's rate: a request for some, or the answer
 * to one.
 */
struct heartbeat_token {
	uint32_t incarnation; /* of the server, or the hash of the account */
	uint32_t requested; /* number of tokens; 0: this is an answer */
	uint32_t lent; /* in an answer: number of tokens */
	uint32_t wait_ms; /* in an answer without tokens: time until there may
			     be one */
	bool is_account; /* an account's, not a server's */
};

/* Load of a backend server as its own answer told it. */
struct heartbeat_report {
	uint32_t incarnation; /* of the server */
	uint16_t total; /* requests running and waiting there */
	uint16_t work_percent; /* time that work takes; 100: usual, 0: untold */
	uint16_t age_ms; /* since the answer */
};

/* Requests of an account, in tenths per second. */
struct heartbeat_account_demand {
	uint32_t account; /* hash of its name */
	uint32_t per_10s;
};

/* Demand for a service at one node, or at all nodes of a region. */
struct heartbeat_demand {
	uint32_t service; /* hash of its name */
	uint32_t region; /* hash of its name; 0: of the sender alone */
	uint16_t age_ms;
	/* Requests per priority and of the largest accounts, per 10 s. */
	uint32_t per_10s[HEARTBEAT_DEMAND_LEVELS];
	struct heartbeat_account_demand accounts[HEARTBEAT_DEMAND_ACCOUNTS];
	uint32_t account_count;
};

struct heartbeat {
	struct heartbeat_member members[HEARTBEAT_MAX_MEMBERS]; /* the sender
								   first */
	uint32_t member_count;
	struct heartbeat_pair pairs[HEARTBEAT_MAX_PAIRS];
	uint32_t pair_count;
	struct heartbeat_load loads[HEARTBEAT_MAX_LOADS];
	uint32_t load_count;
	struct heartbeat_digest digests[HEARTBEAT_MAX_DIGESTS];
	uint32_t digest_count;
	struct heartbeat_row rows[HEARTBEAT_MAX_ROWS];
	uint32_t row_count;
	struct suspect_update suspects[HEARTBEAT_MAX_SUSPECTS];
	uint32_t suspect_count;
	struct rate_update rates[HEARTBEAT_MAX_RATES];
	uint32_t rate_count;
	struct heartbeat_token tokens[HEARTBEAT_MAX_TOKENS];
	uint32_t token_count;
	struct heartbeat_report reports[HEARTBEAT_MAX_REPORTS];
	uint32_t report_count;
	struct heartbeat_demand demands[HEARTBEAT_MAX_DEMANDS];
	uint32_t demand_count;
};

/* GVariant format of a row, also used by snapshots. */
#define HEARTBEAT_ROW_TYPE "(ssssqubuttu)"
void heartbeat_row_add(GVariantBuilder *rows, const struct heartbeat_row *row);
/* Reads the next row; false at the end. */
bool heartbeat_row_next(GVariantIter *iter, struct heartbeat_row *row);

/* Returns the encoded bytes, for g_bytes_unref(). */
GBytes *heartbeat_encode(const struct heartbeat *heartbeat);

/* False where the bytes aren't a heartbeat of this version. */
bool heartbeat_decode(const void *bytes, size_t length,
		      struct heartbeat *heartbeat);

#ifdef __cplusplus
}
#endif

#endif
