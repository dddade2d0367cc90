#include "capacity/fleet.h"

#include <glib/gstdio.h>
#include <inttypes.h>
#include <jansson.h>
#include <net/if.h>
#include <sched.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "capacity/meter.h"
#include "core/wire.h"
#include "node/command.h"
#include "standins/event_log.h"
#include "standins/fake_fleet.h"
#include "standins/fake_platform.h"

#define PLATFORM_ADDRESS "127.60.0.1"
#define PLATFORM_PORT 7000
#define CONTROL_PORT 7001
#define BACKEND_THREADS 4
#define BACKEND_SERVICE_US 5000
#define BACKEND_SLOTS 7
#define BACKEND_STRENGTH_PERMILLE 1000
#define CALL_TIMEOUT_US 10000000
#define ANSWER_MAX_BYTES (1024 * 1024)
#define READY_TIMEOUT_S 60
#define POLL_S 0.05

struct fleet {
	struct fleet_options options;
	struct fake_platform *platform;
	struct event_log *log;
	struct fake_fleet *backends; /* NULL: none run */
	struct http_client *http;
	char *folder;
	char *document;
	pid_t *pids;
};

bool fleet_enter_network(void)
{
	struct ifreq interface = { .ifr_name = "lo" };
	int fd;
	bool good;

	if (unshare(CLONE_NEWNET))
		return false;
	fd = socket(AF_INET, SOCK_DGRAM, 0);
	interface.ifr_flags = IFF_UP | IFF_RUNNING;
	good = fd >= 0 && !ioctl(fd, SIOCSIFFLAGS, &interface);
	if (fd >= 0)
		close(fd);
	return good;
}

/* One call to the platform's stand-in; its status, 0 if none came. */
static int call_platform(struct fleet *fleet, struct http_request *request,
			 char **body)
{
	struct http_answer answer;
	int status = 0;

	request->address = PLATFORM_ADDRESS;
	request->port = PLATFORM_PORT;
	request->timeout_us = CALL_TIMEOUT_US;
	request->answer_max_bytes = ANSWER_MAX_BYTES;
	http_client_exchange(fleet->http, request, &answer);
	if (answer.outcome == HTTP_ANSWERED)
		status = answer.status;
	if (body)
		*body = g_strdup(answer.body);
	http_answer_release(&answer);
	return status;
}

bool fleet_rewrite(struct fleet *fleet, uint64_t version)
{
	struct http_request request = {
		.method = "PUT",
		.path = "/v1/tables/" CONFIG_TABLE "/" CONFIG_KEY,
		.body = fleet->document,
		.body_bytes = strlen(fleet->document),
	};
	char match[24];

	g_snprintf(match, sizeof(match), "%" PRIu64, version);
	http_request_add_header(&request, "If-Match", match);
	return call_platform(fleet, &request, NULL) == 200;
}

static bool list_vms(struct fleet *fleet)
{
	struct http_request request = { .method = "POST", .path = "/control" };
	GString *text = g_string_new("{\"vms\":[");
	char address[DOCUMENT_ADDRESS_SIZE];
	uint32_t i;
	bool good;

	for (i = 0; i < fleet->options.size.nodes; i++) {
		document_node_address(i, address);
		g_string_append_printf(text,
				       "%s{\"address\":\"%s\","
				       "\"state\":\"live\"}",
				       i ? "," : "", address);
	}
	g_string_append(text, "]}");
	request.body = text->str;
	request.body_bytes = text->len;
	good = call_platform(fleet, &request, NULL) == 200;
	g_string_free(text, TRUE);
	return good;
}

struct platform_calls fleet_platform_calls(struct fleet *fleet)
{
	struct http_request request = { .method = "GET", .path = "/control" };
	struct platform_calls calls;
	char *body = NULL;
	json_t *root;

	call_platform(fleet, &request, &body);
	root = json_loads(body ? body : "", 0, NULL);
	calls.reads =
		(uint64_t)json_integer_value(json_object_get(root, "reads"));
	calls.writes =
		(uint64_t)json_integer_value(json_object_get(root, "writes"));
	json_decref(root);
	g_free(body);
	return calls;
}

bool fleet_cut_platform(struct fleet *fleet, bool cut)
{
	struct http_request request = { .method = "POST", .path = "/control" };

	request.body = cut ? "{\"down\":true}" : "{\"down\":false}";
	request.body_bytes = strlen(request.body);
	return call_platform(fleet, &request, NULL) == 200;
}

static char *file_of(const struct fleet *fleet, uint32_t index,
		     const char *suffix)
{
	return g_strdup_printf("%s/%u.%s", fleet->folder, index, suffix);
}

static char *write_settings(const struct fleet *fleet, uint32_t index)
{
	char *path = file_of(fleet, index, "toml");
	char *log = file_of(fleet, index, "log");
	char address[DOCUMENT_ADDRESS_SIZE];
	char place[NAME_SIZE];
	char name[NAME_SIZE];
	char *text;

	document_node_name(index, name);
	document_node_address(index, address);
	document_place_name(index % fleet->options.size.places, place);
	text = g_strdup_printf(
		"[node]\nname = \"%s\"\nplace = \"%s\"\naddress = \"%s\"\n"
		"http_port = %d\npeer_port = %d\n"
		"[platform]\naddress = \"%s\"\nport = %d\ntimeout_ms = 5000\n"
		"poll_interval_ms = %u\n"
		"[limits]\nhttp_threads = %u\n"
		"[steering]\nstop_linger_ms = 0\n"
		"[log]\npath = \"%s\"\n",
		name, place, address, DOCUMENT_HTTP_PORT, DOCUMENT_PEER_PORT,
		PLATFORM_ADDRESS, PLATFORM_PORT,
		fleet->options.poll_interval_ms, fleet->options.http_threads,
		log);
	if (!g_file_set_contents(path, text, -1, NULL))
		g_error("can't write %s", path);
	g_free(text);
	g_free(log);
	return path;
}

static bool start_node(struct fleet *fleet, uint32_t index)
{
	char *settings = write_settings(fleet, index);
	char *arguments[] = { (char *)LILACFIELDD, (char *)"--settings",
			      settings, NULL };
	bool good = !posix_spawn(&fleet->pids[index], LILACFIELDD, NULL, NULL,
				 arguments, environ);

	if (!good)
		fleet->pids[index] = 0;
	g_free(settings);
	return good;
}

static bool node_has_version(const struct fleet *fleet, uint32_t index,
			     uint64_t version)
{
	char *path = file_of(fleet, index, "log");
	char *wanted = g_strdup_printf(
		"event=config-in-force version=%" PRIu64 "\n", version);
	char *text = NULL;
	bool has = g_file_get_contents(path, &text, NULL, NULL) &&
		   strstr(text, wanted);

	g_free(text);
	g_free(wanted);
	g_free(path);
	return has;
}

uint32_t fleet_count_version(const struct fleet *fleet, uint64_t version)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < fleet->options.processes; i++)
		count += node_has_version(fleet, i, version);
	return count;
}

bool fleet_has_version(const struct fleet *fleet, uint64_t version)
{
	return fleet_count_version(fleet, version) == fleet->options.processes;
}

bool fleet_command(struct fleet *fleet, const char *sentence)
{
	char *body = g_strdup_printf("{\"sentence\":\"%s\",\"id\":\"c-1\"}",
				     sentence);
	char address[DOCUMENT_ADDRESS_SIZE];
	struct http_request request = {
		.method = "POST",
		.address = address,
		.port = DOCUMENT_HTTP_PORT,
		.path = WIRE_PATH_COMMAND,
		.body = body,
		.body_bytes = strlen(body),
		.timeout_us = CALL_TIMEOUT_US,
		.answer_max_bytes = ANSWER_MAX_BYTES,
	};
	struct http_answer answer;
	bool good;

	document_node_address(0, address);
	http_client_exchange(fleet->http, &request, &answer);
	good = answer.outcome == HTTP_ANSWERED && answer.status == 200;
	http_answer_release(&answer);
	g_free(body);
	return good;
}

static bool wait_until_ready(const struct fleet *fleet)
{
	double until_s = meter_now_s() + READY_TIMEOUT_S;

	while (!fleet_has_version(fleet, 1)) {
		if (meter_now_s() > until_s)
			return false;
		meter_sleep_s(POLL_S);
	}
	return true;
}

static bool start_platform(struct fleet *fleet)
{
	struct standin_endpoint endpoint = { PLATFORM_ADDRESS, PLATFORM_PORT };
	uint32_t threads = 4 * fleet->options.processes + 8;

	fleet->platform = fake_platform_open(&endpoint, threads, NULL);
	return fleet->platform && fleet_rewrite(fleet, 0) && list_vms(fleet);
}

static bool start_backend(struct fleet *fleet, uint32_t index)
{
	struct fake_backend_spec spec = {
		.slots = BACKEND_SLOTS,
		.threads = BACKEND_THREADS,
		.service_us = BACKEND_SERVICE_US,
		.strength_permille = BACKEND_STRENGTH_PERMILLE,
	};

	document_backend_name(index, spec.name);
	document_service_name(index % fleet->options.size.services,
			      spec.service);
	document_backend_address(index, spec.endpoint.address);
	spec.endpoint.port = DOCUMENT_BACKEND_PORT;
	return fake_fleet_add(fleet->backends, &spec, NULL);
}

static bool start_backends(struct fleet *fleet)
{
	struct standin_endpoint control = { PLATFORM_ADDRESS, CONTROL_PORT };
	const struct document_size *size = &fleet->options.size;
	uint32_t count = size->services * size->places * size->backends;
	bool good;
	uint32_t i;

	fleet->log = event_log_open(NULL, NULL);
	fleet->backends = fake_fleet_open(&control, fleet->log, NULL);
	good = fleet->backends != NULL;
	for (i = 0; good && i < count; i++)
		good = start_backend(fleet, i);
	return good;
}

struct fleet *fleet_open(const struct fleet_options *options)
{
	struct fleet *fleet = g_new0(struct fleet, 1);
	bool good;
	uint32_t i;

	fleet->options = *options;
	fleet->http = http_client_new();
	fleet->folder = g_dir_make_tmp("capacity-XXXXXX", NULL);
	fleet->document = document_make(&options->size);
	fleet->pids = g_new0(pid_t, options->processes);
	good = fleet->folder && start_platform(fleet);
	if (good && options->with_backends)
		good = start_backends(fleet);
	for (i = 0; good && i < options->processes; i++)
		good = start_node(fleet, i);
	if (good && wait_until_ready(fleet))
		return fleet;
	fleet_close(fleet);
	return NULL;
}

static void remove_file(const struct fleet *fleet, uint32_t index,
			const char *suffix)
{
	char *path = file_of(fleet, index, suffix);

	g_unlink(path);
	g_free(path);
}

void fleet_close(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->options.processes; i++)
		if (fleet->pids[i])
			kill(fleet->pids[i], SIGTERM);
	for (i = 0; i < fleet->options.processes; i++) {
		if (fleet->pids[i])
			waitpid(fleet->pids[i], NULL, 0);
		remove_file(fleet, i, "toml");
		remove_file(fleet, i, "log");
	}
	if (fleet->folder)
		g_rmdir(fleet->folder);
	fake_fleet_close(fleet->backends);
	if (fleet->log)
		event_log_close(fleet->log);
	fake_platform_close(fleet->platform);
	http_client_free(fleet->http);
	g_free(fleet->folder);
	g_free(fleet->document);
	g_free(fleet->pids);
	g_free(fleet);
}

pid_t fleet_pid(const struct fleet *fleet, uint32_t index)
{
	return fleet->pids[index];
}

uint64_t fleet_process_ns(const struct fleet *fleet)
{
	uint64_t sum_ns = 0;
	uint32_t i;

	for (i = 0; i < fleet->options.processes; i++)
		sum_ns += meter_process_ns(fleet->pids[i]);
	return sum_ns;
}
