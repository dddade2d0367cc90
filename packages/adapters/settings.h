/*
 * settings - a node's TOML settings file, every key checked
 *
 * Unknown key, wrong type, out of range or missing: an error that names file,
 * line, key and what is allowed; nothing is guessed.
 *
 * Source: docs/SETTINGS.md has the table of keys.
 */
#ifndef ADAPTERS_SETTINGS_H
#define ADAPTERS_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SETTINGS_PATH_SIZE 256

struct settings {
	/* [node] */
	char name[NAME_SIZE];
	char place[NAME_SIZE];
	char address[NAME_SIZE]; /* IPv4 number to listen on */
	uint16_t http_port;
	uint16_t peer_port;
	/* [platform] */
	char platform_address[NAME_SIZE];
	uint16_t platform_port;
	uint64_t platform_timeout_us;
	uint64_t poll_interval_us; /* of the configuration row */
	/* [seeds]: peers asked before any configuration is known */
	char seeds[16][NAME_SIZE]; /* "address:peer_port" */
	uint32_t seed_count;
	/* [limits] */
	uint32_t http_threads; /* one for each open connection */
	uint32_t body_max_bytes;
	uint64_t header_timeout_us; /* a slow sender is cut off after it */
	/* [steering] */
	uint32_t retry_share_permille;
	uint64_t lookup_ttl_us; /* how long a caller keeps a look-up */
	uint64_t report_interval_us; /* between reports to peers */
	uint64_t probe_interval_us; /* of backend servers' load and health */
	uint64_t stop_linger_us; /* longest wait of a graceful stop */
	/* [log] and [trace]: empty is stderr, or no traces */
	char log_path[SETTINGS_PATH_SIZE];
	char log_level[16]; /* error, warning, info or debug */
	char trace_path[SETTINGS_PATH_SIZE];
	uint32_t trace_permille; /* of requests that start a trace here */
};

/* RESULT_SETTINGS_UNREADABLE or RESULT_SETTINGS_INVALID on failure. */
bool settings_load(struct settings *settings, const char *path, GError **error);

#ifdef __cplusplus
}
#endif

#endif
