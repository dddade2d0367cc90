#include "core/config.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/result.h"

#define DEFAULT_ONE_WAY_WITHIN_US 500
#define DEFAULT_ONE_WAY_BETWEEN_US 100000

#define MIN_TIMEOUT_US 1000
#define MAX_TIMEOUT_US 3600000000ll
#define MAX_SLOTS 65536
#define MAX_ONE_WAY_US 10000000
#define MAX_PERMILLE 1000

/* Lists in the order of reading: later ones refer to earlier ones. */
enum list {
	LIST_SERVICES,
	LIST_PLACES,
	LIST_NODES,
	LIST_BACKENDS,
	LIST_LINKS,
	LIST_SHIFTS,
	LIST_BLOCKS,
	LIST_COMMANDS,
	LIST_COUNT,
};

/*
 * Where in the document the reading is, so that an error can name it, and the
 * names read so far: each of 160,000 blocks names one of hundreds of places, so
 * that a search through the list for each took most of the time of decoding.
 */
struct reader {
	const char *list; /* "services" */
	size_t index; /* in the list */
	json_t *item;
	GHashTable *const *names; /* by enum list: name to index */
	GError **error;
};

static const char *const class_names[SERVICE_CLASS_COUNT] = {
	[SERVICE_INTERACTIVE] = "interactive",
	[SERVICE_NON_IDEMPOTENT] = "non-idempotent",
	[SERVICE_BACKGROUND] = "background",
};

const char *service_class_name(enum service_class class_of)
{
	return class_names[class_of];
}

int service_class_from_name(const char *name)
{
	int i;

	for (i = 0; i < SERVICE_CLASS_COUNT; i++)
		if (!strcmp(class_names[i], name))
			return i;
	return -1;
}

static bool refuse(const struct reader *reader, const char *member,
		   const char *allowed)
{
	g_set_error(reader->error, RESULT_ERROR, RESULT_CONFIG_INVALID,
		    "%s[%zu].%s: must be %s", reader->list, reader->index,
		    member, allowed);
	return false;
}

bool config_name_is_valid(const char *text, size_t size)
{
	size_t len = strlen(text);

	if (!len || len >= size)
		return false;
	return strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "abcdefghijklmnopqrstuvwxyz0123456789._-") == len;
}

static bool read_name(const struct reader *reader, const char *member,
		      char *name, size_t size)
{
	const char *text =
		json_string_value(json_object_get(reader->item, member));

	if (!text || !config_name_is_valid(text, size))
		return refuse(reader, member,
			      "a name of A-Z a-z 0-9 . _ -, not too long");
	g_strlcpy(name, text, size);
	return true;
}

static bool read_address(const struct reader *reader, char *address)
{
	const char *text =
		json_string_value(json_object_get(reader->item, "address"));
	struct in_addr number;

	if (!text || inet_pton(AF_INET, text, &number) != 1)
		return refuse(reader, "address", "an IPv4 number");
	g_strlcpy(address, text, NAME_SIZE);
	return true;
}

static bool read_bool(const struct reader *reader, const char *member,
		      bool *value)
{
	json_t *json = json_object_get(reader->item, member);

	*value = false;
	if (!json)
		return true;
	if (!json_is_boolean(json))
		return refuse(reader, member, "true or false");
	*value = json_is_true(json);
	return true;
}

static bool read_number(const struct reader *reader, const char *member,
			int64_t least, int64_t most, int64_t *value)
{
	json_t *json = json_object_get(reader->item, member);
	char allowed[80];

	if (json_is_integer(json)) {
		*value = json_integer_value(json);
		if (*value >= least && *value <= most)
			return true;
	}
	g_snprintf(allowed, sizeof(allowed),
		   "a whole number from %" G_GINT64_FORMAT
		   " to %" G_GINT64_FORMAT,
		   least, most);
	return refuse(reader, member, allowed);
}

static bool read_u32(const struct reader *reader, const char *member,
		     int64_t least, int64_t most, uint32_t *value)
{
	int64_t number;

	if (!read_number(reader, member, least, most, &number))
		return false;
	*value = (uint32_t)number;
	return true;
}

static bool read_u64(const struct reader *reader, const char *member,
		     int64_t least, int64_t most, uint64_t *value)
{
	int64_t number;

	if (!read_number(reader, member, least, most, &number))
		return false;
	*value = (uint64_t)number;
	return true;
}

static bool read_port(const struct reader *reader, const char *member,
		      uint16_t *port)
{
	int64_t number;

	if (!read_number(reader, member, 1, UINT16_MAX, &number))
		return false;
	*port = (uint16_t)number;
	return true;
}

/* Read a member that names an item of another list. */
static bool read_reference(const struct reader *reader, const char *member,
			   enum list list, uint32_t *index)
{
	const char *text =
		json_string_value(json_object_get(reader->item, member));
	gpointer found;

	if (!text || !g_hash_table_lookup_extended(reader->names[list], text,
						   NULL, &found))
		return refuse(reader, member, "a name that the document lists");
	*index = GPOINTER_TO_UINT(found);
	return true;
}

/* Refuse a member that no field is read from, so that a typo is seen. */
static bool check_members(const struct reader *reader,
			  const char *const *members)
{
	const char *key;
	json_t *value;

	if (!json_is_object(reader->item))
		return refuse(reader, "", "an object");
	json_object_foreach (reader->item, key, value) {
		if (!g_strv_contains(members, key))
			return refuse(reader, key, "left out: it is unknown");
	}
	return true;
}

static bool read_service(const struct reader *reader, struct config *config,
			 uint32_t index)
{
	static const char *const members[] = { "name", "class", "timeout_us",
					       "stopped", NULL };
	struct config_service *service = &config->services[index];
	const char *class_text;
	int class_of;

	if (!check_members(reader, members) ||
	    !read_name(reader, "name", service->name, NAME_SIZE))
		return false;
	class_text = json_string_value(json_object_get(reader->item, "class"));
	class_of = class_text ? service_class_from_name(class_text) : -1;
	if (class_of < 0)
		return refuse(reader, "class",
			      "interactive, non-idempotent or background");
	service->class_of = (enum service_class)class_of;
	return read_u64(reader, "timeout_us", MIN_TIMEOUT_US, MAX_TIMEOUT_US,
			&service->timeout_us) &&
	       read_bool(reader, "stopped", &service->stopped);
}

static bool read_place(const struct reader *reader, struct config *config,
		       uint32_t index)
{
	static const char *const members[] = { "name", "region", "drained",
					       NULL };
	struct config_place *place = &config->places[index];

	return check_members(reader, members) &&
	       read_name(reader, "name", place->name, NAME_SIZE) &&
	       read_name(reader, "region", place->region, NAME_SIZE) &&
	       read_bool(reader, "drained", &place->drained);
}

static bool read_node(const struct reader *reader, struct config *config,
		      uint32_t index)
{
	static const char *const members[] = { "name",	    "place",
					       "address",   "http_port",
					       "peer_port", "drained",
					       NULL };
	struct config_node *node = &config->nodes[index];

	return check_members(reader, members) &&
	       read_name(reader, "name", node->name, NAME_SIZE) &&
	       read_reference(reader, "place", LIST_PLACES, &node->place) &&
	       read_address(reader, node->address) &&
	       read_port(reader, "http_port", &node->http_port) &&
	       read_port(reader, "peer_port", &node->peer_port) &&
	       read_bool(reader, "drained", &node->drained);
}

static bool read_backend(const struct reader *reader, struct config *config,
			 uint32_t index)
{
	static const char *const members[] = { "name",	  "service", "place",
					       "address", "port",    "slots",
					       "drained", NULL };
	struct config_backend *backend = &config->backends[index];

	return check_members(reader, members) &&
	       read_name(reader, "name", backend->name, NAME_SIZE) &&
	       read_reference(reader, "service", LIST_SERVICES,
			      &backend->service) &&
	       read_reference(reader, "place", LIST_PLACES, &backend->place) &&
	       read_address(reader, backend->address) &&
	       read_port(reader, "port", &backend->port) &&
	       read_u32(reader, "slots", 1, MAX_SLOTS, &backend->slots) &&
	       read_bool(reader, "drained", &backend->drained);
}

static bool read_link(const struct reader *reader, struct config *config,
		      uint32_t index)
{
	static const char *const members[] = { "from", "to", "one_way_us",
					       "limit_per_s", NULL };
	struct config_link *link = &config->links[index];

	if (!check_members(reader, members) ||
	    !read_name(reader, "from", link->from, NAME_SIZE) ||
	    !read_name(reader, "to", link->to, NAME_SIZE) ||
	    !read_u64(reader, "one_way_us", 0, MAX_ONE_WAY_US,
		      &link->one_way_us))
		return false;
	if (!json_object_get(reader->item, "limit_per_s"))
		return true;
	return read_u32(reader, "limit_per_s", 0, UINT32_MAX,
			&link->limit_per_s);
}

static bool read_shift(const struct reader *reader, struct config *config,
		       uint32_t index)
{
	static const char *const members[] = {
		"id",	     "service", "from", "to", "share_permille",
		"cap_per_s", "seats",	NULL
	};
	struct config_shift *shift = &config->shifts[index];

	if (!check_members(reader, members) ||
	    !read_name(reader, "id", shift->id, ID_SIZE) ||
	    !read_reference(reader, "service", LIST_SERVICES,
			    &shift->service) ||
	    !read_reference(reader, "from", LIST_PLACES, &shift->from) ||
	    !read_reference(reader, "to", LIST_PLACES, &shift->to) ||
	    !read_u32(reader, "share_permille", 1, MAX_PERMILLE,
		      &shift->share_permille) ||
	    !read_u32(reader, "cap_per_s", 1, SHIFT_MAX_CAP_PER_S,
		      &shift->cap_per_s))
		return false;
	if (shift->from == shift->to)
		return refuse(reader, "to", "another place than from");
	if (!json_object_get(reader->item, "seats")) {
		shift->seats = config_seats_for(config, shift->to);
		return true;
	}
	return read_u32(reader, "seats", 1, SHIFT_MAX_SEATS, &shift->seats);
}

static bool read_block(const struct reader *reader, struct config *config,
		       uint32_t index)
{
	static const char *const members[] = { "prefix", "place", NULL };
	struct config_block *block = &config->blocks[index];
	const char *text;
	char **parts;
	struct in_addr number;
	guint64 bits = 0;
	bool good;

	if (!check_members(reader, members) ||
	    !read_reference(reader, "place", LIST_PLACES, &block->place))
		return false;
	text = json_string_value(json_object_get(reader->item, "prefix"));
	parts = g_strsplit(text ? text : "", "/", 3);
	good = g_strv_length(parts) == 2 &&
	       inet_pton(AF_INET, parts[0], &number) == 1 &&
	       g_ascii_string_to_unsigned(parts[1], 10, 0, 32, &bits, NULL);
	g_strfreev(parts);
	if (!good)
		return refuse(reader, "prefix",
			      "an IPv4 block such as 10.0.0.0/8");
	block->prefix_bits = (uint32_t)bits;
	block->prefix = ntohl(number.s_addr);
	if (bits < 32 && (block->prefix & (UINT32_MAX >> bits)))
		return refuse(reader, "prefix", "a block without host bits");
	return true;
}

static bool read_command(const struct reader *reader, struct config *config,
			 uint32_t index)
{
	static const char *const members[] = { "id", "version", NULL };
	struct config_command *command = &config->commands[index];

	return check_members(reader, members) &&
	       read_name(reader, "id", command->id, ID_SIZE) &&
	       read_u64(reader, "version", 0, INT64_MAX, &command->version);
}

/* A list of the document, and the arrays of struct config it is read into. */
struct list_reader {
	const char *name;
	size_t item_size;
	size_t items_offset; /* of the array's pointer in struct config */
	size_t count_offset;
	size_t most;
	bool unique_names; /* items begin with a name or id */
	bool (*read)(const struct reader *, struct config *, uint32_t);
};

#define LIST(member, count, most, unique, read)                              \
	{                                                                    \
#member, sizeof(*((struct config *)0)->member),              \
			offsetof(struct config, member),                     \
			offsetof(struct config, count), (most), unique, read \
	}

static const struct list_reader list_readers[LIST_COUNT] = {
	[LIST_SERVICES] =
		LIST(services, service_count, 4096, true, read_service),
	[LIST_PLACES] = LIST(places, place_count, 4096, true, read_place),
	[LIST_NODES] = LIST(nodes, node_count, 16384, true, read_node),
	[LIST_BACKENDS] =
		LIST(backends, backend_count, 262144, true, read_backend),
	[LIST_LINKS] = LIST(links, link_count, 65536, false, read_link),
	[LIST_SHIFTS] =
		LIST(shifts, shift_count, CONFIG_MAX_SHIFTS, true, read_shift),
	[LIST_BLOCKS] = LIST(blocks, block_count, 1048576, false, read_block),
	[LIST_COMMANDS] = LIST(commands, command_count, CONFIG_COMMANDS_KEPT,
			       true, read_command),
};

static void **list_items(struct config *config, const struct list_reader *list)
{
	return (void **)((char *)config + list->items_offset);
}

static uint32_t *list_count(struct config *config,
			    const struct list_reader *list)
{
	return (uint32_t *)((char *)config + list->count_offset);
}

static bool take_in_name(const struct reader *reader, GHashTable *names,
			 const char *name)
{
	if (g_hash_table_insert(names, (gpointer)name,
				GUINT_TO_POINTER(reader->index)))
		return true;
	return refuse(reader, "name", "unlike the others of its list");
}

static bool read_list(enum list which, json_t *json, struct config *config,
		      GHashTable *const *names, GError **error)
{
	const struct list_reader *list = &list_readers[which];
	struct reader reader = { list->name, 0, NULL, names, error };
	bool good = true;
	char *items;

	if (!json)
		return true;
	if (!json_is_array(json) || json_array_size(json) > list->most) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "%s: must be a list of at most %zu items",
			    list->name, list->most);
		return false;
	}
	items = g_malloc0_n(json_array_size(json) + 1, list->item_size);
	*list_items(config, list) = items;
	while (good && reader.index < json_array_size(json)) {
		char *item = items + reader.index * list->item_size;

		reader.item = json_array_get(json, reader.index);
		good = list->read(&reader, config, (uint32_t)reader.index) &&
		       (!list->unique_names ||
			take_in_name(&reader, names[which], item));
		*list_count(config, list) = (uint32_t)++reader.index;
	}
	return good;
}

static bool check_lists(json_t *root, GError **error)
{
	const char *key;
	json_t *value;
	size_t i;

	json_object_foreach (root, key, value) {
		for (i = 0; i < G_N_ELEMENTS(list_readers); i++)
			if (!strcmp(list_readers[i].name, key))
				break;
		if (i == G_N_ELEMENTS(list_readers)) {
			g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
				    "%s: unknown member", key);
			return false;
		}
	}
	return true;
}

static int compare_blocks(const void *a, const void *b)
{
	const struct config_block *x = a;
	const struct config_block *y = b;

	if (x->prefix != y->prefix)
		return x->prefix < y->prefix ? -1 : 1;
	if (x->prefix_bits != y->prefix_bits)
		return x->prefix_bits < y->prefix_bits ? -1 : 1;
	return 0;
}

static bool read_lists(json_t *root, struct config *config, GError **error)
{
	GHashTable *names[LIST_COUNT];
	bool good = true;
	int i;

	for (i = 0; i < LIST_COUNT; i++)
		names[i] = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; good && i < LIST_COUNT; i++)
		good = read_list((enum list)i,
				 json_object_get(root, list_readers[i].name),
				 config, names, error);
	for (i = 0; i < LIST_COUNT; i++)
		g_hash_table_destroy(names[i]);
	return good;
}

static bool read_document(json_t *root, struct config *config, GError **error)
{
	if (!json_is_object(root)) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "the document must be an object");
		return false;
	}
	if (!check_lists(root, error))
		return false;
	if (!read_lists(root, config, error))
		return false;
	if (config->block_count)
		qsort(config->blocks, config->block_count,
		      sizeof(*config->blocks), compare_blocks);
	return true;
}

struct config *config_decode(const char *text, size_t len, GError **error)
{
	struct config *config = NULL;
	json_error_t json_error;
	json_t *root;

	if (len > CONFIG_MAX_BYTES) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "the document has %zu bytes, %d are allowed", len,
			    CONFIG_MAX_BYTES);
		return NULL;
	}
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &json_error);
	if (!root) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "line %d, column %d: %s", json_error.line,
			    json_error.column, json_error.text);
		return NULL;
	}
	config = g_new0(struct config, 1);
	if (!read_document(root, config, error)) {
		config_free(config);
		config = NULL;
	}
	json_decref(root);
	return config;
}

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

struct config *config_copy(const struct config *config)
{
	struct config *copy = g_new0(struct config, 1);
	size_t i;

	*copy = *config;
	for (i = 0; i < G_N_ELEMENTS(list_readers); i++) {
		const struct list_reader *list = &list_readers[i];
		size_t bytes = *list_count(copy, list) * list->item_size;
		char *items = g_malloc0(bytes + list->item_size);

		if (bytes)
			memcpy(items, *list_items(copy, list), bytes);
		*list_items(copy, list) = items;
	}
	return copy;
}

void config_free(struct config *config)
{
	size_t i;

	if (!config)
		return;
	for (i = 0; i < G_N_ELEMENTS(list_readers); i++)
		g_free(*list_items(config, &list_readers[i]));
	g_free(config);
}

/* Items begin with their name or id. */
static uint32_t find(const void *items, uint32_t count, size_t item_size,
		     const char *name)
{
	const char *item = items;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(item + i * item_size, name))
			return i;
	return CONFIG_NONE;
}

uint32_t config_find_service(const struct config *config, const char *name)
{
	return find(config->services, config->service_count,
		    sizeof(*config->services), name);
}

uint32_t config_find_place(const struct config *config, const char *name)
{
	return find(config->places, config->place_count,
		    sizeof(*config->places), name);
}

uint32_t config_find_node(const struct config *config, const char *name)
{
	return find(config->nodes, config->node_count, sizeof(*config->nodes),
		    name);
}

uint32_t config_find_backend(const struct config *config, const char *name)
{
	return find(config->backends, config->backend_count,
		    sizeof(*config->backends), name);
}

uint32_t config_find_shift(const struct config *config, const char *id)
{
	return find(config->shifts, config->shift_count,
		    sizeof(*config->shifts), id);
}

uint64_t config_find_command(const struct config *config, const char *id)
{
	uint32_t index = find(config->commands, config->command_count,
			      sizeof(*config->commands), id);

	return index == CONFIG_NONE ? 0 : config->commands[index].version;
}

void config_add_command(struct config *config, const char *id)
{
	struct config_command *commands;
	uint32_t kept = config->command_count;

	if (kept == CONFIG_COMMANDS_KEPT) {
		kept--;
		memmove(config->commands, config->commands + 1,
			kept * sizeof(*config->commands));
	}
	commands = g_renew(struct config_command, config->commands, kept + 1);
	memset(&commands[kept], 0, sizeof(commands[kept]));
	g_strlcpy(commands[kept].id, id, ID_SIZE);
	commands[kept].version = config->version + 1;
	config->commands = commands;
	config->command_count = kept + 1;
}

uint32_t config_seats_for(const struct config *config, uint32_t place)
{
	uint32_t nodes = 0;
	uint32_t i;

	for (i = 0; i < config->node_count; i++)
		if (config->nodes[i].place == place)
			nodes++;
	return CLAMP(nodes, 1, SHIFT_MAX_SEATS);
}

void config_add_shift(struct config *config, const struct config_shift *shift)
{
	config->shifts = g_renew(struct config_shift, config->shifts,
				 config->shift_count + 1);
	config->shifts[config->shift_count++] = *shift;
}

void config_remove_shift(struct config *config, uint32_t index)
{
	config->shift_count--;
	memmove(&config->shifts[index], &config->shifts[index + 1],
		(config->shift_count - index) * sizeof(*config->shifts));
}

static const struct config_link *find_link(const struct config *config,
					   const char *from, const char *to)
{
	uint32_t i;

	for (i = 0; i < config->link_count; i++)
		if (!strcmp(config->links[i].from, from) &&
		    !strcmp(config->links[i].to, to))
			return &config->links[i];
	return NULL;
}

/* The link between two places' regions, listed either way; NULL if neither. */
static const struct config_link *link_between(const struct config *config,
					      uint32_t from, uint32_t to)
{
	const char *from_region = config->places[from].region;
	const char *to_region = config->places[to].region;
	const struct config_link *link;

	link = find_link(config, from_region, to_region);
	return link ? link : find_link(config, to_region, from_region);
}

uint64_t config_one_way_us(const struct config *config, uint32_t from,
			   uint32_t to)
{
	const struct config_link *link;

	if (from == to)
		return 0;
	link = link_between(config, from, to);
	if (link)
		return link->one_way_us;
	return strcmp(config->places[from].region, config->places[to].region) ?
		       DEFAULT_ONE_WAY_BETWEEN_US :
		       DEFAULT_ONE_WAY_WITHIN_US;
}

uint32_t config_link_limit_per_s(const struct config *config, uint32_t from,
				 uint32_t to)
{
	const struct config_link *link;

	if (from == to)
		return 0;
	link = link_between(config, from, to);
	return link ? link->limit_per_s : 0;
}

static uint32_t find_block(const struct config *config, uint32_t prefix,
			   uint32_t bits)
{
	struct config_block key = { prefix, bits, 0 };
	const struct config_block *block;

	block = bsearch(&key, config->blocks, config->block_count,
			sizeof(*config->blocks), compare_blocks);
	return block ? block->place : CONFIG_NONE;
}

uint32_t config_place_of_address(const struct config *config, uint32_t address)
{
	uint32_t place = CONFIG_NONE;
	int bits;

	if (!config->block_count)
		return CONFIG_NONE;
	for (bits = 32; bits >= 0 && place == CONFIG_NONE; bits--) {
		uint32_t mask = bits ? UINT32_MAX << (32 - bits) : 0;

		place = find_block(config, address & mask, (uint32_t)bits);
	}
	return place;
}
