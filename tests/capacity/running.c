/* Real nodes, idle or under look-ups. */
#include <arpa/inet.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "capacity/fleet.h"
#include "capacity/meter.h"
#include "capacity/parts.h"
#include "core/wire.h"

#define WINDOW_S 10.0
#define SETTLE_S 3.0
#define LOOKUPS_S 4.0
#define SEATS_SETTLE_S 10.0
#define CUT_S 12.0
#define AFTER_S 2.0
#define SPREAD_TIMEOUT_S 30.0
#define IDLE_THREADS 16
#define DEFAULT_POLL_MS 1000
#define RARE_POLL_MS 60000
#define NODES_A_PLACE 3
#define MOST_CONNECTIONS 8
#define LOOKUP_PATH WIRE_PATH_LOOKUP "?service=svc-historia-0"
#define CHANGE_TIMEOUT_S 60.0
#define POLL_S 0.05

/* What the nodes and loopback did in a window of time. */
struct window {
	double seconds;
	uint64_t process_ns;
	struct platform_calls calls;
	struct meter_traffic traffic;
};

static struct window window_start(struct fleet *fleet)
{
	struct window window = { meter_now_s(), fleet_process_ns(fleet),
				 fleet_platform_calls(fleet),
				 meter_loopback() };

	return window;
}

static void window_end(struct fleet *fleet, struct window *window)
{
	struct meter_traffic traffic = meter_loopback();
	struct platform_calls calls = fleet_platform_calls(fleet);

	window->traffic.bytes = traffic.bytes - window->traffic.bytes;
	window->traffic.packets = traffic.packets - window->traffic.packets;
	window->calls.reads = calls.reads - window->calls.reads;
	window->calls.writes = calls.writes - window->calls.writes;
	window->process_ns = fleet_process_ns(fleet) - window->process_ns;
	window->seconds = meter_now_s() - window->seconds;
}

static struct window watch(struct fleet *fleet, double seconds)
{
	struct window window = window_start(fleet);

	meter_sleep_s(seconds);
	window_end(fleet, &window);
	return window;
}

/* Clients that look up as fast as answers come, one connection each. */
struct load {
	struct http_client *http;
	atomic_bool stop;
	atomic_ullong answers;
	atomic_ullong failures;
};

static void *look_up(void *context)
{
	struct load *load = context;
	struct http_request request = {
		.method = "GET",
		.port = DOCUMENT_HTTP_PORT,
		.path = LOOKUP_PATH,
		.timeout_us = 5000000,
		.answer_max_bytes = 65536,
	};
	struct http_answer answer;
	char address[DOCUMENT_ADDRESS_SIZE];

	document_node_address(0, address);
	request.address = address;
	while (!atomic_load(&load->stop)) {
		http_client_exchange(load->http, &request, &answer);
		if (answer.outcome == HTTP_ANSWERED && answer.status == 200)
			atomic_fetch_add(&load->answers, 1);
		else
			atomic_fetch_add(&load->failures, 1);
		http_answer_release(&answer);
	}
	return NULL;
}

static void print_load(struct fleet *fleet, const struct document_size *size,
		       uint32_t connections)
{
	struct load load = { .http = http_client_new() };
	pthread_t threads[MOST_CONNECTIONS];
	struct window window = window_start(fleet);
	uint64_t answers, failures;
	uint32_t i;

	for (i = 0; i < connections; i++)
		pthread_create(&threads[i], NULL, look_up, &load);
	meter_sleep_s(LOOKUPS_S);
	atomic_store(&load.stop, true);
	for (i = 0; i < connections; i++)
		pthread_join(threads[i], NULL);
	window_end(fleet, &window);
	answers = atomic_load(&load.answers);
	failures = atomic_load(&load.failures);
	http_client_free(load.http);
	printf("| %u | %u | %u | %" PRIu64 " | %.0f | %.1f | %.0f |\n",
	       size->blocks, connections, size->nodes, failures,
	       (double)answers / window.seconds,
	       (double)window.process_ns / 1000 / (double)MAX(answers, 1),
	       (double)window.traffic.bytes / (double)MAX(answers, 1));
}

bool part_http(int sizes)
{
	uint32_t connections;
	int i;

	puts("| blocks | connections | nodes listed | failed | look-ups a "
	     "second | node CPU us each | bytes each |\n"
	     "| --- | --- | --- | --- | --- | --- | --- |");
	for (i = 0; i < sizes; i++) {
		struct fleet_options options = {
			.size = part_sizes[i],
			.processes = 1,
			.http_threads = 64,
			.poll_interval_ms = RARE_POLL_MS,
		};
		struct fleet *fleet;

		/* No calls to nodes and backend servers that don't run. */
		options.size.nodes = 1;
		options.size.backends = 0;
		fleet = fleet_open(&options);
		if (!fleet)
			return false;
		for (connections = 1; connections <= MOST_CONNECTIONS;
		     connections *= 2)
			print_load(fleet, &options.size, connections);
		fleet_close(fleet);
	}
	return true;
}

/* One look-up on a connection that then stays open; its socket, or -1. */
static int look_up_and_stay(const char *address)
{
	static const char text[] = "GET " LOOKUP_PATH " HTTP/1.1\r\n"
				   "Host: node\r\n\r\n";
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(DOCUMENT_HTTP_PORT) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char answer[4096];

	if (fd < 0)
		return -1;
	if (inet_pton(AF_INET, address, &to.sin_addr) == 1 &&
	    !connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL) > 0 &&
	    recv(fd, answer, sizeof(answer), 0) > 0)
		return fd;
	close(fd);
	return -1;
}

static void print_threads(struct fleet *fleet, uint32_t threads)
{
	/* The node asks callers to close past three quarters. */
	uint32_t most = threads * 7 / 10;
	int *fds = g_new0(int, most);
	char address[DOCUMENT_ADDRESS_SIZE];
	uint64_t idle_kb = meter_status_kb(fleet_pid(fleet, 0), "VmRSS");
	uint32_t open_count = 0;
	uint32_t i;

	document_node_address(0, address);
	for (i = 0; i < most; i++) {
		int fd = look_up_and_stay(address);

		if (fd >= 0)
			fds[open_count++] = fd;
	}
	printf("| %u | %" PRIu64 " | %u | %" PRIu64 " | %" PRIu64 " |\n",
	       threads, idle_kb, open_count,
	       meter_status_kb(fleet_pid(fleet, 0), "VmRSS"),
	       meter_status_kb(fleet_pid(fleet, 0), "Threads"));
	for (i = 0; i < open_count; i++)
		close(fds[i]);
	g_free(fds);
}

bool part_threads(int sizes)
{
	static const uint32_t counts[PART_SIZES] = { 16, 64, 256, 512 };
	int i;

	puts("| http_threads | RSS KB idle | connections open | RSS KB then | "
	     "threads |\n"
	     "| --- | --- | --- | --- | --- |");
	for (i = 0; i < sizes; i++) {
		struct fleet_options options = {
			.size = part_sizes[0],
			.processes = 1,
			.http_threads = counts[i],
			.poll_interval_ms = RARE_POLL_MS,
		};
		struct fleet *fleet;

		options.size.nodes = 1;
		options.size.backends = 0;
		fleet = fleet_open(&options);
		if (!fleet)
			return false;
		meter_sleep_s(SETTLE_S);
		print_threads(fleet, counts[i]);
		fleet_close(fleet);
	}
	return true;
}

static bool print_nodes(uint32_t nodes, uint32_t poll_ms)
{
	struct fleet_options options = {
		.size = part_sizes[0],
		.processes = nodes,
		.http_threads = IDLE_THREADS,
		.poll_interval_ms = poll_ms,
	};
	struct fleet *fleet;
	struct window window;
	double node_seconds;

	options.size.nodes = nodes;
	options.size.places = nodes / NODES_A_PLACE;
	options.size.regions = 1;
	options.size.backends = 0;
	options.size.blocks = 0;
	options.size.shifts = 0;
	fleet = fleet_open(&options);
	if (!fleet)
		return false;
	meter_sleep_s(SETTLE_S);
	window = watch(fleet, WINDOW_S);
	node_seconds = window.seconds * nodes;
	printf("| %u | %u | %.2f | %.0f | %.1f | %.2f | %" PRIu64 " |\n", nodes,
	       poll_ms, (double)window.process_ns / 1e7 / node_seconds,
	       (double)window.traffic.bytes / node_seconds,
	       (double)window.traffic.packets / node_seconds,
	       (double)window.calls.reads / node_seconds,
	       meter_status_kb(fleet_pid(fleet, 0), "VmRSS"));
	fleet_close(fleet);
	return true;
}

bool part_nodes(int sizes)
{
	static const uint32_t counts[PART_SIZES] = { 3, 6, 12, 24 };
	int i;

	puts("Three nodes a place, three services, no backend servers; each "
	     "byte on loopback is counted once, with its headers.\n\n"
	     "| nodes | poll ms | % of a core a node | bytes a second a node | "
	     "packets a second a node | platform reads a second a node | "
	     "RSS KB |\n"
	     "| --- | --- | --- | --- | --- | --- | --- |");
	for (i = 0; i < sizes; i++)
		if (!print_nodes(counts[i], DEFAULT_POLL_MS) ||
		    !print_nodes(counts[i], RARE_POLL_MS))
			return false;
	return true;
}

static bool print_probes(uint32_t backends)
{
	struct fleet_options options = {
		.size = part_sizes[0],
		.processes = 1,
		.http_threads = IDLE_THREADS,
		.poll_interval_ms = RARE_POLL_MS,
		.with_backends = true,
	};
	struct fleet *fleet;
	struct window window;

	options.size.nodes = 1;
	options.size.places = 1;
	options.size.regions = 1;
	options.size.backends = backends / options.size.services;
	options.size.blocks = 0;
	options.size.shifts = 0;
	fleet = fleet_open(&options);
	if (!fleet)
		return false;
	meter_sleep_s(SETTLE_S);
	window = watch(fleet, WINDOW_S);
	printf("| %u | %.2f | %.0f | %.1f |\n", backends,
	       (double)window.process_ns / 1e7 / window.seconds,
	       (double)window.traffic.bytes / window.seconds,
	       (double)window.traffic.packets / window.seconds);
	fleet_close(fleet);
	return true;
}

bool part_probes(int sizes)
{
	static const uint32_t counts[PART_SIZES] = { 3, 6, 24, 48 };
	int i;

	puts("One node, alone at its place.\n\n"
	     "| backend servers | % of a core | bytes a second | packets a "
	     "second |\n"
	     "| --- | --- | --- | --- |");
	for (i = 0; i < sizes; i++)
		if (!print_probes(counts[i]))
			return false;
	return true;
}

/* Six nodes in two places; the shifts go to either in turn. */
static struct fleet *open_with_shifts(uint32_t nodes, uint32_t shifts)
{
	struct fleet_options options = {
		.size = part_sizes[0],
		.processes = nodes,
		.http_threads = IDLE_THREADS,
		.poll_interval_ms = DEFAULT_POLL_MS,
	};

	options.size.nodes = nodes;
	options.size.places = nodes / NODES_A_PLACE;
	options.size.regions = 1;
	options.size.backends = 0;
	options.size.blocks = 0;
	options.size.shifts = shifts;
	return fleet_open(&options);
}

static bool print_seats(uint32_t shifts)
{
	struct fleet *fleet = open_with_shifts(2 * NODES_A_PLACE, shifts);
	struct window window;

	if (!fleet)
		return false;
	/* Seats of nodes that had not started yet go back to them. */
	meter_sleep_s(SEATS_SETTLE_S);
	window = watch(fleet, WINDOW_S);
	printf("| %u | %u | %.1f | %.1f | %.2f |\n", shifts,
	       shifts * NODES_A_PLACE,
	       (double)window.calls.reads / window.seconds,
	       (double)window.calls.writes / window.seconds,
	       (double)window.process_ns / 1e7 / window.seconds /
		       (2 * NODES_A_PLACE));
	fleet_close(fleet);
	return true;
}

bool part_seats(int sizes)
{
	static const uint32_t counts[PART_SIZES] = { 0, 4, 16, 64 };
	int i;

	puts("Six nodes in two places.\n\n"
	     "| shifts | seats | platform reads a second | writes a second | "
	     "% of a core a node |\n"
	     "| --- | --- | --- | --- | --- |");
	for (i = 0; i < sizes; i++)
		if (!print_seats(counts[i]))
			return false;
	return true;
}

static bool print_rejoin(uint32_t nodes)
{
	struct fleet *fleet = open_with_shifts(nodes, 2);
	struct window idle, after;

	if (!fleet)
		return false;
	meter_sleep_s(SEATS_SETTLE_S);
	idle = watch(fleet, WINDOW_S);
	fleet_cut_platform(fleet, true);
	meter_sleep_s(CUT_S);
	fleet_cut_platform(fleet, false);
	after = watch(fleet, AFTER_S);
	printf("| %u | %.1f | %.1f | %.1f | %.1f |\n", nodes,
	       (double)idle.calls.reads / idle.seconds,
	       (double)idle.calls.writes / idle.seconds,
	       (double)after.calls.reads / after.seconds,
	       (double)after.calls.writes / after.seconds);
	fleet_close(fleet);
	return true;
}

bool part_rejoin(int sizes)
{
	static const uint32_t counts[PART_SIZES] = { 6, 12, 24, 48 };
	int i;

	printf("Three nodes a place, two shifts; the platform is away for %.0f "
	       "s. Before, and in the first %.0f s after it.\n\n"
	       "| nodes | reads a second | writes a second | reads a second "
	       "after | writes a second after |\n"
	       "| --- | --- | --- | --- | --- |\n",
	       CUT_S, AFTER_S);
	for (i = 0; i < sizes; i++)
		if (!print_rejoin(counts[i]))
			return false;
	return true;
}

/* Seconds until the rewritten row is in force on all nodes; < 0 if never. */
static double change(struct fleet *fleet)
{
	double start_s = meter_now_s();

	if (!fleet_rewrite(fleet, 1))
		return -1;
	while (!fleet_has_version(fleet, 2)) {
		if (meter_now_s() - start_s > CHANGE_TIMEOUT_S)
			return -1;
		meter_sleep_s(POLL_S);
	}
	return meter_now_s() - start_s;
}

static bool print_blocks(uint32_t blocks)
{
	struct fleet_options options = {
		.size = part_sizes[0],
		.processes = 6,
		.http_threads = IDLE_THREADS,
		.poll_interval_ms = DEFAULT_POLL_MS,
	};
	struct fleet *fleet;
	struct window idle, changed;
	uint64_t rss_kb, peak_kb;
	double seconds;

	options.size.nodes = options.processes;
	options.size.places = options.processes / NODES_A_PLACE;
	options.size.regions = 1;
	options.size.backends = 0;
	options.size.blocks = blocks;
	options.size.shifts = 0;
	fleet = fleet_open(&options);
	if (!fleet)
		return false;
	meter_sleep_s(SETTLE_S);
	rss_kb = meter_status_kb(fleet_pid(fleet, 0), "VmRSS");
	peak_kb = meter_status_kb(fleet_pid(fleet, 0), "VmHWM");
	idle = watch(fleet, WINDOW_S);
	changed = window_start(fleet);
	seconds = change(fleet);
	meter_sleep_s(SETTLE_S);
	window_end(fleet, &changed);
	printf("| %u | %" PRIu64 " | %" PRIu64 " | %.2f | %.0f | %.2f | "
	       "%.0f | %.1f | %" PRIu64 " |\n",
	       blocks, rss_kb, peak_kb,
	       (double)idle.process_ns / 1e7 / idle.seconds / options.processes,
	       (double)idle.traffic.bytes / idle.seconds / options.processes,
	       (double)changed.process_ns / 1e6 / options.processes,
	       (double)changed.traffic.bytes / 1024 / options.processes,
	       seconds, meter_status_kb(fleet_pid(fleet, 0), "VmHWM"));
	fleet_close(fleet);
	return seconds >= 0;
}

static bool print_spread(uint32_t nodes, uint32_t blocks)
{
	struct fleet_options options = {
		.size = part_sizes[0],
		.processes = nodes,
		.http_threads = IDLE_THREADS,
		.poll_interval_ms = RARE_POLL_MS,
	};
	struct fleet *fleet;
	double start_s;
	bool good;

	options.size.nodes = nodes;
	options.size.places = 1;
	options.size.regions = 1;
	options.size.backends = 2;
	options.size.blocks = blocks;
	options.size.shifts = 0;
	fleet = fleet_open(&options);
	if (!fleet)
		return false;
	meter_sleep_s(SETTLE_S);
	start_s = meter_now_s();
	good = fleet_command(fleet, "drain backend backend-00000");
	while (good && !fleet_has_version(fleet, 2) &&
	       meter_now_s() - start_s < SPREAD_TIMEOUT_S)
		meter_sleep_s(POLL_S);
	printf("| %u | %u | %.1f | %u |\n", nodes, blocks,
	       meter_now_s() - start_s, fleet_count_version(fleet, 2));
	fleet_close(fleet);
	return good;
}

bool part_spread(int sizes)
{
	static const uint32_t counts[] = { 3, 6, 12, 24 };
	size_t i;

	printf("Nodes of one place that hear of a change from peers only, as "
	       "when the platform is away; watched for %.0f s.\n\n"
	       "| nodes | blocks | s | nodes that have it then |\n"
	       "| --- | --- | --- | --- |\n",
	       SPREAD_TIMEOUT_S);
	for (i = 0; i < G_N_ELEMENTS(counts); i++)
		if (!print_spread(counts[i], part_sizes[sizes - 1].blocks))
			return false;
	for (i = 0; sizes > 1 && i < G_N_ELEMENTS(counts); i++)
		if (!print_spread(counts[i], part_sizes[sizes - 2].blocks))
			return false;
	return true;
}

bool part_blocks(int sizes)
{
	int i;

	puts("Six nodes in two places; a change rewrites the row, and is "
	     "watched until three seconds after it is in force.\n\n"
	     "| blocks | RSS KB | peak KB | idle: % of a core a node | bytes a "
	     "second a node | change: CPU ms a node | KB a node | in force "
	     "after s | peak KB then |\n"
	     "| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
	for (i = 0; i < sizes; i++)
		if (!print_blocks(part_sizes[i].blocks))
			return false;
	return true;
}
