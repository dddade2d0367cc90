#include "emulator/isolation.h"

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
 * Broken where isolated nodes serve less than this part of what the others do,
 * and more requests fail there than these and one in so many of all.
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
	bool isolated;
};

struct tally {
	uint32_t sent;
	uint32_t served;
};

struct isolation {
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
	char **names; /* of the isolated nodes */
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
	struct tally isolated[SPANS];
	struct tally others[SPANS];
	uint64_t requests;
};

/* --- callers that stay -------------------------------------------------- */

struct caller_link {
	struct link link; /* first member */
	struct caller *caller; /* NULL: left */
};

struct caller {
	struct isolation *isolation;
	const struct place *place;
	const struct service *service;
	struct caller_link *conn;
	uv_timer_t timer;
	uint64_t sent_ms; /* 0: no request is under way */
};

static uint64_t now_ms(const struct isolation *isolation)
{
	return uv_now(isolation->loop);
}

static int span_at(const struct isolation *isolation, uint64_t at_ms)
{
	uint64_t began_ms = isolation->began_ms;
	uint64_t ended_ms = isolation->ended_ms;

	if (ended_ms && at_ms >= ended_ms + JUDGED_BACK_FROM_MS &&
	    at_ms < ended_ms + JUDGED_BACK_TO_MS)
		return SPAN_BACK;
	if (began_ms && at_ms >= began_ms + JUDGED_AFTER_MS &&
	    at_ms < began_ms + isolation->for_ms)
		return SPAN_CUT;
	return -1;
}

static void count_result(struct caller *caller, bool served)
{
	struct isolation *isolation = caller->isolation;
	int span = span_at(isolation, caller->sent_ms);
	struct tally *tally;

	caller->sent_ms = 0;
	if (span < 0)
		return;
	tally = caller->place->isolated ? &isolation->isolated[span] :
					  &isolation->others[span];
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
	struct isolation *isolation = caller->isolation;
	GString *request = g_string_new(NULL);

	g_string_append_printf(request,
			       "%s /%s/x HTTP/1.1\r\nHost: demo.example\r\n"
			       "Lilacfield-Attempt-Id: stay%" PRIu64 "\r\n"
			       "Lilacfield-Affinity-Key: %d\r\n"
			       "Lilacfield-Deadline-Ms: %d\r\n\r\n",
			       caller->service->once ? "POST" : "GET",
			       caller->service->name, ++isolation->requests,
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
	struct isolation *isolation = caller->isolation;

	if (isolation->ending)
		return;
	caller->sent_ms = now_ms(isolation);
	uv_timer_start(&caller->timer, on_timer, GIVE_UP_MS, 0);
	if (caller->conn) {
		send_request(caller);
		return;
	}
	caller->conn = g_new0(struct caller_link, 1);
	caller->conn->caller = caller;
	if (link_open(&caller->conn->link, &link_events, isolation->loop,
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

static void start_caller(struct isolation *isolation, const struct place *place,
			 const struct service *service)
{
	struct caller *caller = g_new0(struct caller, 1);

	caller->isolation = isolation;
	caller->place = place;
	caller->service = service;
	uv_timer_init(isolation->loop, &caller->timer);
	caller->timer.data = caller;
	pause_caller(caller);
}

/* --- the cut ------------------------------------------------------------ */

static void write_cut(const struct isolation *isolation, const char *node,
		      const struct endpoint *instead)
{
	const struct endpoint *store = &isolation->store;
	char *path = g_strdup_printf("%s/%s.cut", isolation->cuts, node);
	char *text = instead ? g_strdup_printf("%s:%u %s:%u", instead->address,
					       instead->port, store->address,
					       store->port) :
			       g_strdup("");

	if (!g_file_set_contents(path, text, -1, NULL))
		fprintf(stderr, "emulator: can't write %s\n", path);
	g_free(text);
	g_free(path);
}

static void set_open_connections(const struct isolation *isolation,
				 const struct place *place, bool cut)
{
	const char *address = place->front.address;
	guint i;

	for (i = 0; i < isolation->relays->len; i++) {
		struct relay *relay = isolation->relays->pdata[i];

		if (isolation->manner == MANNER_HANG)
			relay_silence_caller(relay, address, cut);
		else if (isolation->manner == MANNER_RESET && cut)
			relay_reset_caller(relay, address);
	}
}

static void set_cut(struct isolation *isolation, bool cut)
{
	const struct endpoint *instead = isolation->manner == MANNER_REFUSE ?
						 &isolation->closed :
						 &isolation->hole;
	guint i;

	printf("isolation, %s: %s\n", manner_names[isolation->manner],
	       cut ? "begins" : "ends");
	fflush(stdout);
	for (i = 0; i < isolation->places->len; i++) {
		const struct place *place = isolation->places->pdata[i];

		if (!place->isolated)
			continue;
		write_cut(isolation, place->name, cut ? instead : NULL);
		set_open_connections(isolation, place, cut);
	}
}

static void on_begin(uv_timer_t *timer)
{
	struct isolation *isolation = timer->data;

	isolation->began_ms = now_ms(isolation);
	set_cut(isolation, true);
}

static void on_end(uv_timer_t *timer)
{
	struct isolation *isolation = timer->data;

	isolation->ended_ms = now_ms(isolation);
	set_cut(isolation, false);
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
static bool open_hole(struct isolation *isolation)
{
	struct sockaddr_in address;
	uv_os_fd_t fd;

	uv_ip4_addr(isolation->hole.address, isolation->hole.port, &address);
	uv_tcp_init(isolation->loop, &isolation->hole_tcp);
	uv_tcp_init(isolation->loop, &isolation->hole_filler);
	if (uv_tcp_bind(&isolation->hole_tcp, (struct sockaddr *)&address, 0) ||
	    uv_fileno((uv_handle_t *)&isolation->hole_tcp, &fd) ||
	    listen(fd, 0))
		return false;
	return !uv_tcp_connect(&isolation->hole_connect,
			       &isolation->hole_filler,
			       (struct sockaddr *)&address, on_filled);
}

/* --- the judge ---------------------------------------------------------- */

static double served_part(const struct tally *tally)
{
	return tally->sent ? (double)tally->served / tally->sent : 1.0;
}

static bool is_broken(const struct tally *isolated, const struct tally *others)
{
	uint32_t sent = isolated->sent + others->sent;
	uint32_t failed = isolated->sent - isolated->served;

	return served_part(isolated) < SERVED_PART * served_part(others) &&
	       failed > FAILED_FEW + sent / FAILED_ONE_IN;
}

bool isolation_report(const struct isolation *isolation)
{
	bool broken = !isolation->ended_ms ||
		      !isolation->isolated[SPAN_CUT].sent;
	int span;

	for (span = 0; span < SPANS; span++) {
		const struct tally *isolated = &isolation->isolated[span];
		const struct tally *others = &isolation->others[span];

		printf("%s: isolated nodes served %u of %u requests, the "
		       "others %u of %u\n",
		       span_names[span], isolated->served, isolated->sent,
		       others->served, others->sent);
		broken |= is_broken(isolated, others);
	}
	return broken;
}

/* --- the start ---------------------------------------------------------- */

static bool read_plan(struct isolation *isolation, const char *plan)
{
	char manner[8];
	char names[256];
	unsigned at_s;
	unsigned for_s;
	size_t i;

	if (sscanf(plan, "%7[a-z]:%255[^@]@%u:%u", manner, names, &at_s,
		   &for_s) != 4)
		return false;
	isolation->names = g_strsplit(names, ",", -1);
	isolation->at_ms = at_s * 1000ull;
	isolation->for_ms = for_s * 1000ull;
	for (i = 0; i < G_N_ELEMENTS(manner_names); i++)
		if (!strcmp(manner, manner_names[i])) {
			isolation->manner = (enum manner)i;
			return true;
		}
	return false;
}

struct isolation *isolation_new(uv_loop_t *loop, struct store_stand *rows,
				const struct endpoint *store, const char *plan,
				const char *cuts)
{
	struct isolation *isolation = g_new0(struct isolation, 1);

	isolation->loop = loop;
	isolation->rows = rows;
	isolation->store = *store;
	isolation->hole = *store;
	isolation->hole.port--;
	isolation->closed = *store;
	isolation->closed.port -= 2;
	isolation->cuts = g_strdup(cuts);
	isolation->relays = g_ptr_array_new();
	isolation->services = g_ptr_array_new();
	isolation->places = g_ptr_array_new();
	if (cuts && read_plan(isolation, plan) && open_hole(isolation))
		return isolation;
	g_free(isolation);
	return NULL;
}

void isolation_add_server(struct isolation *isolation, struct relay *relay)
{
	g_ptr_array_add(isolation->relays, relay);
}

void isolation_add_service(struct isolation *isolation, const char *name,
			   bool once)
{
	struct service *service = g_new0(struct service, 1);

	service->name = g_strdup(name);
	service->once = once;
	g_ptr_array_add(isolation->services, service);
}

static void find_place(struct isolation *isolation, const char *name)
{
	const char *value = store_stand_get(isolation->rows, "members", name);
	json_t *row = value ? json_loads(value, 0, NULL) : NULL;
	const char *front = json_string_value(json_object_get(row, "front"));
	struct place *place = g_new0(struct place, 1);

	if (front && endpoint_parse(front, &place->front)) {
		place->name = g_strdup(name);
		place->isolated = g_strv_contains(
			(const char *const *)isolation->names, name);
		g_ptr_array_add(isolation->places, place);
	} else {
		g_free(place);
	}
	json_decref(row);
}

void isolation_begin(struct isolation *isolation)
{
	guint i;
	guint j;
	guint k;

	for (i = 1; i <= 64; i++) {
		char *name = g_strdup_printf("n%u", i);

		find_place(isolation, name);
		g_free(name);
	}
	for (i = 0; i < isolation->places->len; i++)
		for (j = 0; j < isolation->services->len; j++)
			for (k = 0; k < CALLERS; k++)
				start_caller(isolation,
					     isolation->places->pdata[i],
					     isolation->services->pdata[j]);
	uv_timer_init(isolation->loop, &isolation->begins);
	uv_timer_init(isolation->loop, &isolation->ends);
	isolation->begins.data = isolation;
	isolation->ends.data = isolation;
	uv_timer_start(&isolation->begins, on_begin, isolation->at_ms, 0);
	uv_timer_start(&isolation->ends, on_end,
		       isolation->at_ms + isolation->for_ms, 0);
}

void isolation_end(struct isolation *isolation)
{
	isolation->ending = true;
}
