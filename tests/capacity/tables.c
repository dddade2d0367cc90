/* A node's tables without threads and sockets. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "adapters/clock_system.h"
#include "adapters/platform_http.h"
#include "capacity/meter.h"
#include "capacity/parts.h"
#include "core/lookup.h"
#include "core/ticket.h"
#include "node/lookup.h"
#include "node/state.h"

#define KEPT_ANSWER_BYTES 512
#define MOST_TICKETS 57344 /* seven eighths of LEDGER_MAX_ENTRIES */

/* Today's co-operative, two steps between, and the wanted size. */
const struct document_size part_sizes[PART_SIZES] = {
	{ 11, 6, 3, 3, 2, 1000, 2 },
	{ 110, 32, 9, 3, 2, 10000, 8 },
	{ 330, 96, 9, 3, 2, 40000, 16 },
	{ 1100, 320, 9, 3, 2, 160000, 32 },
};

struct document {
	char *text;
	size_t len;
	struct config *config;
};

static struct document document_open(const struct document_size *size)
{
	struct document document = { document_make(size), 0, NULL };
	GError *error = NULL;

	document.len = strlen(document.text);
	document.config = config_decode(document.text, document.len, &error);
	if (!document.config)
		g_error("document: %s", error->message);
	document.config->version = 1;
	return document;
}

static void document_close(struct document *document)
{
	config_free(document->config);
	g_free(document->text);
}

static void decode(void *context)
{
	const struct document *document = context;

	config_free(config_decode(document->text, document->len, NULL));
}

static void encode(void *context)
{
	const struct document *document = context;

	g_free(config_encode(document->config));
}

/* Addresses all over the blocks, and as many that lie in none. */
struct address_walk {
	const struct config *config;
	uint32_t address;
	uint32_t found;
};

static void find_place(void *context)
{
	struct address_walk *walk = context;

	walk->address = walk->address * 1664525 + 1013904223;
	walk->found +=
		config_place_of_address(walk->config,
					0x0a000000u + (walk->address >> 7)) !=
		CONFIG_NONE;
}

static void print_config(const struct document_size *size)
{
	struct document document = document_open(size);
	struct address_walk walk = { document.config, 1, 0 };
	struct lookup_table *lookup;
	struct config *copy;
	uint64_t before, config_bytes, lookup_bytes;

	before = meter_heap_bytes();
	copy = config_copy(document.config);
	config_bytes = meter_heap_bytes() - before;
	config_free(copy);
	before = meter_heap_bytes();
	lookup = lookup_table_new(document.config);
	lookup_bytes = meter_heap_bytes() - before;
	lookup_table_free(lookup);
	printf("| %u | %u | %u | %zu | %" PRIu64 " | %" PRIu64 " | %" PRIu64
	       " | %" PRIu64 " | %" PRIu64 " |\n",
	       size->nodes, size->places, size->blocks, document.len,
	       meter_cost_ns(decode, &document) / 1000,
	       meter_cost_ns(encode, &document) / 1000, config_bytes / 1024,
	       lookup_bytes / 1024, meter_cost_ns(find_place, &walk));
	document_close(&document);
}

bool part_config(int sizes)
{
	int i;

	puts("| nodes | places | blocks | document bytes | decode us | "
	     "encode us | struct config KB | look-up table KB | "
	     "place of an address ns |\n"
	     "| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
	for (i = 0; i < sizes; i++)
		print_config(&part_sizes[i]);
	return true;
}

/* One node's tables with reports of all others in its view. */
struct tables {
	struct settings settings;
	struct platform *platform;
	struct node *node;
	const struct document_size *size;
};

static void fill_report(const struct document_size *size, uint32_t index,
			struct peer_report *report)
{
	uint32_t i;

	memset(report, 0, sizeof(*report));
	document_node_name(index, report->node);
	report->incarnation = index + 1;
	report->sequence = 1;
	report->config_version = 1;
	report->service_count = size->services;
	report->services = g_new0(struct peer_service_report, size->services);
	for (i = 0; i < size->services; i++) {
		struct gate_summary *summary = &report->services[i].summary;

		document_service_name(i, report->services[i].service);
		summary->slots = 14;
		summary->in_flight = index % 14;
		summary->service_us = 5000;
	}
}

static void fill_view(struct tables *tables)
{
	uint64_t now_us = state_now_us(tables->node);
	struct peer_report report;
	uint32_t i;

	for (i = 1; i < tables->size->nodes; i++) {
		fill_report(tables->size, i, &report);
		/* Made in the future, so that none grows old meanwhile. */
		view_take(tables->node->view, &report,
			  now_us + 3600 * 1000000ull);
		g_free(report.services);
	}
}

static struct tables *tables_open(const struct document_size *size)
{
	struct tables *tables = g_new0(struct tables, 1);
	struct document document = document_open(size);

	tables->size = size;
	document_node_name(0, tables->settings.name);
	document_place_name(0, tables->settings.place);
	tables->settings.lookup_ttl_us = 1000000;
	tables->platform = platform_http_new("127.0.0.1", 1, 1000);
	tables->node =
		state_new(&tables->settings, clock_system(), tables->platform);
	if (!state_apply(tables->node, document.config, NULL))
		g_error("the configuration wasn't taken");
	document.config = NULL;
	document_close(&document);
	fill_view(tables);
	state_refresh_nodes(tables->node);
	state_refresh_places(tables->node);
	return tables;
}

static void tables_close(struct tables *tables)
{
	state_free(tables->node);
	platform_http_free(tables->platform);
	g_free(tables);
}

static void answer_by_address(void *context)
{
	struct tables *tables = context;
	char service[NAME_SIZE];
	char *json = NULL;

	document_service_name(0, service);
	lookup_answer(tables->node, service, NULL,
		      0x0a000000u + (state_draw() >> 7), &json);
	g_free(json);
}

static void answer_by_place(void *context)
{
	struct tables *tables = context;
	char service[NAME_SIZE];
	char place[NAME_SIZE];
	char *json = NULL;

	document_service_name(0, service);
	document_place_name(state_draw() % tables->size->places, place);
	lookup_answer(tables->node, service, place, 0, &json);
	g_free(json);
}

bool part_lookup(int sizes)
{
	int i;

	puts("| nodes | places | blocks | by address ns | by place ns |\n"
	     "| --- | --- | --- | --- | --- |");
	for (i = 0; i < sizes; i++) {
		struct tables *tables = tables_open(&part_sizes[i]);

		printf("| %u | %u | %u | %" PRIu64 " | %" PRIu64 " |\n",
		       part_sizes[i].nodes, part_sizes[i].places,
		       part_sizes[i].blocks,
		       meter_cost_ns(answer_by_address, tables),
		       meter_cost_ns(answer_by_place, tables));
		tables_close(tables);
	}
	return true;
}

static void refresh_places(void *context)
{
	state_refresh_places(((struct tables *)context)->node);
}

static void refresh_nodes(void *context)
{
	state_refresh_nodes(((struct tables *)context)->node);
}

static void refresh_backends(void *context)
{
	state_refresh_backends(((struct tables *)context)->node);
}

static void apply_again(void *context)
{
	struct tables *tables = context;
	struct snapshot *snapshot = snapshot_get(tables->node);
	struct config *config = config_copy(snapshot->config);

	snapshot_put(snapshot);
	config->version++;
	state_apply(tables->node, config, NULL);
}

/* With so many services, at the size's nodes, places and backend servers. */
static void print_refresh(const struct document_size *base, uint32_t services)
{
	struct document_size size = *base;
	struct tables *tables;

	size.services = services;
	tables = tables_open(&size);
	printf("| %u | %u | %u | %u | %" PRIu64 " | %" PRIu64 " | %" PRIu64
	       " | %" PRIu64 " |\n",
	       size.nodes, size.places, services,
	       services * size.places * size.backends,
	       meter_cost_ns(refresh_places, tables) / 1000,
	       meter_cost_ns(refresh_nodes, tables) / 1000,
	       meter_cost_ns(refresh_backends, tables) / 1000,
	       meter_cost_ns(apply_again, tables) / 1000);
	tables_close(tables);
}

bool part_refresh(int sizes)
{
	int i;

	puts("| nodes | places | services | backend servers | places us | "
	     "nodes us | gates us | a new version us |\n"
	     "| --- | --- | --- | --- | --- | --- | --- | --- |");
	for (i = 0; i < sizes; i++)
		print_refresh(&part_sizes[i], 3);
	for (i = 0; i < sizes; i++)
		print_refresh(&part_sizes[i], 12);
	return true;
}

static void copy_view(void *context)
{
	struct tables *tables = context;
	struct peer_message message = { .report_count = 0 };

	view_fill(tables->node->view, &message, "none",
		  state_now_us(tables->node));
	peer_message_release(&message);
}

static void print_view(const struct document_size *size)
{
	struct tables *tables = tables_open(size);
	struct view *other = view_new();
	struct peer_report report;
	uint64_t before = meter_heap_bytes();
	uint32_t i;

	for (i = 0; i < size->nodes; i++) {
		fill_report(size, i, &report);
		view_take(other, &report, state_now_us(tables->node));
		g_free(report.services);
	}
	printf("| %u | %u | %" PRIu64 " | %" PRIu64 " |\n", size->nodes,
	       size->services, (meter_heap_bytes() - before) / 1024,
	       meter_cost_ns(copy_view, tables) / 1000);
	view_free(other);
	tables_close(tables);
}

bool part_view(int sizes)
{
	int i;

	puts("| nodes | services | view KB | copied for a message us |\n"
	     "| --- | --- | --- | --- |");
	for (i = 0; i < sizes; i++)
		print_view(&part_sizes[i]);
	return true;
}

static void fill_ledger(struct ledger *ledger, uint32_t count, bool with_answer)
{
	const struct ledger_answer *kept;
	struct ticket ticket = { .node = "node-0001", .incarnation = 77 };
	char id[ID_SIZE];

	for (ticket.sequence = 0; ticket.sequence < count; ticket.sequence++) {
		struct ledger_answer answer = { .http_status = 200 };

		ticket_format(&ticket, id);
		if (ledger_start(ledger, id, 1, &kept) != RESULT_OK)
			g_error("the ledger is full");
		if (with_answer) {
			answer.content_type = g_strdup("application/json");
			answer.body = g_malloc0(KEPT_ANSWER_BYTES);
			answer.body_bytes = KEPT_ANSWER_BYTES;
		}
		ledger_finish(ledger, id,
			      with_answer ? LEDGER_DONE : LEDGER_UNKNOWN,
			      &answer);
	}
}

static uint64_t ledger_heap_bytes(uint32_t count, bool with_answer)
{
	uint64_t before = meter_heap_bytes();
	struct ledger *ledger = ledger_new(LEDGER_MAX_ENTRIES);
	uint64_t bytes;

	fill_ledger(ledger, count, with_answer);
	bytes = meter_heap_bytes() - before;
	ledger_free(ledger);
	return bytes;
}

bool part_ledger(int sizes)
{
	static const uint32_t counts[PART_SIZES] = { 1000, 8000, 32000,
						     MOST_TICKETS };
	int i;

	printf("| entries | bytes an entry | with an answer of %d bytes |\n"
	       "| --- | --- | --- |\n",
	       KEPT_ANSWER_BYTES);
	for (i = 0; i < sizes; i++)
		printf("| %u | %" PRIu64 " | %" PRIu64 " |\n", counts[i],
		       ledger_heap_bytes(counts[i], false) / counts[i],
		       ledger_heap_bytes(counts[i], true) / counts[i]);
	return true;
}
