/*
 * fakes - a clock that tests pause and advance, and a platform in memory
 */
#ifndef TESTS_NODE_FAKES_H
#define TESTS_NODE_FAKES_H

#include <cstring>
#include <map>
#include <string>

#include "adapters/metrics.h"
#include "core/config.h"
#include "core/result.h"
#include "node/state.h"
#include "ports/clock.h"
#include "ports/platform.h"

struct fake_clock {
	struct clock clock;
	uint64_t now_us;
};

inline uint64_t fake_clock_now(const struct clock *clock)
{
	return ((const struct fake_clock *)clock)->now_us;
}

/* Rows in memory; each fault is a count of calls that it still hits. */
struct fake_platform {
	struct platform platform;
	std::map<std::string, std::pair<uint64_t, std::string>> rows;
	int down = 0; /* calls without any effect */
	int lose_answers = 0; /* writes that take effect without an answer */
	bool down_after_loss = false; /* and then the platform stays away */
	int steal = 0; /* writes before which another one comes */
};

inline bool fake_fail(GError **error, enum result result)
{
	g_set_error(error, RESULT_ERROR, result, "fake: %s",
		    result_name(result));
	return false;
}

inline bool fake_is_down(struct fake_platform *fake)
{
	if (fake->down <= 0)
		return false;
	fake->down--;
	return true;
}

inline bool fake_read(struct platform *platform, const char *table,
		      const char *key, struct platform_row *row, GError **error)
{
	struct fake_platform *fake = (struct fake_platform *)platform;
	auto found = fake->rows.find(std::string(table) + "/" + key);

	if (fake_is_down(fake))
		return fake_fail(error, RESULT_PLATFORM_UNAVAILABLE);
	row->version = 0;
	row->value = nullptr;
	if (found != fake->rows.end()) {
		row->version = found->second.first;
		row->value = g_strdup(found->second.second.c_str());
	}
	return true;
}

inline bool fake_write(struct platform *platform, const char *table,
		       const char *key, const char *value,
		       uint64_t expected_version, uint64_t *new_version,
		       GError **error)
{
	struct fake_platform *fake = (struct fake_platform *)platform;
	auto &row = fake->rows[std::string(table) + "/" + key];

	if (fake_is_down(fake))
		return fake_fail(error, RESULT_PLATFORM_UNAVAILABLE);
	if (fake->steal > 0) {
		fake->steal--;
		row.first++;
	}
	if (row.first != expected_version)
		return fake_fail(error, RESULT_CONFLICT);
	row.first++;
	row.second = value;
	if (fake->lose_answers > 0) {
		fake->lose_answers--;
		if (fake->down_after_loss)
			fake->down = 1000;
		return fake_fail(error, RESULT_UNSETTLED);
	}
	*new_version = row.first;
	return true;
}

inline bool fake_list(struct platform *, struct platform_vm_list *list,
		      GError **)
{
	list->vms = nullptr;
	list->count = 0;
	return true;
}

static const struct platform_vtable fake_platform_vtable = { fake_read,
							     fake_write,
							     fake_list };
static const struct clock_vtable fake_clock_vtable = { fake_clock_now };

/* Two places; n1 and n2 at the first, n3 at the second. */
static const char fake_document[] = R"({
  "services": [
    {"name": "certif", "class": "non-idempotent", "timeout_us": 5000000},
    {"name": "historia", "class": "interactive", "timeout_us": 2000000}],
  "places": [{"name": "central-1", "region": "central"},
             {"name": "sur-1", "region": "sur"}],
  "nodes": [
    {"name": "n1", "place": "central-1", "address": "127.1.1.1",
     "http_port": 8080, "peer_port": 8081},
    {"name": "n2", "place": "central-1", "address": "127.1.1.2",
     "http_port": 8080, "peer_port": 8081},
    {"name": "n3", "place": "sur-1", "address": "127.1.2.1",
     "http_port": 8080, "peer_port": 8081}],
  "backends": [
    {"name": "c1", "service": "certif", "place": "central-1",
     "address": "127.1.1.9", "port": 9, "slots": 3},
    {"name": "h1", "service": "historia", "place": "central-1",
     "address": "127.1.1.9", "port": 9, "slots": 5},
    {"name": "h2", "service": "historia", "place": "sur-1",
     "address": "127.1.2.9", "port": 9, "slots": 7}]
})";

/* A node's tables without its threads and sockets. */
struct fake_node {
	struct settings settings = {};
	struct fake_clock clock = { { &fake_clock_vtable }, 1000000000 };
	struct fake_platform platform;
	struct node *node;

	explicit fake_node(const char *name = "n1")
	{
		g_strlcpy(settings.name, name, NAME_SIZE);
		g_strlcpy(settings.place, "central-1", NAME_SIZE);
		settings.retry_share_permille = 100;
		platform.platform.vtable = &fake_platform_vtable;
		node = state_new(&settings, &clock.clock, &platform.platform);
	}

	~fake_node()
	{
		state_free(node);
	}

	bool apply(uint64_t version, const char *text = fake_document)
	{
		struct config *config =
			config_decode(text, strlen(text), nullptr);

		config->version = version;
		return state_apply(node, config, nullptr);
	}

	/* A sibling says that it keeps to the shares of the version. */
	void hear(const char *name, uint64_t version)
	{
		struct peer_report report = {};

		g_strlcpy(report.node, name, NAME_SIZE);
		report.incarnation = 7;
		report.sequence = ++heard;
		report.shares_version = version;
		report.config_version = version;
		view_take(node->view, &report, clock.now_us);
		view_answered(node->view, name, report.incarnation);
	}

	/* The version is in force, and at the siblings too. */
	bool apply_everywhere(uint64_t version,
			      const char *text = fake_document)
	{
		bool applied = apply(version, text);

		hear("n1", version);
		hear("n2", version);
		state_refresh_shares(node);
		return applied;
	}

	uint64_t heard = 0;
};

#endif
