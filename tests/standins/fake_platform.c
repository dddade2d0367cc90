#include "standins/fake_platform.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "standins/event_log.h"

#define PREFIX_TABLES "/v1/tables/"
#define PREFIX_OBJECTS "/v1/objects/"
#define PATH_TRANSACTIONS "/v1/transactions"
#define PATH_VMS "/v1/vms"
#define PATH_CONTROL "/control"
#define TYPE_BYTES "application/octet-stream"

struct row {
	uint64_t version; /* 1 at the first write */
	char *value;
};

/* The list of VMs as it stood from a moment on. */
struct vm_list_version {
	uint64_t since_us;
	json_t *vms;
};

struct faults {
	bool down;
	bool refuse;
	uint64_t slow_us;
	uint64_t lose_answers;
	uint64_t vms_lag_us;
};

struct counters {
	uint64_t reads;
	uint64_t writes;
	uint64_t conflicts;
	uint64_t lost;
};

struct fake_platform {
	struct standin_server *server;
	pthread_mutex_t lock; /* guards all below */
	GHashTable *rows; /* "table/key" to struct row */
	GHashTable *objects; /* name to GBytes */
	GArray *vm_lists; /* of struct vm_list_version, oldest first */
	struct faults faults;
	struct counters counters;
};

/* A row to be written by a transaction. */
struct row_write {
	char *path; /* "table/key" */
	char *value;
	uint64_t expected_version;
};

/* What became of a write, to be answered with the lock released. */
struct write_result {
	int status;
	json_t *body;
	bool lost; /* the answer is to be lost */
};

static void row_free(void *data)
{
	struct row *row = data;

	g_free(row->value);
	g_free(row);
}

static void row_write_clear(void *data)
{
	struct row_write *write = data;

	g_free(write->path);
	g_free(write->value);
}

static void vm_list_clear(void *data)
{
	struct vm_list_version *list = data;

	json_decref(list->vms);
}

static bool is_method(const struct mg_connection *conn, const char *method)
{
	return !strcmp(mg_get_request_info(conn)->request_method, method);
}

static int answer_plain(struct mg_connection *conn, int status)
{
	return standin_answer_json(conn, status, NULL, json_object());
}

static uint64_t row_version(const struct fake_platform *platform,
			    const char *path)
{
	const struct row *row = g_hash_table_lookup(platform->rows, path);

	return row ? row->version : 0;
}

static uint64_t put_row(struct fake_platform *platform, const char *path,
			const char *value)
{
	struct row *row = g_hash_table_lookup(platform->rows, path);

	if (!row) {
		row = g_new0(struct row, 1);
		g_hash_table_insert(platform->rows, g_strdup(path), row);
	}
	g_free(row->value);
	row->value = g_strdup(value);
	return ++row->version;
}

/* Whether the answer of the write that took effect now is to be lost. */
static bool take_lost_answer(struct fake_platform *platform)
{
	if (!platform->faults.lose_answers)
		return false;
	platform->faults.lose_answers--;
	platform->counters.lost++;
	return true;
}

static int send_write_result(struct mg_connection *conn,
			     struct write_result *result)
{
	if (result->lost) {
		json_decref(result->body);
		return standin_drop(conn);
	}
	return standin_answer_json(conn, result->status, NULL, result->body);
}

static int get_row(struct fake_platform *platform, struct mg_connection *conn,
		   const char *path)
{
	const struct row *row;
	json_t *body = NULL;

	pthread_mutex_lock(&platform->lock);
	platform->counters.reads++;
	row = g_hash_table_lookup(platform->rows, path);
	if (row)
		body = json_pack("{s:I, s:s}", "version",
				 (json_int_t)row->version, "value", row->value);
	pthread_mutex_unlock(&platform->lock);
	if (!body)
		return answer_plain(conn, 404);
	return standin_answer_json(conn, 200, NULL, body);
}

static void compare_and_set(struct fake_platform *platform, const char *path,
			    const char *value, uint64_t expected_version,
			    struct write_result *result)
{
	uint64_t version = row_version(platform, path);

	platform->counters.writes++;
	result->lost = false;
	if (version != expected_version) {
		platform->counters.conflicts++;
		result->status = 412;
	} else {
		version = put_row(platform, path, value);
		result->status = 200;
		result->lost = take_lost_answer(platform);
	}
	result->body = json_pack("{s:I}", "version", (json_int_t)version);
}

static int write_row(struct fake_platform *platform, struct mg_connection *conn,
		     const char *path)
{
	const char *match = mg_get_header(conn, "If-Match");
	struct write_result result;
	char *value;
	size_t bytes;

	value = standin_read_body(conn, &bytes);
	if (!match || !value) {
		g_free(value);
		return answer_plain(conn, 400);
	}
	pthread_mutex_lock(&platform->lock);
	compare_and_set(platform, path, value, strtoull(match, NULL, 10),
			&result);
	pthread_mutex_unlock(&platform->lock);
	g_free(value);
	return send_write_result(conn, &result);
}

static json_t *row_as_json(const char *key, const struct row *row)
{
	return json_pack("{s:s, s:I, s:s}", "key", key, "version",
			 (json_int_t)row->version, "value", row->value);
}

static gint compare_paths(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

/* Rows of the table whose keys start with the prefix, by key. */
static int list_rows(struct fake_platform *platform, struct mg_connection *conn,
		     const char *table)
{
	const char *query = mg_get_request_info(conn)->query_string;
	char prefix[512] = "";
	json_t *rows = json_array();
	char *start;
	GList *paths;
	GList *item;

	if (query)
		mg_get_var(query, strlen(query), "prefix", prefix,
			   sizeof(prefix));
	start = g_strdup_printf("%s/%s", table, prefix);
	pthread_mutex_lock(&platform->lock);
	platform->counters.reads++;
	paths = g_hash_table_get_keys(platform->rows);
	paths = g_list_sort(paths, compare_paths);
	for (item = paths; item; item = item->next) {
		const char *path = item->data;

		if (!g_str_has_prefix(path, start))
			continue;
		json_array_append_new(
			rows,
			row_as_json(path + strlen(table) + 1,
				    g_hash_table_lookup(platform->rows, path)));
	}
	g_list_free(paths);
	pthread_mutex_unlock(&platform->lock);
	g_free(start);
	return standin_answer_json(conn, 200, NULL,
				   json_pack("{s:o}", "rows", rows));
}

static int handle_table(struct fake_platform *platform,
			struct mg_connection *conn, const char *path)
{
	if (!strchr(path, '/'))
		return list_rows(platform, conn, path);
	if (is_method(conn, "GET"))
		return get_row(platform, conn, path);
	if (is_method(conn, "PUT"))
		return write_row(platform, conn, path);
	return answer_plain(conn, 405);
}

/* The writes of a transaction's text, or NULL where it is malformed. */
static GArray *parse_writes(const char *text)
{
	json_t *root = json_loads(text, 0, NULL);
	GArray *writes = g_array_new(FALSE, TRUE, sizeof(struct row_write));
	json_t *item;
	size_t i;
	bool good = json_is_array(json_object_get(root, "writes"));

	g_array_set_clear_func(writes, row_write_clear);
	json_array_foreach (json_object_get(root, "writes"), i, item) {
		struct row_write write;
		const char *table;
		const char *key;
		const char *value;
		json_int_t version;

		if (json_unpack(item, "{s:s, s:s, s:I, s:s}", "table", &table,
				"key", &key, "version", &version, "value",
				&value)) {
			good = false;
			break;
		}
		write.path = g_strdup_printf("%s/%s", table, key);
		write.value = g_strdup(value);
		write.expected_version = (uint64_t)version;
		g_array_append_val(writes, write);
	}
	json_decref(root);
	if (good)
		return writes;
	g_array_unref(writes);
	return NULL;
}

static bool all_versions_match(const struct fake_platform *platform,
			       const GArray *writes)
{
	guint i;

	for (i = 0; i < writes->len; i++) {
		const struct row_write *write =
			&g_array_index(writes, struct row_write, i);

		if (row_version(platform, write->path) !=
		    write->expected_version)
			return false;
	}
	return true;
}

static void run_transaction(struct fake_platform *platform,
			    const GArray *writes, struct write_result *result)
{
	json_t *versions;
	guint i;

	platform->counters.writes++;
	result->lost = false;
	if (!all_versions_match(platform, writes)) {
		platform->counters.conflicts++;
		result->status = 412;
		result->body = json_object();
		return;
	}
	versions = json_array();
	for (i = 0; i < writes->len; i++) {
		const struct row_write *write =
			&g_array_index(writes, struct row_write, i);
		uint64_t version = put_row(platform, write->path, write->value);

		json_array_append_new(versions,
				      json_integer((json_int_t)version));
	}
	result->status = 200;
	result->body = json_pack("{s:o}", "versions", versions);
	result->lost = take_lost_answer(platform);
}

static int handle_transaction(struct fake_platform *platform,
			      struct mg_connection *conn)
{
	struct write_result result;
	GArray *writes;
	size_t bytes;
	char *text = standin_read_body(conn, &bytes);

	if (!text)
		return answer_plain(conn, 400);
	writes = parse_writes(text);
	g_free(text);
	if (!writes)
		return answer_plain(conn, 400);
	pthread_mutex_lock(&platform->lock);
	run_transaction(platform, writes, &result);
	pthread_mutex_unlock(&platform->lock);
	g_array_unref(writes);
	return send_write_result(conn, &result);
}

static int get_object(struct fake_platform *platform,
		      struct mg_connection *conn, const char *name)
{
	GBytes *object;
	gconstpointer data;
	gsize bytes;

	pthread_mutex_lock(&platform->lock);
	platform->counters.reads++;
	object = g_hash_table_lookup(platform->objects, name);
	if (object)
		g_bytes_ref(object);
	pthread_mutex_unlock(&platform->lock);
	if (!object)
		return answer_plain(conn, 404);
	data = g_bytes_get_data(object, &bytes);
	standin_answer(conn, 200, NULL, TYPE_BYTES, data, bytes);
	g_bytes_unref(object);
	return 200;
}

static int put_object(struct fake_platform *platform,
		      struct mg_connection *conn, const char *name)
{
	bool lost;
	size_t bytes;
	char *body = standin_read_body(conn, &bytes);

	if (!body)
		return answer_plain(conn, 400);
	pthread_mutex_lock(&platform->lock);
	platform->counters.writes++;
	g_hash_table_insert(platform->objects, g_strdup(name),
			    g_bytes_new_take(body, bytes));
	lost = take_lost_answer(platform);
	pthread_mutex_unlock(&platform->lock);
	return lost ? standin_drop(conn) : answer_plain(conn, 200);
}

static int handle_object(struct fake_platform *platform,
			 struct mg_connection *conn, const char *name)
{
	if (is_method(conn, "GET"))
		return get_object(platform, conn, name);
	if (is_method(conn, "PUT"))
		return put_object(platform, conn, name);
	return answer_plain(conn, 405);
}

/* The list as it stood at the moment; the oldest one before all of them. */
static json_t *vms_as_of(const struct fake_platform *platform, uint64_t at_us)
{
	const struct vm_list_version *list;
	guint i = platform->vm_lists->len;

	do {
		list = &g_array_index(platform->vm_lists,
				      struct vm_list_version, --i);
	} while (i > 0 && list->since_us > at_us);
	return json_deep_copy(list->vms);
}

static int handle_vms(struct fake_platform *platform,
		      struct mg_connection *conn)
{
	uint64_t now_us = event_now_us();
	uint64_t lag_us;
	json_t *vms;

	pthread_mutex_lock(&platform->lock);
	platform->counters.reads++;
	lag_us = MIN(platform->faults.vms_lag_us, now_us);
	vms = vms_as_of(platform, now_us - lag_us);
	pthread_mutex_unlock(&platform->lock);
	return standin_answer_json(conn, 200, NULL,
				   json_pack("{s:o}", "vms", vms));
}

static void set_vms(struct fake_platform *platform, json_t *vms)
{
	struct vm_list_version list = {
		.since_us = event_now_us(),
		.vms = json_deep_copy(vms),
	};

	g_array_append_val(platform->vm_lists, list);
}

static void set_number(const json_t *root, const char *member, uint64_t *number)
{
	const json_t *value = json_object_get(root, member);

	if (json_is_integer(value))
		*number = (uint64_t)json_integer_value(value);
}

static void set_flag(const json_t *root, const char *member, bool *flag)
{
	const json_t *value = json_object_get(root, member);

	if (json_is_boolean(value))
		*flag = json_is_true(value);
}

static int set_control(struct fake_platform *platform,
		       struct mg_connection *conn)
{
	size_t bytes;
	char *text = standin_read_body(conn, &bytes);
	json_t *root = text ? json_loads(text, 0, NULL) : NULL;

	g_free(text);
	if (!json_is_object(root)) {
		json_decref(root);
		return answer_plain(conn, 400);
	}
	pthread_mutex_lock(&platform->lock);
	set_flag(root, "down", &platform->faults.down);
	set_flag(root, "refuse", &platform->faults.refuse);
	set_number(root, "slow_us", &platform->faults.slow_us);
	set_number(root, "lose_answers", &platform->faults.lose_answers);
	set_number(root, "vms_lag_us", &platform->faults.vms_lag_us);
	if (json_is_array(json_object_get(root, "vms")))
		set_vms(platform, json_object_get(root, "vms"));
	pthread_mutex_unlock(&platform->lock);
	json_decref(root);
	return answer_plain(conn, 200);
}

static int get_control(struct fake_platform *platform,
		       struct mg_connection *conn)
{
	const struct faults *faults = &platform->faults;
	const struct counters *counters = &platform->counters;
	json_t *body;

	pthread_mutex_lock(&platform->lock);
	body = json_pack("{s:b, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
			 "down", faults->down, "refuse", faults->refuse,
			 "slow_us", (json_int_t)faults->slow_us, "lose_answers",
			 (json_int_t)faults->lose_answers, "vms_lag_us",
			 (json_int_t)faults->vms_lag_us, "reads",
			 (json_int_t)counters->reads, "writes",
			 (json_int_t)counters->writes, "conflicts",
			 (json_int_t)counters->conflicts, "lost",
			 (json_int_t)counters->lost);
	pthread_mutex_unlock(&platform->lock);
	return standin_answer_json(conn, 200, NULL, body);
}

static int handle_control(struct fake_platform *platform,
			  struct mg_connection *conn)
{
	if (is_method(conn, "GET"))
		return get_control(platform, conn);
	return set_control(platform, conn);
}

static int handle_service(struct fake_platform *platform,
			  struct mg_connection *conn, const char *uri)
{
	if (g_str_has_prefix(uri, PREFIX_TABLES))
		return handle_table(platform, conn,
				    uri + strlen(PREFIX_TABLES));
	if (g_str_has_prefix(uri, PREFIX_OBJECTS))
		return handle_object(platform, conn,
				     uri + strlen(PREFIX_OBJECTS));
	if (!strcmp(uri, PATH_TRANSACTIONS))
		return handle_transaction(platform, conn);
	if (!strcmp(uri, PATH_VMS))
		return handle_vms(platform, conn);
	return answer_plain(conn, 404);
}

static int handle_request(struct mg_connection *conn, void *data)
{
	struct fake_platform *platform = data;
	const char *uri = mg_get_request_info(conn)->local_uri;
	struct faults faults;

	if (!strcmp(uri, PATH_CONTROL))
		return handle_control(platform, conn);
	pthread_mutex_lock(&platform->lock);
	faults = platform->faults;
	pthread_mutex_unlock(&platform->lock);
	if (faults.slow_us)
		g_usleep(faults.slow_us);
	if (faults.down)
		return standin_drop(conn);
	if (faults.refuse)
		return answer_plain(conn, 503);
	return handle_service(platform, conn, uri);
}

static void release_state(struct fake_platform *platform)
{
	g_hash_table_unref(platform->rows);
	g_hash_table_unref(platform->objects);
	g_array_unref(platform->vm_lists);
	pthread_mutex_destroy(&platform->lock);
	g_free(platform);
}

struct fake_platform *
fake_platform_open(const struct standin_endpoint *endpoint, uint32_t threads,
		   GError **error)
{
	struct fake_platform *platform = g_new0(struct fake_platform, 1);
	json_t *no_vms = json_array();

	pthread_mutex_init(&platform->lock, NULL);
	platform->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       row_free);
	platform->objects = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	platform->vm_lists =
		g_array_new(FALSE, TRUE, sizeof(struct vm_list_version));
	g_array_set_clear_func(platform->vm_lists, vm_list_clear);
	set_vms(platform, no_vms);
	json_decref(no_vms);
	platform->server = standin_server_open(endpoint, threads,
					       handle_request, platform, error);
	if (platform->server)
		return platform;
	release_state(platform);
	return NULL;
}

void fake_platform_close(struct fake_platform *platform)
{
	if (!platform)
		return;
	standin_server_close(platform->server);
	release_state(platform);
}
