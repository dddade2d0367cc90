#include "core/config.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/config_lists.h"
#include "core/endpoint.h"
#include "core/result.h"

#define MIN_TIMEOUT_US 1000
#define MAX_TIMEOUT_US 3600000000ll /* 1 h */
#define MAX_SLOTS 65536
#define MAX_ONE_WAY_US 10000000 /* 10 s */
#define MAX_PERMILLE 1000

/*
 * The current position in the document, for error messages, and the names read
 * so far. They are hashed because each of 160,000 blocks may name one of
 * hundreds of places: linear searches took most of the decoding time.
 */
struct reader {
	const char *list; /* name, such as "services" */
	size_t index; /* of item in the list */
	json_t *item;
	GHashTable *const *names; /* by enum config_list: item name to index */
	GError **error;
};

/* Set the error "LIST[INDEX].MEMBER: must be ALLOWED". */
static bool fail_member(const struct reader *reader, const char *member,
			const char *allowed)
{
	g_set_error(reader->error, RESULT_ERROR, RESULT_CONFIG_INVALID,
		    "%s[%zu].%s: must be %s", reader->list, reader->index,
		    member, allowed);
	return false;
}

static bool read_name(const struct reader *reader, const char *member,
		      char *name, size_t size)
{
	const char *text =
		json_string_value(json_object_get(reader->item, member));

	if (!text || !config_name_is_valid(text, size))
		return fail_member(reader, member,
				   "a name of A-Z a-z 0-9 . _ -, not too long");
	g_strlcpy(name, text, size);
	return true;
}

static bool read_address(const struct reader *reader, char *address)
{
	const char *text =
		json_string_value(json_object_get(reader->item, "address"));

	if (!text || !endpoint_is_address(text))
		return fail_member(reader, "address", "an IPv4 number");
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
		return fail_member(reader, member, "true or false");
	*value = json_is_true(json);
	return true;
}

static bool read_number(const struct reader *reader, const char *member,
			int64_t min, int64_t most, int64_t *value)
{
	json_t *json = json_object_get(reader->item, member);
	char allowed[80];

	if (json_is_integer(json)) {
		*value = json_integer_value(json);
		if (*value >= min && *value <= most)
			return true;
	}
	g_snprintf(allowed, sizeof(allowed),
		   "a whole number from %" G_GINT64_FORMAT
		   " to %" G_GINT64_FORMAT,
		   min, most);
	return fail_member(reader, member, allowed);
}

static bool read_u32(const struct reader *reader, const char *member,
		     int64_t min, int64_t most, uint32_t *value)
{
	int64_t number;

	if (!read_number(reader, member, min, most, &number))
		return false;
	*value = (uint32_t)number;
	return true;
}

static bool read_u64(const struct reader *reader, const char *member,
		     int64_t min, int64_t most, uint64_t *value)
{
	int64_t number;

	if (!read_number(reader, member, min, most, &number))
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

/* Read a member that names an item of another list, as its index. */
static bool read_reference(const struct reader *reader, const char *member,
			   enum config_list list, uint32_t *index)
{
	const char *text =
		json_string_value(json_object_get(reader->item, member));
	gpointer found;

	if (!text || !g_hash_table_lookup_extended(reader->names[list], text,
						   NULL, &found))
		return fail_member(reader, member,
				   "a name that the document lists");
	*index = GPOINTER_TO_UINT(found);
	return true;
}

/* Reject unknown members, so that typing errors are noticed. */
static bool check_members(const struct reader *reader,
			  const char *const *members)
{
	const char *key;
	json_t *value;

	if (!json_is_object(reader->item))
		return fail_member(reader, "", "an object");
	json_object_foreach (reader->item, key, value) {
		if (!g_strv_contains(members, key))
			return fail_member(reader, key,
					   "left out: it is unknown");
	}
	return true;
}

static bool read_service(const struct reader *reader, struct config *config,
			 uint32_t index)
{
	static const char *const members[] = { "name", "class", "timeout_us",
					       "stopped", NULL };
	struct config_service *service = &config->services[index];
	const char *class_name;
	int class_of;

	if (!check_members(reader, members) ||
	    !read_name(reader, "name", service->name, NAME_SIZE))
		return false;
	class_name = json_string_value(json_object_get(reader->item, "class"));
	class_of = class_name ? service_class_from_name(class_name) : -1;
	if (class_of < 0)
		return fail_member(reader, "class",
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
	       read_reference(reader, "place", CONFIG_LIST_PLACES,
			      &node->place) &&
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
	       read_reference(reader, "service", CONFIG_LIST_SERVICES,
			      &backend->service) &&
	       read_reference(reader, "place", CONFIG_LIST_PLACES,
			      &backend->place) &&
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
	    !read_reference(reader, "service", CONFIG_LIST_SERVICES,
			    &shift->service) ||
	    !read_reference(reader, "from", CONFIG_LIST_PLACES, &shift->from) ||
	    !read_reference(reader, "to", CONFIG_LIST_PLACES, &shift->to) ||
	    !read_u32(reader, "share_permille", 1, MAX_PERMILLE,
		      &shift->share_permille) ||
	    !read_u32(reader, "cap_per_s", 1, SHIFT_MAX_CAP_PER_S,
		      &shift->cap_per_s))
		return false;
	if (shift->from == shift->to)
		return fail_member(reader, "to", "another place than from");
	if (!json_object_get(reader->item, "seats")) {
		shift->seats = config_default_seats(config, shift->to);
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
	char **fields;
	struct in_addr number;
	guint64 bits = 0;
	bool ok;

	if (!check_members(reader, members) ||
	    !read_reference(reader, "place", CONFIG_LIST_PLACES, &block->place))
		return false;
	text = json_string_value(json_object_get(reader->item, "prefix"));
	fields = g_strsplit(text ? text : "", "/", 3);
	ok = g_strv_length(fields) == 2 &&
	     inet_pton(AF_INET, fields[0], &number) == 1 &&
	     g_ascii_string_to_unsigned(fields[1], 10, 0, 32, &bits, NULL);
	g_strfreev(fields);
	if (!ok)
		return fail_member(reader, "prefix",
				   "an IPv4 block such as 10.0.0.0/8");
	block->prefix_bits = (uint32_t)bits;
	block->prefix = ntohl(number.s_addr);
	if (bits < 32 && (block->prefix & (UINT32_MAX >> bits)))
		return fail_member(reader, "prefix",
				   "a block without host bits");
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

/* How to decode a list and its items. */
struct list_reader {
	size_t max_items;
	const char *key; /* unique member of the items, or NULL */
	bool (*read)(const struct reader *, struct config *, uint32_t);
};

static const struct list_reader list_readers[CONFIG_LIST_COUNT] = {
	[CONFIG_LIST_SERVICES] = { CONFIG_MAX_SERVICES, "name", read_service },
	[CONFIG_LIST_PLACES] = { CONFIG_MAX_PLACES, "name", read_place },
	[CONFIG_LIST_NODES] = { CONFIG_MAX_NODES, "name", read_node },
	[CONFIG_LIST_BACKENDS] = { CONFIG_MAX_BACKENDS, "name", read_backend },
	[CONFIG_LIST_LINKS] = { CONFIG_MAX_LINKS, NULL, read_link },
	[CONFIG_LIST_SHIFTS] = { CONFIG_MAX_SHIFTS, "id", read_shift },
	[CONFIG_LIST_BLOCKS] = { CONFIG_MAX_CIDR_BLOCKS, NULL, read_block },
	[CONFIG_LIST_COMMANDS] = { CONFIG_COMMANDS_KEPT, "id", read_command },
};

/* Add the current item's name to the table; fail if it is taken. */
static bool add_name(const struct reader *reader, GHashTable *names,
		     const char *key, const char *name)
{
	if (g_hash_table_insert(names, (gpointer)name,
				GUINT_TO_POINTER(reader->index)))
		return true;
	return fail_member(reader, key, "unlike the others of its list");
}

static bool read_list(enum config_list which, json_t *json,
		      struct config *config, GHashTable *const *names,
		      GError **error)
{
	const struct list_reader *list = &list_readers[which];
	const struct config_list_field *field = &config_list_fields[which];
	struct reader reader = { field->name, 0, NULL, names, error };
	bool ok = true;
	char *items;

	if (!json)
		return true;
	if (!json_is_array(json) || json_array_size(json) > list->max_items) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "%s: must be a list of at most %zu items",
			    field->name, list->max_items);
		return false;
	}
	items = g_malloc0_n(json_array_size(json) + 1, field->item_size);
	*config_list_items(config, which) = items;
	while (ok && reader.index < json_array_size(json)) {
		char *item = items + reader.index * field->item_size;

		reader.item = json_array_get(json, reader.index);
		ok = list->read(&reader, config, (uint32_t)reader.index) &&
		     (!list->key ||
		      add_name(&reader, names[which], list->key, item));
		*config_list_count(config, which) = (uint32_t)++reader.index;
	}
	return ok;
}

/* Reject unknown members of the document itself. */
static bool check_list_names(json_t *root, GError **error)
{
	const char *key;
	json_t *value;
	int i;

	json_object_foreach (root, key, value) {
		for (i = 0; i < CONFIG_LIST_COUNT; i++)
			if (!strcmp(config_list_fields[i].name, key))
				break;
		if (i == CONFIG_LIST_COUNT) {
			g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
				    "%s: unknown member", key);
			return false;
		}
	}
	return true;
}

static bool read_lists(json_t *root, struct config *config, GError **error)
{
	GHashTable *names[CONFIG_LIST_COUNT];
	bool ok = true;
	int i;

	for (i = 0; i < CONFIG_LIST_COUNT; i++)
		names[i] = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; ok && i < CONFIG_LIST_COUNT; i++)
		ok = read_list((enum config_list)i,
			       json_object_get(root,
					       config_list_fields[i].name),
			       config, names, error);
	for (i = 0; i < CONFIG_LIST_COUNT; i++)
		g_hash_table_destroy(names[i]);
	return ok;
}

static bool read_document(json_t *root, struct config *config, GError **error)
{
	if (!json_is_object(root)) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "the document must be an object");
		return false;
	}
	if (!check_list_names(root, error))
		return false;
	if (!read_lists(root, config, error))
		return false;
	if (config->block_count)
		qsort(config->blocks, config->block_count,
		      sizeof(*config->blocks), config_compare_blocks);
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
