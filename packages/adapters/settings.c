#include "adapters/settings.h"

#include <errno.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "adapters/log.h"
#include "adapters/toml.h"
#include "core/config.h"
#include "core/endpoint.h"
#include "core/result.h"

#define FILE_MAX_BYTES (64 * 1024)
#define US_PER_MS 1000
#define MAX_SEEDS (sizeof(((struct settings *)NULL)->seeds) / NAME_SIZE)

enum setting_kind {
	KIND_NAME, /* letters, digits, '.', '_' and '-' */
	KIND_ADDRESS, /* IPv4 number */
	KIND_PORT, /* uint16_t */
	KIND_NUMBER, /* uint32_t */
	KIND_MS, /* milliseconds in the file, uint64_t microseconds here */
	KIND_PATH, /* may be empty */
	KIND_LEVEL,
	KIND_PEERS,
};

struct setting_key {
	const char *table;
	const char *key;
	enum setting_kind kind;
	size_t offset;
	bool required;
	int64_t least;
	int64_t most;
	int64_t fallback;
};

#define AT(field) offsetof(struct settings, field)

static const struct setting_key setting_keys[] = {
	{ "node", "name", KIND_NAME, AT(name), true, 0, 0, 0 },
	{ "node", "place", KIND_NAME, AT(place), true, 0, 0, 0 },
	{ "node", "address", KIND_ADDRESS, AT(address), true, 0, 0, 0 },
	{ "node", "http_port", KIND_PORT, AT(http_port), true, 1, 65535, 0 },
	{ "node", "peer_port", KIND_PORT, AT(peer_port), true, 1, 65535, 0 },
	{ "platform", "address", KIND_ADDRESS, AT(platform_address), true, 0, 0,
	  0 },
	{ "platform", "port", KIND_PORT, AT(platform_port), true, 1, 65535, 0 },
	{ "platform", "timeout_ms", KIND_MS, AT(platform_timeout_us), false, 10,
	  60000, 500 },
	{ "platform", "poll_interval_ms", KIND_MS, AT(poll_interval_us), false,
	  50, 60000, 1000 },
	{ "seeds", "peers", KIND_PEERS, AT(seeds), false, 0, 0, 0 },
	{ "limits", "http_threads", KIND_NUMBER, AT(http_threads), false, 4,
	  4096, 512 },
	{ "limits", "body_max_bytes", KIND_NUMBER, AT(body_max_bytes), false,
	  1024, BODY_MAX_BYTES, BODY_MAX_BYTES },
	{ "limits", "header_timeout_ms", KIND_MS, AT(header_timeout_us), false,
	  10, 60000, 2000 },
	{ "steering", "retry_share_permille", KIND_NUMBER,
	  AT(retry_share_permille), false, 0, 1000, 100 },
	{ "steering", "lookup_ttl_ms", KIND_MS, AT(lookup_ttl_us), false, 10,
	  600000, 1000 },
	{ "steering", "report_interval_ms", KIND_MS, AT(report_interval_us),
	  false, 10, 60000, 200 },
	{ "steering", "probe_interval_ms", KIND_MS, AT(probe_interval_us),
	  false, 10, 60000, 200 },
	{ "steering", "stop_linger_ms", KIND_MS, AT(stop_linger_us), false, 0,
	  600000, 600000 },
	{ "log", "path", KIND_PATH, AT(log_path), false, 0, 0, 0 },
	{ "log", "level", KIND_LEVEL, AT(log_level), false, 0, 0, 0 },
	{ "trace", "path", KIND_PATH, AT(trace_path), false, 0, 0, 0 },
	{ "trace", "sample_permille", KIND_NUMBER, AT(trace_permille), false, 0,
	  1000, 1000 },
};

#define KEY_COUNT (sizeof(setting_keys) / sizeof(setting_keys[0]))

/* The file while it is read. */
struct settings_reader {
	struct settings *settings;
	const char *path;
	bool seen[KEY_COUNT];
};

static void *field_of(struct settings *settings, const struct setting_key *key)
{
	return (char *)settings + key->offset;
}

static void store_number(struct settings *settings,
			 const struct setting_key *key, int64_t number)
{
	void *field = field_of(settings, key);

	if (key->kind == KIND_PORT)
		*(uint16_t *)field = (uint16_t)number;
	else if (key->kind == KIND_MS)
		*(uint64_t *)field = (uint64_t)number * US_PER_MS;
	else
		*(uint32_t *)field = (uint32_t)number;
}

static void describe_allowed(const struct setting_key *key, char *text,
			     size_t size)
{
	switch (key->kind) {
	case KIND_NAME:
		g_snprintf(text, size,
			   "a string of 1 to %d letters, digits, '.', '_', '-'",
			   NAME_SIZE - 1);
		break;
	case KIND_ADDRESS:
		g_snprintf(text, size, "a string that holds an IPv4 number");
		break;
	case KIND_PATH:
		g_snprintf(text, size, "a string of at most %d bytes",
			   SETTINGS_PATH_SIZE - 1);
		break;
	case KIND_LEVEL:
		g_snprintf(text, size,
			   "\"error\", \"warning\", \"info\" or \"debug\"");
		break;
	case KIND_PEERS:
		g_snprintf(text, size,
			   "an array of at most %zu strings \"IPv4:port\"",
			   MAX_SEEDS);
		break;
	default:
		g_snprintf(text, size,
			   "a whole number from %" PRId64 " to %" PRId64,
			   key->least, key->most);
		break;
	}
}

static bool take_number(struct settings *settings,
			const struct setting_key *key,
			const struct toml_value *value)
{
	if (value->type != TOML_INTEGER)
		return false;
	if (value->integer < key->least || value->integer > key->most)
		return false;
	store_number(settings, key, value->integer);
	return true;
}

static bool take_peers(struct settings *settings,
		       const struct toml_value *value)
{
	struct endpoint endpoint;
	uint32_t count = 0;

	if (value->type != TOML_STRINGS)
		return false;
	for (; value->strings[count]; count++) {
		if (count >= MAX_SEEDS ||
		    !endpoint_parse(value->strings[count], &endpoint))
			return false;
		g_strlcpy(settings->seeds[count], value->strings[count],
			  NAME_SIZE);
	}
	settings->seed_count = count;
	return true;
}

static bool string_is_allowed(const struct setting_key *key, const char *string)
{
	switch (key->kind) {
	case KIND_NAME:
		return config_name_is_valid(string, NAME_SIZE);
	case KIND_ADDRESS:
		return endpoint_is_address(string);
	case KIND_LEVEL:
		return log_level_from_name(string) >= 0;
	default:
		return strlen(string) < SETTINGS_PATH_SIZE;
	}
}

static size_t field_size(const struct setting_key *key)
{
	switch (key->kind) {
	case KIND_PATH:
		return SETTINGS_PATH_SIZE;
	case KIND_LEVEL:
		return sizeof(((struct settings *)NULL)->log_level);
	default:
		return NAME_SIZE;
	}
}

static bool take_string(struct settings *settings,
			const struct setting_key *key,
			const struct toml_value *value)
{
	if (value->type != TOML_STRING ||
	    !string_is_allowed(key, value->string))
		return false;
	g_strlcpy(field_of(settings, key), value->string, field_size(key));
	return true;
}

static bool take(struct settings *settings, const struct setting_key *key,
		 const struct toml_value *value)
{
	switch (key->kind) {
	case KIND_PORT:
	case KIND_NUMBER:
	case KIND_MS:
		return take_number(settings, key, value);
	case KIND_PEERS:
		return take_peers(settings, value);
	default:
		return take_string(settings, key, value);
	}
}

static const struct setting_key *find_key(const struct toml_value *value)
{
	size_t i;

	for (i = 0; i < KEY_COUNT; i++)
		if (!strcmp(setting_keys[i].table, value->table) &&
		    !strcmp(setting_keys[i].key, value->key))
			return &setting_keys[i];
	return NULL;
}

static bool visit_setting(void *context, const struct toml_value *value,
			  GError **error)
{
	struct settings_reader *reader = context;
	const struct setting_key *key = find_key(value);
	char allowed[128];

	if (!key) {
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
			    "%s:%u: unknown key %s%s%s", reader->path,
			    value->line, value->table, *value->table ? "." : "",
			    value->key);
		return false;
	}
	if (!take(reader->settings, key, value)) {
		describe_allowed(key, allowed, sizeof(allowed));
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
			    "%s:%u: %s.%s must be %s", reader->path,
			    value->line, key->table, key->key, allowed);
		return false;
	}
	reader->seen[key - setting_keys] = true;
	return true;
}

static void set_fallbacks(struct settings *settings)
{
	size_t i;

	memset(settings, 0, sizeof(*settings));
	for (i = 0; i < KEY_COUNT; i++)
		if (setting_keys[i].fallback)
			store_number(settings, &setting_keys[i],
				     setting_keys[i].fallback);
	g_strlcpy(settings->log_level, "info", sizeof(settings->log_level));
}

static bool check_required(const struct settings_reader *reader, GError **error)
{
	char allowed[128];
	size_t i;

	for (i = 0; i < KEY_COUNT; i++) {
		const struct setting_key *key = &setting_keys[i];

		if (!key->required || reader->seen[i])
			continue;
		describe_allowed(key, allowed, sizeof(allowed));
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
			    "%s: missing key %s.%s, %s", reader->path,
			    key->table, key->key, allowed);
		return false;
	}
	return true;
}

/* Whole text of the file for g_free(), or NULL. */
static char *read_file(const char *path, size_t *length, GError **error)
{
	FILE *file = fopen(path, "re");
	char *text;
	int failure;

	if (!file) {
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_UNREADABLE,
			    "%s: %s", path, g_strerror(errno));
		return NULL;
	}
	text = g_malloc(FILE_MAX_BYTES + 1);
	*length = fread(text, 1, FILE_MAX_BYTES + 1, file);
	failure = ferror(file) ? errno : 0;
	(void)fclose(file);
	if (!failure && *length <= FILE_MAX_BYTES)
		return text;
	g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_UNREADABLE, "%s: %s",
		    path, failure ? g_strerror(failure) : "larger than 64 KiB");
	g_free(text);
	return NULL;
}

bool settings_load(struct settings *settings, const char *path, GError **error)
{
	struct settings_reader reader = { .settings = settings, .path = path };
	size_t length;
	char *text;
	bool ok;

	set_fallbacks(settings);
	text = read_file(path, &length, error);
	if (!text)
		return false;
	ok = toml_visit(path, text, length, visit_setting, &reader, error) &&
	     check_required(&reader, error);
	g_free(text);
	return ok;
}
