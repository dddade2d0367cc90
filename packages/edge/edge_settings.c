#include "edge/edge_settings.h"

#include <stddef.h>
#include <string.h>

#include "adapters/log.h"
#include "adapters/toml.h"
#include "core/duration.h"
#include "core/result.h"

#define FILE_MAX_BYTES (64 * 1024)

#define BYTES_PER_MB (1024 * 1024)

/* Smallest held_bytes. */
#define HELD_MIN_BYTES BYTES_PER_MB

/*
 * Part of the memory for held bytes. Buffers grow by doubling, so they may take
 * twice as much; the tables, connections and code need the rest.
 */
#define HELD_SHARE 0.25

enum setting_kind {
	KIND_NAME,
	KIND_ENDPOINT,
	KIND_DURATION, /* "250ms" */
	KIND_COUNT, /* uint32_t */
	KIND_NUMBER, /* decimal number, double */
	KIND_BYTES, /* uint64_t */
	KIND_LEVEL,
	KIND_FLAG,
};

struct setting {
	const char *table;
	const char *key;
	enum setting_kind kind;
	size_t offset;
	const char *fallback; /* NULL: required */
};

#define AT(field) offsetof(struct edge_settings, field)

static const struct setting setting_list[] = {
	{ "node", "name", KIND_NAME, AT(name), NULL },
	{ "node", "domain", KIND_NAME, AT(domain), NULL },
	{ "node", "region", KIND_NAME, AT(region), NULL },
	{ "node", "link_mbps", KIND_NUMBER, AT(link_mbps), "10" },
	{ "node", "first_start", KIND_FLAG, AT(first_start), "false" },
	{ "listen", "front", KIND_ENDPOINT, AT(front), NULL },
	{ "listen", "ready", KIND_ENDPOINT, AT(ready), "" },
	{ "listen", "lookup", KIND_ENDPOINT, AT(lookup), "" },
	{ "listen", "operators", KIND_ENDPOINT, AT(operators), "" },
	{ "listen", "peer", KIND_ENDPOINT, AT(peer), NULL },
	{ "registry", "address", KIND_ENDPOINT, AT(registry), NULL },
	{ "registry", "leave_within", KIND_DURATION, AT(leave_within_us),
	  "2500ms" },
	{ "registry", "config_within", KIND_DURATION, AT(config_within_us),
	  "2500ms" },
	{ "extra", "ratio", KIND_NUMBER, AT(extra_requests.ratio), "0.1" },
	{ "extra", "allowance", KIND_NUMBER, AT(extra_requests.allowance),
	  "20" },
	{ "extra", "window", KIND_DURATION, AT(extra_requests.window_us),
	  "10s" },
	{ "extra", "nodes_least", KIND_COUNT, AT(min_nodes_assumed), "1" },
	{ "accounts", "window", KIND_DURATION, AT(account_quota.window_us),
	  "10s" },
	{ "accounts", "overage", KIND_NUMBER, AT(account_quota.overage), "0" },
	{ "accounts", "slack", KIND_NUMBER, AT(account_quota.slack), "0" },
	{ "members", "forget", KIND_DURATION, AT(member_expiry_us), "600s" },
	{ "lookup", "keep", KIND_DURATION, AT(lookup_keep_us), "1s" },
	{ "stop", "most", KIND_DURATION, AT(max_stop_us), "6s" },
	{ "memory", "memory_mb", KIND_NUMBER, AT(memory_mb), "0" },
	{ "memory", "held_bytes", KIND_BYTES, AT(held_bytes), "0" },
	{ "log", "level", KIND_LEVEL, AT(log_level), "info" },
};

struct settings_loader {
	struct edge_settings *settings;
	const char *path;
	bool seen[G_N_ELEMENTS(setting_list)];
};

static bool set_invalid(GError **error, const char *path, uint32_t line,
			const char *key, const char *allowed)
{
	g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
		    "%s:%u: %s: must be %s", path, line, key, allowed);
	return false;
}

/* Parse and store the text. Returns NULL, or what is allowed. */
static const char *store_name(void *at, const char *text)
{
	if (!*text || strlen(text) >= NAME_SIZE)
		return "a name of 1 to 63 bytes";
	g_strlcpy(at, text, NAME_SIZE);
	return NULL;
}

static const char *store_endpoint(void *at, const char *text)
{
	memset(at, 0, sizeof(struct endpoint));
	if (!*text || endpoint_parse(text, at))
		return NULL;
	return "an IPv4 address and a port, such as 10.0.0.1:8080";
}

static const char *store_duration(void *at, const char *text)
{
	if (duration_parse(text, at) && *(uint64_t *)at)
		return NULL;
	return "a duration above 0 with its unit, such as 250ms or 2s";
}

static const char *store_number(void *at, const char *text)
{
	char *end = NULL;

	*(double *)at = g_ascii_strtod(text, &end);
	if (*text && !*end && *(double *)at >= 0)
		return NULL;
	return "a number of 0 or more";
}

static const char *store_count(void *at, const char *text)
{
	guint64 count;

	if (!g_ascii_string_to_unsigned(text, 10, 1, 100000, &count, NULL))
		return "an integer from 1 to 100000";
	*(uint32_t *)at = (uint32_t)count;
	return NULL;
}

/*
 * Less than HELD_MIN_BYTES would hold up the node's requests rather than bound
 * its memory.
 */
static const char *store_bytes(void *at, const char *text)
{
	guint64 bytes;

	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &bytes,
					NULL) ||
	    (bytes && bytes < HELD_MIN_BYTES))
		return "0 (unlimited) or an integer of 1048576 or more";
	*(uint64_t *)at = bytes;
	return NULL;
}

static const char *store_level(void *at, const char *text)
{
	if (log_level_from_name(text) < 0)
		return "error, warning, info or debug";
	g_strlcpy(at, text, NAME_SIZE);
	return NULL;
}

static const char *store_flag(void *at, const char *text)
{
	*(bool *)at = !strcmp(text, "true");
	if (*(bool *)at || !strcmp(text, "false"))
		return NULL;
	return "true or false";
}

static const char *store(struct edge_settings *settings,
			 const struct setting *setting, const char *text)
{
	void *at = (char *)settings + setting->offset;

	switch (setting->kind) {
	case KIND_NAME:
		return store_name(at, text);
	case KIND_ENDPOINT:
		return store_endpoint(at, text);
	case KIND_DURATION:
		return store_duration(at, text);
	case KIND_COUNT:
		return store_count(at, text);
	case KIND_NUMBER:
		return store_number(at, text);
	case KIND_BYTES:
		return store_bytes(at, text);
	case KIND_LEVEL:
		return store_level(at, text);
	case KIND_FLAG:
		return store_flag(at, text);
	}
	return "known";
}

static int find_setting(const struct toml_value *value)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(setting_list); i++)
		if (!strcmp(setting_list[i].table, value->table) &&
		    !strcmp(setting_list[i].key, value->key))
			return (int)i;
	return -1;
}

static bool visit(void *context, const struct toml_value *value, GError **error)
{
	struct settings_loader *loader = context;
	const char *allowed;
	int i;

	if (value->type != TOML_STRING)
		return set_invalid(error, loader->path, value->line, value->key,
				   "a string in quotes");
	if (!strcmp(value->table, "domains")) {
		g_hash_table_insert(loader->settings->regions,
				    g_strdup(value->key),
				    g_strdup(value->string));
		return true;
	}
	i = find_setting(value);
	if (i < 0)
		return set_invalid(error, loader->path, value->line, value->key,
				   "a key listed in docs/SETTINGS.md");
	loader->seen[i] = true;
	allowed = store(loader->settings, &setting_list[i], value->string);
	return !allowed || set_invalid(error, loader->path, value->line,
				       value->key, allowed);
}

static bool is_seen(const struct settings_loader *loader, const char *key)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(setting_list); i++)
		if (!strcmp(setting_list[i].key, key))
			return loader->seen[i];
	return false;
}

static uint64_t default_held_bytes(const struct edge_settings *settings)
{
	double bytes = settings->memory_mb * BYTES_PER_MB * HELD_SHARE;

	if (!settings->memory_mb)
		return 0;
	return (uint64_t)CLAMP(bytes, HELD_MIN_BYTES, (double)G_MAXINT64 / 2);
}

static bool apply_defaults(const struct settings_loader *loader, GError **error)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(setting_list); i++) {
		const struct setting *setting = &setting_list[i];

		if (loader->seen[i])
			continue;
		if (!setting->fallback) {
			g_set_error(error, RESULT_ERROR,
				    RESULT_SETTINGS_INVALID,
				    "%s: [%s] %s is missing", loader->path,
				    setting->table, setting->key);
			return false;
		}
		store(loader->settings, setting, setting->fallback);
	}
	if (!is_seen(loader, "held_bytes"))
		loader->settings->held_bytes =
			default_held_bytes(loader->settings);
	/* Each failure domain has at least one entry VM. */
	loader->settings->min_nodes_assumed =
		MAX(loader->settings->min_nodes_assumed,
		    g_hash_table_size(loader->settings->regions));
	return true;
}

static bool read_text(struct settings_loader *loader, const char *text,
		      size_t length, GError **error)
{
	if (length > FILE_MAX_BYTES) {
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
			    "%s: larger than %d bytes", loader->path,
			    FILE_MAX_BYTES);
		return false;
	}
	return toml_visit(loader->path, text, length, visit, loader, error) &&
	       apply_defaults(loader, error);
}

bool edge_settings_load(struct edge_settings *settings, const char *path,
			GError **error)
{
	struct settings_loader loader = { .settings = settings, .path = path };
	GError *cause = NULL;
	char *text = NULL;
	gsize length = 0;
	bool good;

	memset(settings, 0, sizeof(*settings));
	if (!g_file_get_contents(path, &text, &length, &cause)) {
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_UNREADABLE,
			    "%s", cause->message);
		g_error_free(cause);
		return false;
	}
	settings->regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	good = read_text(&loader, text, length, error);
	g_free(text);
	if (!good)
		edge_settings_release(settings);
	return good;
}

void edge_settings_release(struct edge_settings *settings)
{
	g_clear_pointer(&settings->regions, g_hash_table_destroy);
}

const char *edge_settings_region(const struct edge_settings *settings,
				 const char *domain)
{
	const char *region = g_hash_table_lookup(settings->regions, domain);

	return region ? region : "";
}
