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
#include <string.h>

#define TIMEOUT_MS 10000L
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

static size_t take_body(char *data, size_t size, size_t count, void *context)
{
	g_string_append_len(context, data, (gssize)(size * count));
	return size * count;
}

static int request(const char *method, const char *url, const char *body,
		   GString *answer)
{
	CURL *curl = curl_easy_init();
	CURLcode code;
	long status = 0;

	g_string_truncate(answer, 0);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	if (code != CURLE_OK)
		return EXIT_NO_ANSWER;
	return status / 100 == 2 ? EXIT_ANSWERED : EXIT_REFUSED;
}

int main(int argc, const char **argv)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	gint64 start_us = g_get_monotonic_time();
	GString *answer = g_string_new(NULL);
	const char *method;
	const char *url;
	const char *body;
	int status;

	poptSetOtherOptionHelp(context, "METHOD URL [BODY]");
	if (poptGetNextOpt(context) != -1)
		return EXIT_USAGE;
	method = poptGetArg(context);
	url = poptGetArg(context);
	body = poptGetArg(context);
	if (!url) {
		poptPrintUsage(context, stderr, 0);
		return EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	while ((status = request(method, url, body, answer)) != EXIT_ANSWERED) {
		if (g_get_monotonic_time() - start_us >=
		    (gint64)wait_s * G_USEC_PER_SEC)
			break;
		g_usleep(PAUSE_US);
	}
	printf("%s\n", answer->str);
	g_string_free(answer, TRUE);
	poptFreeContext(context);
	curl_global_cleanup();
	return status;
}
