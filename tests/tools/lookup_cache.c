#include "tools/lookup_cache.h"

#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "core/wire.h"
#include "standins/event_log.h"
#include "tools/exchange.h"

#define LOOKUP_TIMEOUT_US 1000000

struct lookup_cache {
	char **nodes; /* "ADDRESS:PORT" */
	uint32_t node_count;
	char *query;
	pthread_mutex_t lock; /* guards kept */
	struct lookup_answer kept;
};

static bool parse_node(const json_t *item, struct lookup_node *node)
{
	const char *name;
	const char *address;
	int port;

	if (json_unpack((json_t *)item, "{s:s, s:s, s:i}", "node", &name,
			"address", &address, "port", &port))
		return false;
	g_strlcpy(node->node, name, sizeof(node->node));
	g_strlcpy(node->endpoint.address, address,
		  sizeof(node->endpoint.address));
	node->endpoint.port = (uint16_t)port;
	return true;
}

static bool parse_answer(const char *text, struct lookup_answer *answer)
{
	json_t *root = json_loads(text, 0, NULL);
	const json_t *nodes = json_object_get(root, "nodes");
	const char *ticket = json_string_value(json_object_get(root, "ticket"));
	const json_t *ttl = json_object_get(root, "ttl_us");
	size_t i;

	memset(answer, 0, sizeof(*answer));
	for (i = 0; i < json_array_size(nodes) && i < LOOKUP_MAX_NODES; i++)
		if (parse_node(json_array_get(nodes, i),
			       &answer->nodes[answer->count]))
			answer->count++;
	if (ticket)
		g_strlcpy(answer->ticket, ticket, sizeof(answer->ticket));
	answer->until_us = event_now_us() + (uint64_t)json_integer_value(ttl);
	json_decref(root);
	return answer->count > 0;
}

static bool ask(const struct lookup_cache *cache, CURL *curl, const char *node,
		struct lookup_answer *answer)
{
	struct exchange_request request = { .timeout_us = LOOKUP_TIMEOUT_US };
	struct exchange exchange;
	char *url = g_strconcat("http://", node, cache->query, NULL);
	bool found;

	exchange_init(&exchange);
	request.url = url;
	exchange_run(&exchange, curl, &request);
	found = exchange.fate == EXCHANGE_WHOLE && exchange.status == 200 &&
		parse_answer(exchange.body->str, answer);
	exchange_release(&exchange);
	g_free(url);
	return found;
}

static bool take_kept(struct lookup_cache *cache, struct lookup_answer *answer)
{
	pthread_mutex_lock(&cache->lock);
	*answer = cache->kept;
	pthread_mutex_unlock(&cache->lock);
	return answer->count && event_now_us() < answer->until_us;
}

static void keep(struct lookup_cache *cache, const struct lookup_answer *answer)
{
	pthread_mutex_lock(&cache->lock);
	cache->kept = *answer;
	pthread_mutex_unlock(&cache->lock);
}

struct lookup_cache *lookup_cache_new(const char *nodes, const char *service,
				      const char *place)
{
	struct lookup_cache *cache = g_new0(struct lookup_cache, 1);

	cache->nodes = g_strsplit(nodes, ",", -1);
	cache->node_count = g_strv_length(cache->nodes);
	cache->query = g_strdup_printf("%s?service=%s%s%s", WIRE_PATH_LOOKUP,
				       service, *place ? "&from=" : "", place);
	pthread_mutex_init(&cache->lock, NULL);
	return cache;
}

void lookup_cache_free(struct lookup_cache *cache)
{
	g_strfreev(cache->nodes);
	g_free(cache->query);
	pthread_mutex_destroy(&cache->lock);
	g_free(cache);
}

bool lookup_cache_get(struct lookup_cache *cache, CURL *curl, uint32_t first,
		      struct lookup_answer *answer)
{
	uint32_t i;

	if (take_kept(cache, answer))
		return true;
	for (i = 0; i < cache->node_count; i++) {
		uint32_t index = (first + i) % cache->node_count;

		if (!ask(cache, curl, cache->nodes[index], answer))
			continue;
		if (!*answer->ticket)
			keep(cache, answer);
		return true;
	}
	return false;
}

void lookup_cache_drop(struct lookup_cache *cache)
{
	pthread_mutex_lock(&cache->lock);
	cache->kept.count = 0;
	pthread_mutex_unlock(&cache->lock);
}
