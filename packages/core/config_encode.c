#include "core/config.h"

#include <arpa/inet.h>
#include <jansson.h>

static json_t *encode_services(const struct config *config)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < config->service_count; i++) {
		const struct config_service *service = &config->services[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:I, s:b}", "name", service->name,
				  "class",
				  service_class_name(service->class_of),
				  "timeout_us", (json_int_t)service->timeout_us,
				  "stopped", service->stopped));
	}
	return list;
}

static json_t *encode_places(const struct config *config)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < config->place_count; i++) {
		const struct config_place *place = &config->places[i];

		json_array_append_new(list, json_pack("{s:s, s:s, s:b}", "name",
						      place->name, "region",
						      place->region, "drained",
						      place->drained));
	}
	return list;
}

static json_t *encode_nodes(const struct config *config)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		const struct config_node *node = &config->nodes[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:i, s:i, s:b}", "name",
				  node->name, "place",
				  config->places[node->place].name, "address",
				  node->address, "http_port", node->http_port,
				  "peer_port", node->peer_port, "drained",
				  node->drained));
	}
	return list;
}

static json_t *encode_backends(const struct config *config)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < config->backend_count; i++) {
		const struct config_backend *backend = &config->backends[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:i, s:I, s:b}", "name",
				  backend->name, "service",
				  config->services[backend->service].name,
				  "place", config->places[backend->place].name,
				  "address", backend->address, "port",
				  backend->port, "slots",
				  (json_int_t)backend->slots, "drained",
				  backend->drained));
	}
	return list;
}

static json_t *encode_links(const struct config *config)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < config->link_count; i++) {
		const struct config_link *link = &config->links[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:I, s:I}", "from", link->from,
				  "to", link->to, "one_way_us",
				  (json_int_t)link->one_way_us, "limit_per_s",
				  (json_int_t)link->limit_per_s));
	}
	return list;
}

static json_t *encode_shifts(const struct config *config)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:I}", "id",
				  shift->id, "service",
				  config->services[shift->service].name, "from",
				  config->places[shift->from].name, "to",
				  config->places[shift->to].name,
				  "share_permille",
				  (json_int_t)shift->share_permille,
				  "cap_per_s", (json_int_t)shift->cap_per_s,
				  "seats", (json_int_t)shift->seats));
	}
	return list;
}

static json_t *encode_blocks(const struct config *config)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < config->block_count; i++) {
		const struct config_block *block = &config->blocks[i];
		struct in_addr number = { htonl(block->prefix) };
		char address[INET_ADDRSTRLEN];
		char prefix[INET_ADDRSTRLEN + 4];

		inet_ntop(AF_INET, &number, address, sizeof(address));
		g_snprintf(prefix, sizeof(prefix), "%s/%u", address,
			   block->prefix_bits);
		json_array_append_new(
			list, json_pack("{s:s, s:s}", "prefix", prefix, "place",
					config->places[block->place].name));
	}
	return list;
}

static json_t *encode_commands(const struct config *config)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < config->command_count; i++) {
		const struct config_command *command = &config->commands[i];

		json_array_append_new(list,
				      json_pack("{s:s, s:I}", "id", command->id,
						"version",
						(json_int_t)command->version));
	}
	return list;
}

char *config_encode(const struct config *config)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "services", encode_services(config));
	json_object_set_new(root, "places", encode_places(config));
	json_object_set_new(root, "nodes", encode_nodes(config));
	json_object_set_new(root, "backends", encode_backends(config));
	json_object_set_new(root, "links", encode_links(config));
	json_object_set_new(root, "shifts", encode_shifts(config));
	json_object_set_new(root, "blocks", encode_blocks(config));
	json_object_set_new(root, "commands", encode_commands(config));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
