#include "core/account.h"

#include <string.h>

#include "core/hash.h"
#include "core/result.h"

#define DIGEST_HEX_CHARS 64

static void account_free(gpointer data)
{
	struct account *account = data;

	g_ptr_array_unref(account->regions);
	g_free(account->name);
	g_free(account);
}

static struct account *account_new(const char *name)
{
	struct account *account = g_new0(struct account, 1);

	account->name = g_strdup(name);
	account->hash = hash_text(name);
	account->regions = g_ptr_array_new_with_free_func(g_free);
	return account;
}

struct account_table *account_table_new(void)
{
	struct account_table *table = g_new0(struct account_table, 1);

	table->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       account_free);
	table->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->unusable = account_new("");
	table->unusable->unusable = true;
	return table;
}

void account_table_free(struct account_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->by_key);
	g_hash_table_destroy(table->by_name);
	account_free(table->unusable);
	g_free(table);
}

/* As the value of a header, where spaces at the ends aren't part of it. */
static bool name_is_well_formed(const char *name)
{
	size_t length = strlen(name);
	size_t i;

	if (!length || length > ACCOUNT_NAME_MAX_BYTES || name[0] == ' ' ||
	    name[length - 1] == ' ')
		return false;
	for (i = 0; i < length; i++)
		if (g_ascii_iscntrl(name[i]))
			return false;
	return true;
}

struct account *account_table_add(struct account_table *table, const char *name,
				  GError **error)
{
	struct account *account;

	if (!name_is_well_formed(name)) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "an account's name is empty, longer than %d bytes, "
			    "has control characters or a space at an end",
			    ACCOUNT_NAME_MAX_BYTES);
		return NULL;
	}
	if (account_table_find(table, name)) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "account %s: the name is used twice", name);
		return NULL;
	}
	account = account_new(name);
	g_hash_table_insert(table->by_name, account->name, account);
	return account;
}

static bool digest_is_well_formed(const char *digest)
{
	const char *hex = digest + strlen(ACCOUNT_DIGEST_PREFIX);

	return g_str_has_prefix(digest, ACCOUNT_DIGEST_PREFIX) &&
	       strlen(hex) == DIGEST_HEX_CHARS &&
	       strspn(hex, "0123456789abcdef") == DIGEST_HEX_CHARS;
}

bool account_table_add_digest(struct account_table *table,
			      struct account *account, const char *digest,
			      GError **error)
{
	const struct account *holder;

	if (!digest_is_well_formed(digest)) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "account %s: a key is malformed", account->name);
		return false;
	}
	holder = g_hash_table_lookup(table->by_key, digest);
	if (holder && holder != account) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "accounts %s and %s have the same key",
			    holder->name, account->name);
		g_hash_table_insert(table->by_key, g_strdup(digest),
				    table->unusable);
		return false;
	}
	g_hash_table_insert(table->by_key, g_strdup(digest), account);
	return true;
}

char *account_key_digest(const char *key)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	char *digest = g_strconcat(ACCOUNT_DIGEST_PREFIX, hex, NULL);

	g_free(hex);
	return digest;
}

struct account *account_table_find_key(const struct account_table *table,
				       const char *key)
{
	struct account *account;
	char *digest;

	if (!*key || strlen(key) > ACCOUNT_KEY_MAX_BYTES)
		return NULL;
	digest = account_key_digest(key);
	account = g_hash_table_lookup(table->by_key, digest);
	g_free(digest);
	return account;
}

struct account *account_table_find(const struct account_table *table,
				   const char *name)
{
	return g_hash_table_lookup(table->by_name, name);
}

bool account_allows_region(const struct account *account, const char *region)
{
	guint i;

	if (!account || !account->regions->len)
		return true;
	for (i = 0; i < account->regions->len; i++)
		if (!strcmp(account->regions->pdata[i], region))
			return true;
	return false;
}
