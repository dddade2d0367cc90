/*
 * peer_rpc_bench - bytes and processor time of an exchange between two nodes
 *
 * For each number of reports, a client and a server of one process exchange
 * messages of that many reports both ways over 127.0.0.1. Processor time is
 * that of the client's thread, and of all others (the server's) together.
 */
#include <algorithm>
#include <inttypes.h>
#include <stdio.h>
#include <time.h>
#include <vector>

#include "adapters/metrics.h"
#include "adapters/peer_codec.h"

namespace
{

const uint32_t report_counts[] = { 22, 110, 320, 1100 };
const uint32_t services = 3; /* of one place, as both users have */
const int exchanges = 300;
const int warm_up = 20;
const uint64_t timeout_us = 5000000;

struct cost {
	size_t call_bytes;
	size_t answer_bytes;
	double client_us;
	double server_us;
	double median_us; /* from the call to the answer, as the caller waits */
};

double clock_us(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

struct peer_message make_message(uint32_t reports)
{
	struct peer_message message = {};

	g_strlcpy(message.sender, "node-0000", NAME_SIZE);
	message.report_count = reports;
	message.reports = g_new0(struct peer_report, reports);
	for (uint32_t i = 0; i < reports; i++) {
		struct peer_report *report = &message.reports[i];

		g_snprintf(report->node, NAME_SIZE, "node-%04u", i);
		report->service_count = services;
		report->services = g_new0(struct peer_service_report, services);
		for (uint32_t s = 0; s < services; s++)
			g_snprintf(report->services[s].service, NAME_SIZE,
				   "svc-service-%u", s);
	}
	return message;
}

void answer_exchange(void *context, const struct peer_message *message,
		     struct peer_message *answer)
{
	(void)message;
	*answer = make_message(*(uint32_t *)context);
}

char *answer_config(void *context, uint64_t newer_than, uint64_t *version)
{
	(void)context;
	*version = newer_than;
	return NULL;
}

size_t record_size(GByteArray *record)
{
	size_t size = record->len;

	g_byte_array_free(record, TRUE);
	return size;
}

bool exchange(struct peer_client *client, const struct peer_message *message)
{
	struct peer_message answer;
	GError *error = NULL;

	if (!peer_client_exchange(client, message, &answer, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_clear_error(&error);
		return false;
	}
	peer_message_release(&answer);
	return true;
}

bool measure(struct peer_client *client, const struct peer_message *message,
	     struct cost *cost)
{
	std::vector<double> waits;
	double thread_us;
	double process_us;

	for (int i = 0; i < warm_up; i++)
		if (!exchange(client, message))
			return false;
	thread_us = clock_us(CLOCK_THREAD_CPUTIME_ID);
	process_us = clock_us(CLOCK_PROCESS_CPUTIME_ID);
	for (int i = 0; i < exchanges; i++) {
		double start_us = clock_us(CLOCK_MONOTONIC);

		if (!exchange(client, message))
			return false;
		waits.push_back(clock_us(CLOCK_MONOTONIC) - start_us);
	}
	thread_us = clock_us(CLOCK_THREAD_CPUTIME_ID) - thread_us;
	process_us = clock_us(CLOCK_PROCESS_CPUTIME_ID) - process_us;
	std::sort(waits.begin(), waits.end());
	cost->client_us = thread_us / exchanges;
	cost->server_us = (process_us - thread_us) / exchanges;
	cost->median_us = waits[waits.size() / 2];
	return true;
}

bool run(uint32_t reports, struct cost *cost)
{
	struct peer_handler handler = { &reports, answer_exchange,
					answer_config };
	struct peer_message message = make_message(reports);
	struct peer_server *server =
		peer_server_open("127.0.0.1", 0, &handler, NULL);
	struct peer_client *client;
	bool ok;

	if (!server)
		return false;
	cost->call_bytes = record_size(peer_encode_exchange_call(1, &message));
	cost->answer_bytes =
		record_size(peer_encode_exchange_answer(1, &message));
	client = peer_client_new("127.0.0.1", peer_server_port(server),
				 timeout_us);
	ok = measure(client, &message, cost);
	peer_client_free(client);
	peer_server_close(server);
	peer_message_release(&message);
	return ok;
}

} // namespace

int main()
{
	printf("| reports | call bytes | answer bytes | client CPU us | "
	       "server CPU us | median us |\n"
	       "|---|---|---|---|---|---|\n");
	for (uint32_t reports : report_counts) {
		struct cost cost = {};

		if (!run(reports, &cost))
			return 1;
		printf("| %u | %zu | %zu | %.0f | %.0f | %.0f |\n", reports,
		       cost.call_bytes, cost.answer_bytes, cost.client_us,
		       cost.server_us, cost.median_us);
	}
	metrics_close();
	return 0;
}
