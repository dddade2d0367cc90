#include "emulator/partition.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include <jansson.h>

#include "edge/link.h"

/* Callers of each service at each node, and their pause between requests. */
#define CALLERS 2
#define PAUSE_MS 50

#define DEADLINE_MS 3000
#define GIVE_UP_MS 3500

/* The judged times: from so long after the cut begins, and after it ends. */
#define JUDGED_AFTER_MS 4000
#define JUDGED_BACK_FROM_MS 2000
#define JUDGED_BACK_TO_MS 4000

/*
 * Broken where partitioned nodes serve less than this part of what the others
 * do, and more requests fail there than these and one in so many of all.
 */
#define SERVED_PART (2.0 / 3.0)
#define FAILED_FEW 10
#define FAILED_ONE_IN 50

enum manner { MANNER_HANG, MANNER_RESET, MANNER_REFUSE };

static const char *const manner_names[] = { "hang", "reset", "refuse" };

enum span { SPAN_CUT, SPAN_BACK, SPANS };

static const char *const span_names[] = { "cut off", "back" };

struct service {
	char *name;
	bool once;
};

struct place {
	char *name;
	struct endpoint front;
	bool partitioned;
};

struct tally {
	uint32_t sent;
	uint32_t served;
};

struct partition {
	uv_loop_t *loop;
	struct store_stand *rows;
	struct endpoint store;
	struct endpoint hole; /* connections to it hang */
	struct endpoint closed; /* connections to it are refused */
	uv_tcp_t hole_tcp;
	uv_tcp_t hole_filler;
	uv_connect_t hole_connect;
	char *cuts;
	enum manner manner;
	char **names; /* of the partitioned nodes */
	uint64_t at_ms;
	uint64_t for_ms;
	GPtrArray *relays;
	GPtrArray *services; /* of struct service */
	GPtrArray *places; /* of struct place */
	uv_timer_t begins;
	uv_timer_t ends;
	uint64_t began_ms; /* 0: not yet */
	uint64_t ended_ms;
	bool ending;
	struct tally partitioned[SPANS];
	struct tally others[SPANS];
	uint64_t requests;
};

/* --- callers that stay -------------------------------------------------- */

struct caller_link {
	struct link link; /* first member */
	struct caller *caller; /* NULL: left */
};

struct caller {
	struct partition *partition;
	const struct place *place;
	const struct service *service;
	struct caller_link *conn;
	uv_timer_t timer;
	uint64_t sent_ms; /* 0: no request is under way */
};

static uint64_t now_ms(const struct partition *partition)
{
	return uv_now(partition->loop);
}

static int span_at(const struct partition *partition, uint64_t at_ms)
{
	uint64_t began_ms = partition->began_ms;
	uint64_t ended_ms = partition->ended_ms;

	if (ended_ms && at_ms >= ended_ms + JUDGED_BACK_FROM_MS &&
	    at_ms < ended_ms + JUDGED_BACK_TO_MS)
		return SPAN_BACK;
	if (began_ms && at_ms >= began_ms + JUDGED_AFTER_MS &&
	    at_ms < began_ms + partition->for_ms)
		return SPAN_CUT;
	return -1;
}

static void count_result(struct caller *caller, bool served)
{
	struct partition *partition = caller->partition;
	int span = span_at(partition, caller->sent_ms);
	struct tally *tally;

	caller->sent_ms = 0;
	if (span < 0)
		return;
	tally = caller->place->partitioned ? &partition->partitioned[span] :
					     &partition->others[span];
	tally->sent++;
	tally->served += served;
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
	struct partition *partition = caller->partition;
	GString *request = g_string_new(NULL);

	g_string_append_printf(request,
			       "%s /%s/x HTTP/1.1\r\nHost: demo.example\r\n"
			       "Lilacfield-Attempt-Id: stay%" PRIu64 "\r\n"
			       "Lilacfield-Affinity-Key: %d\r\n"
			       "Lilacfield-Deadline-Ms: %d\r\n\r\n",
			       caller->service->once ? "POST" : "GET",
			       caller->service->name, ++partition->requests,
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
	bool served = answer->status == 200;
	bool keeps = answer->keep_alive;

	message_free(answer);
	if (!caller)
		return;
	count_result(caller, served);
	if (!keeps)
		leave_conn(caller);
	pause_caller(caller);
}

static void fail_request(struct caller *caller)
{
	leave_conn(caller);
	if (caller->sent_ms)
		count_result(caller, false);
	pause_caller(caller);
}

static void on_ended(struct link *link, const char *cause)
{
	struct caller *caller = ((struct caller_link *)link)->caller;

	(void)cause;
	if (caller && caller->sent_ms)
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

static void next_request(struct caller *caller)
{
	static const struct message_limits limits = { 65536, 1048576 };
	struct partition *partition = caller->partition;

	if (partition->ending)
		return;
	caller->sent_ms = now_ms(partition);
	uv_timer_start(&caller->timer, on_timer, GIVE_UP_MS, 0);
	if (caller->conn) {
		send_request(caller);
		return;
	}
	caller->conn = g_new0(struct caller_link, 1);
	caller->conn->caller = caller;
	if (link_open(&caller->conn->link, &link_events, partition->loop,
		      &caller->place->front, &limits))
		fail_request(caller);
}

static void on_timer(uv_timer_t *timer)
{
	struct caller *caller = timer->data;

	if (caller->sent_ms)
		fail_request(caller);
	else
		next_request(caller);
}

static void start_caller(struct partition *partition, const struct place *place,
			 const struct service *service)
{
	struct caller *caller = g_new0(struct caller, 1);

	caller->partition = partition;
	caller->place = place;
	caller->service = service;
	uv_timer_init(partition->loop, &caller->timer);
	caller->timer.data = caller;
	pause_caller(caller);
}

/* --- the cut ------------------------------------------------------------ */

static void write_cut(const struct partition *partition, const char *node,
		      const struct endpoint *instead)
{
	const struct endpoint *store = &partition->store;
	char *path = g_strdup_printf("%s/%s.cut", partition->cuts, node);
	char *text = instead ? g_strdup_printf("%s:%u %s:%u", instead->address,
					       instead->port, store->address,
					       store->port) :
			       g_strdup("");

	if (!g_file_set_contents(path, text, -1, NULL))
		fprintf(stderr, "emulator: can't write %s\n", path);
	g_free(text);
	g_free(path);
}

static void set_open_connections(const struct partition *partition,
				 const struct place *place, bool cut)
{
	const char *address = place->front.address;
	guint i;

	for (i = 0; i < partition->relays->len; i++) {
		struct relay *relay = partition->relays->pdata[i];

		if (partition->manner == MANNER_HANG)
			relay_silence_caller(relay, address, cut);
		else if (partition->manner == MANNER_RESET && cut)
			relay_reset_caller(relay, address);
	}
}

static void set_cut(struct partition *partition, bool cut)
{
	const struct endpoint *instead = partition->manner == MANNER_REFUSE ?
						 &partition->closed :
						 &partition->hole;
	guint i;

	printf("partition, %s: %s\n", manner_names[partition->manner],
	       cut ? "begins" : "ends");
	fflush(stdout);
	for (i = 0; i < partition->places->len; i++) {
		const struct place *place = partition->places->pdata[i];

		if (!place->partitioned)
			continue;
		write_cut(partition, place->name, cut ? instead : NULL);
		set_open_connections(partition, place, cut);
	}
}

static void on_begin(uv_timer_t *timer)
{
	struct partition *partition = timer->data;

	partition->began_ms = now_ms(partition);
	set_cut(partition, true);
}

static void on_end(uv_timer_t *timer)
{
	struct partition *partition = timer->data;

	partition->ended_ms = now_ms(partition);
	set_cut(partition, false);
}

static void on_filled(uv_connect_t *request, int status)
{
	(void)request;
	if (status)
		fprintf(stderr, "emulator: nothing hangs: %s\n",
			uv_strerror(status));
}

/*
 * A listener whose only place is taken: the kernel drops what asks for another
 * one, as a partition does. It never accepts.
 */
static bool open_hole(struct partition *partition)
{
	struct sockaddr_in address;
	uv_os_fd_t fd;

	uv_ip4_addr(partition->hole.address, partition->hole.port, &address);
	uv_tcp_init(partition->loop, &partition->hole_tcp);
	uv_tcp_init(partition->loop, &partition->hole_filler);
	if (uv_tcp_bind(&partition->hole_tcp, (struct sockaddr *)&address, 0) ||
	    uv_fileno((uv_handle_t *)&partition->hole_tcp, &fd) ||
	    listen(fd, 0))
		return false;
	return !uv_tcp_connect(&partition->hole_connect,
			       &partition->hole_filler,
			       (struct sockaddr *)&address, on_filled);
}

/* --- the judge ---------------------------------------------------------- */

static double served_part(const struct tally *tally)
{
	return tally->sent ? (double)tally->served / tally->sent : 1.0;
}

static bool is_broken(const struct tally *partitioned,
		      const struct tally *others)
{
	uint32_t sent = partitioned->sent + others->sent;
	uint32_t failed = partitioned->sent - partitioned->served;

	return served_part(partitioned) < SERVED_PART * served_part(others) &&
	       failed > FAILED_FEW + sent / FAILED_ONE_IN;
}

bool partition_report(const struct partition *partition)
{
	bool broken = !partition->ended_ms ||
		      !partition->partitioned[SPAN_CUT].sent;
	int span;

	for (span = 0; span < SPANS; span++) {
		const struct tally *partitioned = &partition->partitioned[span];
		const struct tally *others = &partition->others[span];

		printf("%s: partitioned nodes served %u of %u requests, the "
		       "others %u of %u\n",
		       span_names[span], partitioned->served, partitioned->sent,
		       others->served, others->sent);
		broken |= is_broken(partitioned, others);
	}
	return broken;
}

/* --- the start ---------------------------------------------------------- */

static bool read_plan(struct partition *partition, const char *plan)
{
	char manner[8];
	char names[256];
	unsigned at_s;
	unsigned for_s;
	size_t i;

	if (sscanf(plan, "%7[a-z]:%255[^@]@%u:%u", manner, names, &at_s,
		   &for_s) != 4)
		return false;
	partition->names = g_strsplit(names, ",", -1);
	partition->at_ms = at_s * 1000ull;
	partition->for_ms = for_s * 1000ull;
	for (i = 0; i < G_N_ELEMENTS(manner_names); i++)
		if (!strcmp(manner, manner_names[i])) {
			partition->manner = (enum manner)i;
			return true;
		}
	return false;
}

struct partition *partition_new(uv_loop_t *loop, struct store_stand *rows,
				const struct endpoint *store, const char *plan,
				const char *cuts)
{
	struct partition *partition = g_new0(struct partition, 1);

	partition->loop = loop;
	partition->rows = rows;
	partition->store = *store;
	partition->hole = *store;
	partition->hole.port--;
	partition->closed = *store;
	partition->closed.port -= 2;
	partition->cuts = g_strdup(cuts);
	partition->relays = g_ptr_array_new();
	partition->services = g_ptr_array_new();
	partition->places = g_ptr_array_new();
	if (cuts && read_plan(partition, plan) && open_hole(partition))
		return partition;
	g_free(partition);
	return NULL;
}

void partition_add_server(struct partition *partition, struct relay *relay)
{
	g_ptr_array_add(partition->relays, relay);
}

void partition_add_service(struct partition *partition, const char *name,
			   bool once)
{
	struct service *service = g_new0(struct service, 1);

	service->name = g_strdup(name);
	service->once = once;
	g_ptr_array_add(partition->services, service);
}

static void find_place(struct partition *partition, const char *name)
{
	const char *value = store_stand_get(partition->rows, "members", name);
	json_t *row = value ? json_loads(value, 0, NULL) : NULL;
	const char *front = json_string_value(json_object_get(row, "front"));
	struct place *place = g_new0(struct place, 1);

	if (front && endpoint_parse(front, &place->front)) {
		place->name = g_strdup(name);
		place->partitioned = g_strv_contains(
			(const char *const *)partition->names, name);
		g_ptr_array_add(partition->places, place);
	} else {
		g_free(place);
	}
	json_decref(row);
}

void partition_begin(struct partition *partition)
{
	guint i;
	guint j;
	guint k;

	for (i = 1; i <= 64; i++) {
		char *name = g_strdup_printf("n%u", i);

		find_place(partition, name);
		g_free(name);
	}
	for (i = 0; i < partition->places->len; i++)
		for (j = 0; j < partition->services->len; j++)
			for (k = 0; k < CALLERS; k++)
				start_caller(partition,
					     partition->places->pdata[i],
					     partition->services->pdata[j]);
	uv_timer_init(partition->loop, &partition->begins);
	uv_timer_init(partition->loop, &partition->ends);
	partition->begins.data = partition;
	partition->ends.data = partition;
	uv_timer_start(&partition->begins, on_begin, partition->at_ms, 0);
	uv_timer_start(&partition->ends, on_end,
		       partition->at_ms + partition->for_ms, 0);
}

void partition_end(struct partition *partition)
{
	partition->ending = true;
}
