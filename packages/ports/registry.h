/*
 * registry - interface to the encoding of the platform's tables
 *
 * Composes HTTP requests and decodes answers into rows and typed records. It
 * has no state and does no I/O: when to call, how to apply an answer and what
 * to do without one is up to the node, by enum registry_result.
 */
#ifndef PORTS_REGISTRY_H
#define PORTS_REGISTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/endpoint.h"

#ifdef __cplusplus
extern "C" {
#endif

struct registry;
struct route_table;

enum registry_table {
	REGISTRY_CONFIG, /* the operator's rows: routes, evacuations */
	REGISTRY_BACKENDS, /* backend servers */
	REGISTRY_MEMBERS, /* nodes; written by nodes */
	REGISTRY_QUARANTINES, /* by fingerprint; written by nodes, read only at
				 start */
};

enum registry_result {
	REGISTRY_OK,
	REGISTRY_HISTORY_LOST, /* changes no longer available: read the table in
				  full */
	REGISTRY_REFUSED, /* nothing was done: overloaded, unavailable or rate
			     limited */
	REGISTRY_CONFLICT, /* a precondition failed; nothing was done */
	REGISTRY_BAD_ANSWER, /* violates the protocol */
};

/* An HTTP request to the platform; free with registry_call_release(). */
struct registry_call {
	const char *method;
	char *target;
	char *body; /* NULL: none */
};

struct registry_row {
	char *key;
	char *value; /* NUL-terminated; NULL if deleted or absent */
	bool deleted;
	bool bad_key; /* no text, empty or with control characters: a row of
			 another writer that names nothing */
	uint64_t version;
};

struct registry_rows {
	GArray *rows; /* of struct registry_row */
	uint64_t version; /* to follow changes from; the newest row's unless
			     has_more */
	/* More to fetch: read after the last key, follow from version. */
	bool has_more;
};

/* Row of a backend server; free with backend_record_release(). */
struct backend_record {
	char *service;
	char *domain;
	struct endpoint address;
	uint32_t slots;
	bool draining;
	uint64_t cold_left_us;
	uint64_t started_ms; /* start of this incarnation, Unix time; 0: unknown
			      */
};

/* Row of a node; free with member_record_release(). */
struct member_record {
	char *domain;
	char *region;
	struct endpoint front; /* for callers */
	struct endpoint peer; /* for other nodes */
	uint32_t link_mbps; /* 0: unknown */
};

/* Max incarnations of crashed servers stored with a quarantine. */
#define QUARANTINE_MAX_INCARNATIONS 3

/* Row of a quarantined request; free with quarantine_record_release(). */
struct quarantine_record {
	uint32_t rounds; /* consecutive quarantines */
	uint64_t left_ms; /* until the latest ends, as of written_ms */
	uint64_t written_ms; /* Unix time */
	bool by_hand; /* set by an operator */
	/* Servers that crashed while running the request. */
	uint32_t incarnations[QUARANTINE_MAX_INCARNATIONS];
	uint32_t incarnation_count;
	char *request; /* method and path, for operators */
};

enum config_row_kind {
	CONFIG_ROW_ROUTES, /* the whole configuration */
	CONFIG_ROW_EVACUATION, /* of a failure domain */
	CONFIG_ROW_OTHER, /* unknown key, to be ignored */
};

struct registry_vtable {
	/*
	 * Header of all answers, which counts the platform's returns from a
	 * copy of its tables: versions of two eras don't compare.
	 */
	const char *era_header;
	/* Request the rows of a table after a key ("": from the start). */
	void (*build_read)(const struct registry *registry,
			   enum registry_table table, const char *after_key,
			   struct registry_call *call);
	/*
	 * Request the changes after a version. The platform holds the call up
	 * to wait_us until there are any. They come in order, also those that
	 * a later change to the same row replaces.
	 */
	void (*build_follow)(const struct registry *registry,
			     enum registry_table table, uint64_t after_version,
			     uint64_t wait_us, struct registry_call *call);
	/* Request to write a node's row; record NULL removes it. */
	void (*build_put_member)(const struct registry *registry,
				 const char *name,
				 const struct member_record *record,
				 struct registry_call *call);
	/* Request to write a quarantine's row; NULL removes it. */
	void (*build_put_quarantine)(const struct registry *registry,
				     const char *key,
				     const struct quarantine_record *record,
				     struct registry_call *call);
	/* Decode an answer; rows are empty unless REGISTRY_OK. */
	enum registry_result (*decode)(const struct registry *registry,
				       uint32_t status, const char *body,
				       size_t length,
				       struct registry_rows *rows);
	/* Decode a row's value. RESULT_CONFIG_INVALID if malformed. */
	bool (*decode_backend)(const struct registry *registry,
			       const char *value, struct backend_record *record,
			       GError **error);
	bool (*decode_member)(const struct registry *registry,
			      const char *value, struct member_record *record,
			      GError **error);
	bool (*decode_quarantine)(const struct registry *registry,
				  const char *value,
				  struct quarantine_record *record,
				  GError **error);
	/*
	 * Classify a REGISTRY_CONFIG row; for CONFIG_ROW_EVACUATION set
	 * *domain, to be freed with g_free().
	 */
	enum config_row_kind (*classify_config_row)(
		const struct registry *registry, const char *key,
		char **domain);
	/* Decode a CONFIG_ROW_ROUTES value; NULL and error on failure. */
	struct route_table *(*decode_routes)(const struct registry *registry,
					     const char *value, GError **error);
};

struct registry {
	const struct registry_vtable *vtable;
};

void registry_call_release(struct registry_call *call);
void registry_rows_release(struct registry_rows *rows);
void backend_record_release(struct backend_record *record);
void member_record_release(struct member_record *record);
void quarantine_record_release(struct quarantine_record *record);

#ifdef __cplusplus
}
#endif

#endif
