/*
 * poke - one HTTP request from a script
 *
 *     poke [--wait SECONDS] METHOD URL [BODY]
 *
 * Prints the answer's body. Exit status 0 for 2xx, 1 for another answer, 2 if
 * there was none. With --wait it tries again until there is an answer of 2xx.
 */
#include <curl/curl.h>
#include <glib.h>
#include <popt.h>
#include <stdio.h>

#include "tools/exchange.h"

#define TIMEOUT_US 10000000
#define PAUSE_US 50000

enum {
	EXIT_ANSWERED = 0,
	EXIT_REFUSED = 1,
	EXIT_NO_ANSWER = 2,
	EXIT_USAGE = 64,
};

static int wait_s;

static const struct poptOption options[] = {
	{ "wait", 'w', POPT_ARG_INT, &wait_s, 0,
	  "try again that long until it is answered", "SECONDS" },
	POPT_AUTOHELP POPT_TABLEEND
};

static int request(CURL *curl, const struct exchange_request *request,
		   struct exchange *exchange)
{
	exchange_run(exchange, curl, request);
	if (exchange->fate != EXCHANGE_WHOLE)
		return EXIT_NO_ANSWER;
	return exchange->status / 100 == 2 ? EXIT_ANSWERED : EXIT_REFUSED;
}

/* Ask until there is an answer of 2xx or the time is over. */
static int poke(const struct exchange_request *what, struct exchange *exchange)
{
	gint64 end_us = g_get_monotonic_time() + wait_s * G_USEC_PER_SEC;
	CURL *curl = curl_easy_init();
	int status;

	while ((status = request(curl, what, exchange)) != EXIT_ANSWERED &&
	       g_get_monotonic_time() < end_us)
		g_usleep(PAUSE_US);
	curl_easy_cleanup(curl);
	return status;
}

int main(int argc, const char **argv)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	struct exchange_request what = { .timeout_us = TIMEOUT_US };
	struct exchange exchange;
	int status;

	poptSetOtherOptionHelp(context, "METHOD URL [BODY]");
	if (poptGetNextOpt(context) != -1)
		return EXIT_USAGE;
	what.method = poptGetArg(context);
	what.url = poptGetArg(context);
	what.body = poptGetArg(context);
	if (!what.url) {
		poptPrintUsage(context, stderr, 0);
		return EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	exchange_init(&exchange);
	status = poke(&what, &exchange);
	printf("%s\n", exchange.body->str);
	exchange_release(&exchange);
	poptFreeContext(context);
	curl_global_cleanup();
	return status;
}
