#include "standins/fake_fleet.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTROL_THREADS 4

struct fake_fleet {
	struct standin_server *control;
	struct event_log *log;
	struct run_book *book;
	pthread_mutex_t lock; /* held while backend servers are changed */
	GPtrArray *backends; /* of struct fake_backend */
};

static int answer_error(struct mg_connection *conn, int status,
			const char *message)
{
	return standin_answer_json(conn, status, NULL,
				   json_pack("{s:s}", "error", message));
}

/* How many backend servers took the faults, or -1 and an error. */
static int control_matching(struct fake_fleet *fleet, const char *pattern,
			    const json_t *faults, GError **error)
{
	int count = 0;
	guint i;

	for (i = 0; i < fleet->backends->len; i++) {
		struct fake_backend *backend = fleet->backends->pdata[i];
		const char *name = fake_backend_spec_of(backend)->name;

		if (!g_pattern_match_simple(pattern, name))
			continue;
		if (!fake_backend_control(backend, faults, error))
			return -1;
		count++;
	}
	return count;
}

static int set_control(struct fake_fleet *fleet, struct mg_connection *conn)
{
	GError *error = NULL;
	const char *pattern;
	size_t bytes;
	char *text = standin_read_body(conn, &bytes);
	json_t *faults = text ? json_loads(text, 0, NULL) : NULL;
	int count = 0;

	g_free(text);
	pattern = json_string_value(json_object_get(faults, "backend"));
	if (pattern) {
		pthread_mutex_lock(&fleet->lock);
		count = control_matching(fleet, pattern, faults, &error);
		pthread_mutex_unlock(&fleet->lock);
	}
	json_decref(faults);
	if (error) {
		answer_error(conn, 500, error->message);
		g_error_free(error);
		return 500;
	}
	if (!count)
		return answer_error(conn, 404, "no backend server matches");
	return standin_answer_json(conn, 200, NULL,
				   json_pack("{s:i}", "matched", count));
}

static json_t *describe_services(struct fake_fleet *fleet)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *services = json_array();
	guint i;

	for (i = 0; i < fleet->backends->len; i++) {
		const char *service =
			fake_backend_spec_of(fleet->backends->pdata[i])->service;
		json_t *item;

		if (!g_hash_table_add(seen, (char *)service))
			continue;
		item = json_pack("{s:s, s:I, s:I}", "service", service, "ids",
				 (json_int_t)run_book_ids(fleet->book, service),
				 "doubled",
				 (json_int_t)run_book_doubled(fleet->book,
							      service));
		json_array_append_new(services, item);
	}
	g_hash_table_unref(seen);
	return services;
}

static int get_control(struct fake_fleet *fleet, struct mg_connection *conn)
{
	json_t *backends = json_array();
	json_t *services;
	guint i;

	pthread_mutex_lock(&fleet->lock);
	for (i = 0; i < fleet->backends->len; i++)
		json_array_append_new(
			backends,
			fake_backend_describe(fleet->backends->pdata[i]));
	services = describe_services(fleet);
	pthread_mutex_unlock(&fleet->lock);
	return standin_answer_json(conn, 200, NULL,
				   json_pack("{s:o, s:o}", "backends", backends,
					     "services", services));
}

static int handle_control(struct mg_connection *conn, void *data)
{
	struct fake_fleet *fleet = data;
	const struct mg_request_info *info = mg_get_request_info(conn);

	if (strcmp(info->local_uri, "/control") != 0)
		return answer_error(conn, 404, "only /control is here");
	if (!strcmp(info->request_method, "GET"))
		return get_control(fleet, conn);
	return set_control(fleet, conn);
}

bool fake_fleet_parse_line(const char *line, struct fake_backend_spec *spec)
{
	char endpoint[STANDIN_ADDRESS_SIZE + 8];
	char rest;
	int count;

	count = sscanf(line, "%63s %63s %71s %u %" G_GUINT64_FORMAT " %u %c",
		       spec->name, spec->service, endpoint, &spec->slots,
		       &spec->service_us, &spec->strength_permille, &rest);
	if (count != 6 || !spec->slots || !spec->strength_permille)
		return false;
	return standin_parse_endpoint(endpoint, &spec->endpoint);
}

struct fake_fleet *fake_fleet_open(const struct standin_endpoint *control,
				   struct event_log *log, GError **error)
{
	struct fake_fleet *fleet = g_new0(struct fake_fleet, 1);

	pthread_mutex_init(&fleet->lock, NULL);
	fleet->log = log;
	fleet->book = run_book_new();
	fleet->backends = g_ptr_array_new_with_free_func(
		(GDestroyNotify)fake_backend_close);
	fleet->control = standin_server_open(control, CONTROL_THREADS,
					     handle_control, fleet, error);
	if (fleet->control)
		return fleet;
	fake_fleet_close(fleet);
	return NULL;
}

void fake_fleet_close(struct fake_fleet *fleet)
{
	if (!fleet)
		return;
	standin_server_close(fleet->control);
	g_ptr_array_unref(fleet->backends);
	run_book_free(fleet->book);
	pthread_mutex_destroy(&fleet->lock);
	g_free(fleet);
}

bool fake_fleet_add(struct fake_fleet *fleet,
		    const struct fake_backend_spec *spec, GError **error)
{
	struct fake_backend *backend =
		fake_backend_open(spec, fleet->book, fleet->log, error);

	if (!backend)
		return false;
	pthread_mutex_lock(&fleet->lock);
	g_ptr_array_add(fleet->backends, backend);
	pthread_mutex_unlock(&fleet->lock);
	return true;
}
