#include "emulator/partition.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "emulator/stay.h"

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

struct tally {
	uint32_t sent;
	uint32_t served;
};

struct partition {
	uv_loop_t *loop;
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
	struct stay *callers;
	uv_timer_t begins;
	uv_timer_t ends;
	uint64_t began_ms; /* 0: not yet */
	uint64_t ended_ms;
	struct tally partitioned[SPANS];
	struct tally others[SPANS];
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

static bool is_partitioned(const struct partition *partition,
			   const struct stay_node *node)
{
	return g_strv_contains((const char *const *)partition->names,
			       node->name);
}

static void on_ended(void *context, const struct stay_request *request,
		     const struct message *answer)
{
	struct partition *partition = context;
	int span = span_at(partition, request->sent_ms);
	struct tally *tally;

	if (span < 0)
		return;
	tally = is_partitioned(partition, request->node) ?
			&partition->partitioned[span] :
			&partition->others[span];
	tally->sent++;
	tally->served += answer && answer->status == 200;
}

static const struct stay_events caller_events = { .ended = on_ended };

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
				 const struct stay_node *node, bool cut)
{
	const char *address = node->front.address;
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
	const GPtrArray *nodes = stay_nodes(partition->callers);
	guint i;

	printf("partition, %s: %s\n", manner_names[partition->manner],
	       cut ? "begins" : "ends");
	fflush(stdout);
	for (i = 0; i < nodes->len; i++) {
		const struct stay_node *node = nodes->pdata[i];

		if (!is_partitioned(partition, node))
			continue;
		write_cut(partition, node->name, cut ? instead : NULL);
		set_open_connections(partition, node, cut);
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
	partition->store = *store;
	partition->hole = *store;
	partition->hole.port--;
	partition->closed = *store;
	partition->closed.port -= 2;
	partition->cuts = g_strdup(cuts);
	partition->relays = g_ptr_array_new();
	partition->callers =
		stay_new(loop, rows, "stay", &caller_events, partition);
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
	stay_add_service(partition->callers, name, once);
}

void partition_begin(struct partition *partition)
{
	stay_begin(partition->callers);
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
	stay_end(partition->callers);
}
