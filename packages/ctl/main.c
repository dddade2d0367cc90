#include <curl/curl.h>
#include <errno.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/query.h"
#include "core/result.h"
#include "ctl/client.h"
#include "ctl/explain.h"
#include "ctl/format.h"
#include "ctl/script.h"
#include "ports/clock.h"

#define NODES_VARIABLE "LILACFIELD_NODES"
#define DEFAULT_TIMEOUT_MS 10000
#define MAX_TIMEOUT_MS 600000
#define US_PER_MS 1000
#define NO_EXPECT (-1)

struct options {
	char **nodes;
	char *id;
	long long expect; /* NO_EXPECT where none is given */
	int timeout_ms;
	int json;
	int version;
};

struct session {
	const struct options *options;
	struct client *client;
};

static uint64_t monotonic_now_us(const struct clock *clock)
{
	(void)clock;
	return (uint64_t)g_get_monotonic_time();
}

static const struct clock_vtable monotonic_vtable = { monotonic_now_us };
static const struct clock monotonic_clock = { &monotonic_vtable };

static int report_error(const struct options *options, const GError *error)
{
	struct client_answer answer = { 0 };
	char *text;

	client_answer_set(&answer, (enum result)error->code, error->message);
	if (options->json) {
		text = json_dumps(answer.body, JSON_COMPACT);
		puts(text);
	} else {
		text = format_error(answer.body);
		fprintf(stderr, "lilacctl: %s\n", text);
	}
	g_free(text);
	client_answer_release(&answer);
	return result_exit_status((enum result)error->code);
}

static void print_answer(const struct options *options,
			 const struct client_answer *answer)
{
	char *text;

	if (options->json) {
		text = json_dumps(answer->body, JSON_COMPACT);
		puts(text);
	} else if (answer->result == RESULT_OK) {
		text = format_answer(answer->body);
		fputs(text, stdout);
	} else {
		text = format_error(answer->body);
		fprintf(stderr, "lilacctl: %s\n", text);
	}
	g_free(text);
}

/* line counts a script's sentences from 1; 0 is no script. */
static char *make_id(const struct options *options, uint32_t line,
		     const struct admin_request *request, GError **error)
{
	if (!options->id)
		return script_new_id(error);
	if (line)
		return script_line_id(options->id, line, request);
	return g_strdup(options->id);
}

static bool set_id(const struct options *options, uint32_t line,
		   struct admin_request *request, GError **error)
{
	char *id = make_id(options, line, request, error);
	bool good;

	if (!id)
		return false;
	good = query_id_is_valid(id);
	if (good)
		g_strlcpy(request->id, id, sizeof(request->id));
	else
		g_set_error(error, RESULT_ERROR, RESULT_OUT_OF_RANGE,
			    "id '%s': must be 1 to 127 of A-Z a-z 0-9 . _ -",
			    id);
	g_free(id);
	return good;
}

/* On failure nothing is left to release. */
static bool make_request(const struct options *options, const char *sentence,
			 uint32_t line, struct admin_request *request,
			 GError **error)
{
	struct query query;

	memset(request, 0, sizeof(*request));
	if (!query_parse(sentence, &query, error))
		return false;
	g_strlcpy(request->sentence, sentence, sizeof(request->sentence));
	if (!query_is_command(&query))
		return true;
	request->has_expected_version = options->expect != NO_EXPECT;
	if (request->has_expected_version)
		request->expected_version = (uint64_t)options->expect;
	if (query.verb == QUERY_CMD_LOAD) {
		request->document = script_read_document(query.file, error);
		if (!request->document)
			return false;
	}
	if (set_id(options, line, request, error))
		return true;
	admin_request_release(request);
	return false;
}

/* Carry out one sentence; the exit status that it calls for. */
static int run_sentence(const struct session *session, const char *sentence,
			uint32_t line)
{
	struct admin_request request;
	struct client_answer answer;
	GError *error = NULL;
	int status;

	if (!make_request(session->options, sentence, line, &request, &error)) {
		status = report_error(session->options, error);
		g_error_free(error);
		return status;
	}
	client_send(session->client, &request, &answer);
	print_answer(session->options, &answer);
	status = result_exit_status(answer.result);
	client_answer_release(&answer);
	admin_request_release(&request);
	return status;
}

/*
 * Carry out the sentences of standard input. A script stops at the first one
 * that fails, since later ones may build on it; a person at a terminal goes on.
 */
static int run_lines(const struct session *session)
{
	bool interactive = isatty(STDIN_FILENO);
	char sentence[SCRIPT_LINE_SIZE];
	uint32_t line = 0;
	int status = 0;

	while ((interactive || !status) && script_read_line(stdin, sentence)) {
		status = run_sentence(session, sentence, ++line);
		fflush(stdout);
	}
	return status;
}

static int run_words(const struct session *session, const char *const *words)
{
	char *sentence = script_join_words(words);
	int status;

	status = run_sentence(session, sentence, 0);
	g_free(sentence);
	return status;
}

static bool add_nodes(struct client *client, const struct options *options,
		      GError **error)
{
	const char *from_environment = g_getenv(NODES_VARIABLE);
	uint32_t i;

	for (i = 0; options->nodes && options->nodes[i]; i++)
		if (!client_add_nodes(client, options->nodes[i], error))
			return false;
	if (!options->nodes && from_environment &&
	    !client_add_nodes(client, from_environment, error))
		return false;
	if (client_node_count(client))
		return true;
	g_set_error_literal(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
			    "no node is given, by --node or " NODES_VARIABLE);
	return false;
}

static bool check_options(const struct options *options, bool from_lines,
			  GError **error)
{
	const char *message = NULL;

	if (options->timeout_ms < 1 || options->timeout_ms > MAX_TIMEOUT_MS)
		message = "--timeout-ms: must be 1 to 600000";
	else if (options->expect < NO_EXPECT)
		message = "--expect: must be a version";
	else if (from_lines && options->expect != NO_EXPECT)
		message = "--expect: goes with one sentence only";
	if (!message)
		return true;
	g_set_error_literal(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
			    message);
	return false;
}

static bool read_logs(struct explain *explain, const char *const *files,
		      GError **error)
{
	if (!*files) {
		explain_read(explain, stdin);
		return true;
	}
	for (; *files; files++) {
		FILE *stream = fopen(*files, "r");

		if (!stream) {
			g_set_error(error, RESULT_ERROR, RESULT_SYSTEM,
				    "%s: %s", *files, g_strerror(errno));
			return false;
		}
		explain_read(explain, stream);
		fclose(stream);
	}
	return true;
}

/* "explain REQUEST-ID [FILE...]": from logs, no node is asked. */
static int run_explain(const struct options *options, const char *const *words)
{
	struct explain *explain;
	GError *error = NULL;
	int status = 0;
	char *text;

	if (!*words) {
		g_set_error_literal(&error, RESULT_ERROR, RESULT_SYNTAX,
				    "explain: a request's id is missing");
		status = report_error(options, error);
		g_error_free(error);
		return status;
	}
	explain = explain_new(*words);
	if (!read_logs(explain, words + 1, &error)) {
		status = report_error(options, error);
		g_error_free(error);
	} else {
		text = explain_format(explain);
		fputs(text, stdout);
		g_free(text);
		if (!explain_count(explain))
			status = result_exit_status(RESULT_UNKNOWN_NAME);
	}
	explain_free(explain);
	return status;
}

static int run(const struct options *options, const char **words)
{
	struct session session = { options, NULL };
	bool from_lines = !words || !strcmp(words[0], "-");
	GError *error = NULL;
	int status;

	session.client = client_new(&monotonic_clock,
				    (uint64_t)options->timeout_ms * US_PER_MS);
	if (!check_options(options, from_lines, &error) ||
	    !add_nodes(session.client, options, &error)) {
		status = report_error(options, error);
		g_error_free(error);
	} else if (from_lines) {
		status = run_lines(&session);
	} else {
		status = run_words(&session, (const char *const *)words);
	}
	client_free(session.client);
	if (fflush(stdout) && !status)
		status = result_exit_status(RESULT_SYSTEM);
	return status;
}

static void free_options(struct options *options)
{
	uint32_t i;

	for (i = 0; options->nodes && options->nodes[i]; i++)
		free(options->nodes[i]);
	free(options->nodes);
	free(options->id);
}

int main(int argc, const char **argv)
{
	struct options options = { .expect = NO_EXPECT,
				   .timeout_ms = DEFAULT_TIMEOUT_MS };
	const struct poptOption table[] = {
		{ "node", 'n', POPT_ARG_ARGV, &options.nodes, 0,
		  "Node to ask; several are tried in order", "ADDRESS:PORT" },
		{ "json", 'j', POPT_ARG_NONE, &options.json, 0,
		  "Print answers as JSON, one a line", NULL },
		{ "id", 'i', POPT_ARG_STRING, &options.id, 0,
		  "Id of the command; sending it twice counts once", "ID" },
		{ "expect", 'e', POPT_ARG_LONGLONG, &options.expect, 0,
		  "Refuse the command unless this version is current",
		  "VERSION" },
		{ "timeout-ms", 't', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
		  &options.timeout_ms, 0,
		  "Longest time for a sentence, all nodes tried", "N" },
		{ "version", 'V', POPT_ARG_NONE, &options.version, 0,
		  "Print the program's version", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context;
	const char **words;
	int status;
	int code;

	context = poptGetContext("lilacctl", argc, argv, table, 0);
	poptSetOtherOptionHelp(
		context, "[OPTION...] [SENTENCE | - | explain ID [FILE...]]");
	code = poptGetNextOpt(context);
	if (code < -1) {
		fprintf(stderr, "lilacctl: %s: %s\n",
			poptBadOption(context, POPT_BADOPTION_NOALIAS),
			poptStrerror(code));
		status = result_exit_status(RESULT_SETTINGS_INVALID);
	} else if (options.version) {
		puts("lilacctl " LILACFIELD_VERSION);
		status = 0;
	} else {
		words = poptGetArgs(context);
		curl_global_init(CURL_GLOBAL_DEFAULT);
		if (words && !strcmp(words[0], "explain"))
			status = run_explain(&options,
					     (const char *const *)words + 1);
		else
			status = run(&options, words);
		curl_global_cleanup();
	}
	free_options(&options);
	poptFreeContext(context);
	return status;
}
