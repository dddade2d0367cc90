/*
 * registry - the platform's tables as a node follows them
 *
 * A translator: it turns calls into HTTP requests and answers into rows and
 * typed records. It keeps nothing and decides nothing; when to call, what an
 * answer means for what is believed, and what to do when none comes is the
 * node's. The codes of enum registry_result say which of these it is.
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
	REGISTRY_MEMBERS, /* our nodes; we write it */
	REGISTRY_QUARANTINES, /* by fingerprint; we write it, nobody follows */
};

enum registry_result {
	REGISTRY_OK,
	REGISTRY_HISTORY_LOST, /* read the table anew */
	REGISTRY_REFUSED, /* nothing was done: busy, away, over its rate */
	REGISTRY_CONFLICT, /* a condition didn't hold; nothing was done */
	REGISTRY_BAD_ANSWER, /* not what the protocol says */
};

/* An HTTP request; texts are for g_free(). */
struct registry_call {
	const char *method;
	char *target;
	char *body; /* NULL: none */
};

struct registry_row {
	char *key;
	char *value; /* NUL-terminated; NULL where deleted */
	bool deleted;
	uint64_t version;
};

struct registry_rows {
	GArray *rows; /* of struct registry_row */
	uint64_t version; /* where to follow from; the newest, unless has_more
			   */
	/* Read: go on after the last row's key. Follow: from version, at once.
	 */
	bool has_more;
};

/* A backend server as its row has it; texts are for g_free(). */
struct backend_record {
	char *service;
	char *domain;
	struct endpoint address;
	uint32_t slots;
	bool draining;
	uint64_t cold_left_us;
	uint64_t started_ms; /* since 1970, of its life; 0: not said */
};

/* One of our nodes as its row has it; texts are for g_free(). */
struct member_record {
	char *domain;
	char *region;
	struct endpoint front;
	struct endpoint peer;
	uint32_t link_mbps; /* 0: not said */
};

/* Servers' lives that a quarantine names at most. */
#define QUARANTINE_MAX_INCARNATIONS 3

/* A quarantined request as its row has it; the text is for g_free(). */
struct quarantine_record {
	uint32_t rounds; /* quarantines in a row */
	uint64_t left_ms; /* of the latest, when it was written */
	uint64_t written_ms; /* since 1970 */
	bool by_hand;
	uint32_t incarnations[QUARANTINE_MAX_INCARNATIONS]; /* of servers that
							       it ended */
	uint32_t incarnation_count;
	char *request; /* method and path, for operators */
};

enum config_row_kind {
	CONFIG_ROW_ROUTES, /* the whole configuration */
	CONFIG_ROW_EVACUATION, /* of a failure domain */
	CONFIG_ROW_OTHER, /* none of ours */
};

struct registry_vtable {
	/* The rows of a table after a key ("": from the start). */
	void (*build_read)(const struct registry *registry,
			   enum registry_table table, const char *after_key,
			   struct registry_call *call);
	/*
	 * What changed after a version, at once or within wait_us: each change
	 * in order, also those that a later one of the same row replaces.
	 */
	void (*build_follow)(const struct registry *registry,
			     enum registry_table table, uint64_t after_version,
			     uint64_t wait_us, struct registry_call *call);
	/* Put a member's row; record NULL removes it. */
	void (*build_put_member)(const struct registry *registry,
				 const char *name,
				 const struct member_record *record,
				 struct registry_call *call);
	/* Put a quarantine's row; record NULL removes it. */
	void (*build_put_quarantine)(const struct registry *registry,
				     const char *key,
				     const struct quarantine_record *record,
				     struct registry_call *call);
	enum registry_result (*decode)(const struct registry *registry,
				       uint32_t status, const char *body,
				       size_t length,
				       struct registry_rows *rows);
	/* RESULT_CONFIG_INVALID where the row can't be read. */
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
	/* What a row of REGISTRY_CONFIG is; domain (for g_free()) if evacuation
	 */
	enum config_row_kind (*classify_config_row)(
		const struct registry *registry, const char *key,
		char **domain);
	/* The routes of the row's value; NULL with the error set. */
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
