#include "emulator/stay.h"

#include <inttypes.h>

#include <jansson.h>

#include "edge/link.h"

/* Callers of each service at each node, and their pause between requests. */
#define CALLERS 2
#define PAUSE_MS 50

#define DEADLINE_MS 3000
#define GIVE_UP_MS 3500

#define MOST_NODES 64

struct service {
	char *name;
	bool once;
};

struct stay {
	uv_loop_t *loop;
	struct store_stand *rows;
	char *prefix;
	const struct stay_events *events;
	void *context;
	GPtrArray *services; /* of struct service */
	GPtrArray *nodes; /* of struct stay_node */
	uint64_t requests;
	bool ending;
};

struct caller_link {
	struct link link; /* first member */
	struct caller *caller; /* NULL: left */
};

struct caller {
	struct stay *stay;
	const struct stay_node *node;
	const struct service *service;
	struct caller_link *conn;
	uv_timer_t timer;
	char *id; /* NULL: no request is under way */
	uint64_t sent_ms;
};

static void end_request(struct caller *caller, const struct message *answer)
{
	struct stay *stay = caller->stay;
	const struct stay_request request = { caller->id, caller->node,
					      caller->sent_ms };

	if (stay->events->ended)
		stay->events->ended(stay->context, &request, answer);
	g_clear_pointer(&caller->id, g_free);
}

static void on_timer(uv_timer_t *timer);

static void pause_caller(struct caller *caller)
{
	uv_timer_start(&caller->timer, on_timer, PAUSE_MS, 0);
}

static void leave_conn(struct caller *caller)
{
	struct caller_link *conn = caller->conn;

	if (!conn)
		return;
	caller->conn = NULL;
	conn->caller = NULL;
	link_close(&conn->link);
}

static void send_request(struct caller *caller)
{
	GString *request = g_string_new(NULL);

	g_string_append_printf(request,
			       "%s /%s/x HTTP/1.1\r\nHost: demo.example\r\n"
			       "Lilacfield-Attempt-Id: %s\r\n"
			       "Lilacfield-Affinity-Key: %d\r\n"
			       "Lilacfield-Deadline-Ms: %d\r\n\r\n",
			       caller->service->once ? "POST" : "GET",
			       caller->service->name, caller->id,
			       g_random_int_range(0, 20), DEADLINE_MS);
	link_send(&caller->conn->link, request, false);
}

static void on_opened(struct link *link)
{
	struct caller *caller = ((struct caller_link *)link)->caller;

	if (caller)
		send_request(caller);
}

static void on_answered(struct link *link, struct message *answer)
{
	struct caller *caller = ((struct caller_link *)link)->caller;

	if (caller) {
		end_request(caller, answer);
		if (!answer->keep_alive)
			leave_conn(caller);
		pause_caller(caller);
	}
	message_free(answer);
}

static void fail_request(struct caller *caller)
{
	leave_conn(caller);
	if (caller->id)
		end_request(caller, NULL);
	pause_caller(caller);
}

static void on_ended(struct link *link, const char *cause)
{
	struct caller *caller = ((struct caller_link *)link)->caller;

	(void)cause;
	if (caller && caller->id)
		fail_request(caller);
	else if (caller)
		leave_conn(caller);
	else
		link_close(link);
}

static void on_released(struct link *link)
{
	g_free(link);
}

static const struct link_vtable link_events = {
	.opened = on_opened,
	.answered = on_answered,
	.ended = on_ended,
	.released = on_released,
};

static void begin_request(struct caller *caller)
{
	struct stay *stay = caller->stay;
	struct stay_request request = { .node = caller->node };

	caller->id =
		g_strdup_printf("%s%" PRIu64, stay->prefix, ++stay->requests);
	caller->sent_ms = uv_now(stay->loop);
	request.id = caller->id;
	request.sent_ms = caller->sent_ms;
	if (stay->events->sent)
		stay->events->sent(stay->context, &request);
}

static void next_request(struct caller *caller)
{
	static const struct message_limits limits = { 65536, 1048576 };
	struct stay *stay = caller->stay;

	if (stay->ending)
		return;
	begin_request(caller);
	uv_timer_start(&caller->timer, on_timer, GIVE_UP_MS, 0);
	if (caller->conn) {
		send_request(caller);
		return;
	}
	caller->conn = g_new0(struct caller_link, 1);
	caller->conn->caller = caller;
	if (link_open(&caller->conn->link, &link_events, stay->loop,
		      &caller->node->front, &limits))
		fail_request(caller);
}

static void on_timer(uv_timer_t *timer)
{
	struct caller *caller = timer->data;

	if (caller->id)
		fail_request(caller);
	else
		next_request(caller);
}

static void start_caller(struct stay *stay, const struct stay_node *node,
			 const struct service *service)
{
	struct caller *caller = g_new0(struct caller, 1);

	caller->stay = stay;
	caller->node = node;
	caller->service = service;
	uv_timer_init(stay->loop, &caller->timer);
	caller->timer.data = caller;
	pause_caller(caller);
}

/* --- the start ---------------------------------------------------------- */

struct stay *stay_new(uv_loop_t *loop, struct store_stand *rows,
		      const char *prefix, const struct stay_events *events,
		      void *context)
{
	struct stay *stay = g_new0(struct stay, 1);

	stay->loop = loop;
	stay->rows = rows;
	stay->prefix = g_strdup(prefix);
	stay->events = events;
	stay->context = context;
	stay->services = g_ptr_array_new();
	stay->nodes = g_ptr_array_new();
	return stay;
}

void stay_add_service(struct stay *stay, const char *name, bool once)
{
	struct service *service = g_new0(struct service, 1);

	service->name = g_strdup(name);
	service->once = once;
	g_ptr_array_add(stay->services, service);
}

static void find_node(struct stay *stay, const char *name)
{
	const char *value = store_stand_get(stay->rows, "members", name);
	json_t *row = value ? json_loads(value, 0, NULL) : NULL;
	const char *front = json_string_value(json_object_get(row, "front"));
	struct stay_node *node = g_new0(struct stay_node, 1);

	if (front && endpoint_parse(front, &node->front)) {
		node->name = g_strdup(name);
		g_ptr_array_add(stay->nodes, node);
	} else {
		g_free(node);
	}
	json_decref(row);
}

void stay_begin(struct stay *stay)
{
	guint i;
	guint j;
	guint k;

	for (i = 1; i <= MOST_NODES; i++) {
		char *name = g_strdup_printf("n%u", i);

		find_node(stay, name);
		g_free(name);
	}
	for (i = 0; i < stay->nodes->len; i++)
		for (j = 0; j < stay->services->len; j++)
			for (k = 0; k < CALLERS; k++)
				start_caller(stay, stay->nodes->pdata[i],
					     stay->services->pdata[j]);
}

void stay_end(struct stay *stay)
{
	stay->ending = true;
}

const GPtrArray *stay_nodes(const struct stay *stay)
{
	return stay->nodes;
}
