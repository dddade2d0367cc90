#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

#include "standins/fake_platform.h"

static char *address = "127.0.9.1";
static int port = 7000;
static int threads = 64;

static const struct poptOption options[] = {
	{ "address", 'a', POPT_ARG_STRING, &address, 0, "IP number to serve on",
	  "ADDRESS" },
	{ "port", 'p', POPT_ARG_INT, &port, 0, "port to serve on", "PORT" },
	{ "threads", 't', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &threads, 0,
	  "connections served at a time", "N" },
	POPT_AUTOHELP POPT_TABLEEND
};

int main(int argc, const char **argv)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	struct standin_endpoint endpoint = { 0 };
	struct fake_platform *platform;
	GError *error = NULL;

	if (poptGetNextOpt(context) != -1 || poptPeekArg(context)) {
		poptPrintUsage(context, stderr, 0);
		return EXIT_FAILURE;
	}
	g_strlcpy(endpoint.address, address, sizeof(endpoint.address));
	endpoint.port = (uint16_t)port;
	standin_block_signals();
	platform = fake_platform_open(&endpoint, (uint32_t)threads, &error);
	if (!platform) {
		fprintf(stderr, "fake_platform: %s\n", error->message);
		return EXIT_FAILURE;
	}
	standin_wait_for_signal();
	fake_platform_close(platform);
	poptFreeContext(context);
	return EXIT_SUCCESS;
}
