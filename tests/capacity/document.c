#include "capacity/document.h"

#include <glib.h>

#include "core/build_options.h"

#define SLOTS 7
#define FIRST_BLOCK 0x0a000000u
#define BLOCK_ADDRESSES 256
#define TIMEOUT_US 2000000
#define BETWEEN_REGIONS_US 55000

void document_node_address(uint32_t index, char *address)
{
	g_snprintf(address, DOCUMENT_ADDRESS_SIZE, "127.60.%u.%u",
		   1 + index / 200, 1 + index % 200);
}

void document_node_name(uint32_t index, char *name)
{
	g_snprintf(name, NAME_SIZE, "node-%04u", index);
}

void document_backend_address(uint32_t index, char *address)
{
	g_snprintf(address, DOCUMENT_ADDRESS_SIZE, "127.61.%u.%u", index / 200,
		   1 + index % 200);
}

void document_backend_name(uint32_t index, char *name)
{
	g_snprintf(name, NAME_SIZE, "backend-%05u", index);
}

void document_place_name(uint32_t index, char *name)
{
	g_snprintf(name, NAME_SIZE, "site-%03u", index);
}

void document_service_name(uint32_t index, char *name)
{
	g_snprintf(name, NAME_SIZE, "svc-historia-%u", index);
}

/* The separator before all items of a list but the first. */
static const char *comma(uint32_t index)
{
	return index ? "," : "";
}

static void add_services(GString *text, const struct document_size *size)
{
	char name[NAME_SIZE];
	uint32_t i;

	g_string_append(text, "{\"services\":[");
	for (i = 0; i < size->services; i++) {
		document_service_name(i, name);
		g_string_append_printf(text,
				       "%s{\"name\":\"%s\",\"class\":"
				       "\"interactive\",\"timeout_us\":%d}",
				       comma(i), name, TIMEOUT_US);
	}
}

static void add_places(GString *text, const struct document_size *size)
{
	char name[NAME_SIZE];
	uint32_t i;

	g_string_append(text, "],\"places\":[");
	for (i = 0; i < size->places; i++) {
		document_place_name(i, name);
		g_string_append_printf(
			text, "%s{\"name\":\"%s\",\"region\":\"region-%u\"}",
			comma(i), name, i % size->regions);
	}
}

static void add_nodes(GString *text, const struct document_size *size)
{
	char address[DOCUMENT_ADDRESS_SIZE];
	char place[NAME_SIZE];
	char name[NAME_SIZE];
	uint32_t i;

	g_string_append(text, "],\"nodes\":[");
	for (i = 0; i < size->nodes; i++) {
		document_node_name(i, name);
		document_node_address(i, address);
		document_place_name(i % size->places, place);
		g_string_append_printf(text,
				       "%s{\"name\":\"%s\",\"place\":\"%s\","
				       "\"address\":\"%s\",\"http_port\":%d,"
				       "\"peer_port\":%d}",
				       comma(i), name, place, address,
				       DOCUMENT_HTTP_PORT, DOCUMENT_PEER_PORT);
	}
}

static void add_backends(GString *text, const struct document_size *size)
{
	uint32_t count = size->services * size->places * size->backends;
	char address[DOCUMENT_ADDRESS_SIZE];
	char service[NAME_SIZE];
	char place[NAME_SIZE];
	char name[NAME_SIZE];
	uint32_t i;

	g_string_append(text, "],\"backends\":[");
	for (i = 0; i < count; i++) {
		document_backend_name(i, name);
		document_backend_address(i, address);
		document_service_name(i % size->services, service);
		document_place_name(i / size->services % size->places, place);
		g_string_append_printf(text,
				       "%s{\"name\":\"%s\",\"service\":\"%s\","
				       "\"place\":\"%s\",\"address\":\"%s\","
				       "\"port\":%d,\"slots\":%d}",
				       comma(i), name, service, place, address,
				       DOCUMENT_BACKEND_PORT, SLOTS);
	}
}

static void add_links(GString *text, const struct document_size *size)
{
	uint32_t from, to;

	g_string_append(text, "],\"links\":[");
	for (from = 0; from < size->regions; from++)
		for (to = 0; to < from; to++)
			g_string_append_printf(
				text,
				"%s{\"from\":\"region-%u\","
				"\"to\":\"region-%u\",\"one_way_us\":%d}",
				comma(from + to - 1), from, to,
				BETWEEN_REGIONS_US);
}

static void add_shifts(GString *text, const struct document_size *size)
{
	char service[NAME_SIZE];
	char from[NAME_SIZE];
	char to[NAME_SIZE];
	uint32_t i;

	g_string_append(text, "],\"shifts\":[");
	for (i = 0; i < size->shifts; i++) {
		document_service_name(i % size->services, service);
		document_place_name(i % size->places, from);
		document_place_name((i + 1) % size->places, to);
		g_string_append_printf(text,
				       "%s{\"id\":\"shift-%u\",\"service\":"
				       "\"%s\",\"from\":\"%s\",\"to\":\"%s\","
				       "\"share_permille\":300,"
				       "\"cap_per_s\":40}",
				       comma(i), i, service, from, to);
	}
}

static void add_blocks(GString *text, const struct document_size *size)
{
	char place[NAME_SIZE];
	uint32_t i;

	g_string_append(text, "],\"blocks\":[");
	for (i = 0; i < size->blocks; i++) {
		uint32_t prefix = FIRST_BLOCK + i * BLOCK_ADDRESSES;

		document_place_name(i % size->places, place);
		g_string_append_printf(text,
				       "%s{\"prefix\":\"%u.%u.%u.0/24\","
				       "\"place\":\"%s\"}",
				       comma(i), prefix >> 24,
				       prefix >> 16 & 255, prefix >> 8 & 255,
				       place);
	}
}

char *document_make(const struct document_size *size)
{
	GString *text = g_string_new(NULL);

	add_services(text, size);
	add_places(text, size);
	add_nodes(text, size);
	add_backends(text, size);
	add_links(text, size);
	add_shifts(text, size);
	add_blocks(text, size);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}
