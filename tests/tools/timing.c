/*
 * timing - time of one request after another on one kept connection
 *
 *     timing URL COUNT [HEADER…]
 *
 * Prints p50_us and p99_us of the whole answers. Asked of a backend server
 * directly and of a node that forwards to it, the difference is what the node
 * adds.
 */
#include <stdio.h>
#include <stdlib.h>

#include "standins/event_log.h"
#include "tools/exchange.h"

#define TIMEOUT_US 5000000
#define MOST_REQUESTS 1000000
#define PER_MILLE 1000

static int compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static bool time_all(CURL *curl, const struct exchange_request *request,
		     uint64_t *times_us, uint32_t count)
{
	struct exchange exchange;
	bool good = true;
	uint32_t i;

	exchange_init(&exchange);
	for (i = 0; good && i < count; i++) {
		uint64_t start_us = event_now_us();

		exchange_run(&exchange, curl, request);
		times_us[i] = event_now_us() - start_us;
		good = exchange.fate == EXCHANGE_WHOLE &&
		       exchange.status == 200;
	}
	exchange_release(&exchange);
	return good;
}

int main(int argc, char **argv)
{
	struct exchange_request request = { .timeout_us = TIMEOUT_US };
	struct curl_slist *headers = NULL;
	unsigned long count = argc > 2 ? strtoul(argv[2], NULL, 10) : 0;
	uint64_t *times_us;
	CURL *curl;
	bool good;
	int i;

	if (!count || count > MOST_REQUESTS) {
		fprintf(stderr, "usage: timing URL COUNT [HEADER...]\n");
		return EXIT_FAILURE;
	}
	for (i = 3; i < argc; i++)
		headers = curl_slist_append(headers, argv[i]);
	request.url = argv[1];
	request.headers = headers;
	times_us = g_new0(uint64_t, count);
	curl = curl_easy_init();
	good = time_all(curl, &request, times_us, (uint32_t)count);
	qsort(times_us, count, sizeof(*times_us), compare);
	if (good)
		printf("requests=%lu p50_us=%" G_GUINT64_FORMAT
		       " p99_us=%" G_GUINT64_FORMAT "\n",
		       count, times_us[count / 2],
		       times_us[count * (PER_MILLE - 10) / PER_MILLE]);
	else
		fprintf(stderr,
			"timing: an answer was not whole, or not 200\n");
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(times_us);
	return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
