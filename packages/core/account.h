/*
 * account - the client accounts of one version of the configuration
 *
 * A caller names its account by a key, of which only the digest is kept.
 * Accounts don't change once the table is built. Not thread-safe.
 */
#ifndef CORE_ACCOUNT_H
#define CORE_ACCOUNT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Longest key in bytes; longer ones belong to no account. */
#define ACCOUNT_KEY_MAX_BYTES 256

/* Longest name in bytes; it is sent as a header. */
#define ACCOUNT_NAME_MAX_BYTES 200

/* Prefix of a digest in documents; the SHA-256 follows in hexadecimal. */
#define ACCOUNT_DIGEST_PREFIX "sha256:"

struct account {
	char *name;
	uint32_t hash; /* of the name; identifies it between nodes */
	bool has_priority;
	uint32_t priority; /* goes before the route's; 0 is the highest */
	double per_s; /* requests per second of all nodes; 0: unlimited */
	double burst; /* requests beyond that at one time */
	GPtrArray *regions; /* of char *: allowed regions; empty: all */
	bool unusable; /* its rate or regions are unknown: its requests are
			  refused */
};

struct account_table {
	GHashTable *by_name; /* name -> struct account, owned */
	GHashTable *by_key; /* digest of a key -> struct account */
	struct account *unusable; /* of keys whose account is unknown */
	bool lacks_keys; /* some could not be read */
};

struct account_table *account_table_new(void);
void account_table_free(struct account_table *table);

/*
 * Adds an account. NULL with RESULT_CONFIG_INVALID if the name is taken, empty,
 * too long, or has control characters or a space at either end.
 */
struct account *account_table_add(struct account_table *table, const char *name,
				  GError **error);

/*
 * Adds a key's digest to an account. False with RESULT_CONFIG_INVALID if it is
 * malformed, or if another account has it: then neither may use it, and it
 * belongs to the table's unusable account.
 */
bool account_table_add_digest(struct account_table *table,
			      struct account *account, const char *digest,
			      GError **error);

/* Digest of a key as it stands in documents, for g_free(). */
char *account_key_digest(const char *key);

/* Finds the account of a key, or by name; NULL if there is none. */
struct account *account_table_find_key(const struct account_table *table,
				       const char *key);
struct account *account_table_find(const struct account_table *table,
				   const char *name);

/* Whether the account's requests may be sent to the region; NULL allows all. */
bool account_allows_region(const struct account *account, const char *region);

#ifdef __cplusplus
}
#endif

#endif
