#include "ctl/client.h"

#include <curl/curl.h>
#include <string.h>

#include "core/endpoint.h"
#include "core/wire.h"

#define ANSWER_MAX_BYTES (64 * 1024 * 1024)
#define US_PER_MS 1000

/* Shortest time that an attempt is given. */
#define ATTEMPT_LEAST_US (50 * 1000ull)

struct client {
	const struct clock *clock;
	uint64_t timeout_us;
	char nodes[CLIENT_MAX_NODES][NAME_SIZE]; /* "address:port" */
	uint32_t node_count;
};

/* How an attempt ended. */
enum attempt_end {
	ATTEMPT_ANSWERED,
	ATTEMPT_NOT_SENT, /* no byte of the request went out */
	ATTEMPT_LOST, /* sent, but no whole answer came back */
};

/* An HTTP request to one node; body is NULL for GET. */
struct attempt {
	const char *url;
	const char *body;
	uint64_t timeout_us;
};

/* A request on its way through the nodes. */
struct delivery {
	struct client *client;
	const struct admin_request *request;
	const char *body;
	uint64_t deadline_us;
	bool in_doubt; /* an attempt may have taken effect */
};

/*
 * Answers
 */

void client_answer_release(struct client_answer *answer)
{
	json_decref(answer->body);
	answer->body = NULL;
}

static void set_body(struct client_answer *answer, json_t *body)
{
	json_decref(answer->body);
	answer->body = body;
	answer->result = result_from_number(
		(int)json_integer_value(json_object_get(body, "result")));
}

void client_answer_set(struct client_answer *answer, enum result result,
		       const char *message)
{
	char *text = admin_answer_error(result, message, 0);

	set_body(answer, json_loads(text, 0, NULL));
	g_free(text);
}

/* Whether another node may do better, nothing having been taken in. */
static bool is_worth_another_node(enum result result)
{
	switch (result) {
	case RESULT_OVERLOAD:
	case RESULT_STOPPING:
	case RESULT_NO_CONFIG:
	case RESULT_PLATFORM_UNAVAILABLE:
	case RESULT_UNREACHABLE:
		return true;
	default:
		return false;
	}
}

/*
 * One attempt
 */

static size_t collect(char *data, size_t size, size_t count, void *context)
{
	GString *text = context;
	size_t bytes = size * count;

	if (bytes > ANSWER_MAX_BYTES - text->len)
		return 0;
	g_string_append_len(text, data, (gssize)bytes);
	return bytes;
}

static struct curl_slist *make_headers(uint64_t timeout_us)
{
	struct curl_slist *headers = NULL;
	char deadline[64];

	g_snprintf(deadline, sizeof(deadline),
		   WIRE_HEADER_DEADLINE ": %" G_GUINT64_FORMAT, timeout_us);
	headers = curl_slist_append(headers, deadline);
	headers = curl_slist_append(headers, "Content-Type: application/json");
	/* Not waiting for "100 Continue" saves a second with large bodies. */
	return curl_slist_append(headers, "Expect:");
}

static void set_options(CURL *curl, const struct attempt *attempt,
			struct curl_slist *headers, GString *text)
{
	curl_easy_setopt(curl, CURLOPT_URL, attempt->url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
			 (long)(attempt->timeout_us / US_PER_MS));
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
	if (attempt->body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, attempt->body);
}

/* The answer's object, or NULL where the text is no answer of a node. */
static json_t *read_answer(const GString *text)
{
	json_t *body = json_loadb(text->str, text->len, 0, NULL);

	if (json_is_integer(json_object_get(body, "result")))
		return body;
	json_decref(body);
	return NULL;
}

static enum attempt_end end_of(CURL *curl, CURLcode code, json_t *body)
{
	long sent_bytes = 0;

	if (code == CURLE_OK && body)
		return ATTEMPT_ANSWERED;
	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent_bytes);
	return sent_bytes ? ATTEMPT_LOST : ATTEMPT_NOT_SENT;
}

static enum attempt_end perform(const struct attempt *attempt,
				struct client_answer *answer)
{
	struct curl_slist *headers = make_headers(attempt->timeout_us);
	GString *text = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	enum attempt_end end;
	json_t *body = NULL;
	CURLcode code;

	set_options(curl, attempt, headers, text);
	code = curl_easy_perform(curl);
	if (code == CURLE_OK)
		body = read_answer(text);
	end = end_of(curl, code, body);
	if (body)
		set_body(answer, body);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_string_free(text, TRUE);
	return end;
}

/*
 * All attempts
 */

/* An equal part of the time left, for an attempt that others may follow. */
static uint64_t part_of_time(const struct delivery *delivery,
			     uint32_t attempts_left)
{
	uint64_t now_us = clock_now_us(delivery->client->clock);
	uint64_t left_us = 0;

	if (delivery->deadline_us > now_us)
		left_us = delivery->deadline_us - now_us;
	return MAX(left_us / attempts_left, ATTEMPT_LEAST_US);
}

static enum attempt_end ask_node(const struct delivery *delivery, uint32_t node,
				 const char *query, const char *body,
				 uint32_t attempts_left,
				 struct client_answer *answer)
{
	struct attempt attempt = { NULL, body,
				   part_of_time(delivery, attempts_left) };
	enum attempt_end end;
	char *url;

	url = g_strconcat("http://", delivery->client->nodes[node],
			  WIRE_PATH_COMMAND, query, NULL);
	attempt.url = url;
	end = perform(&attempt, answer);
	g_free(url);
	return end;
}

/* Post the request to one node after the other until an answer is final. */
static bool post(struct delivery *delivery, struct client_answer *answer)
{
	uint32_t count = delivery->client->node_count;
	/* The settling of a command may ask each node once more. */
	uint32_t attempts = *delivery->request->id ? 2 * count : count;
	uint32_t node;

	for (node = 0; node < count; node++) {
		enum attempt_end end;

		end = ask_node(delivery, node, "", delivery->body,
			       attempts - node, answer);
		if (end == ATTEMPT_LOST)
			delivery->in_doubt = true;
		if (end != ATTEMPT_ANSWERED)
			continue;
		if (answer->result == RESULT_UNSETTLED)
			delivery->in_doubt = true;
		else if (!is_worth_another_node(answer->result))
			return true;
	}
	return false;
}

static void describe_settled(struct client_answer *answer, const char *id)
{
	char *message;

	if (answer->result != RESULT_UNKNOWN_NAME)
		return;
	message = g_strdup_printf(
		"the answer was lost, and command %s is not taken in; "
		"sending it again under this id is safe",
		id);
	client_answer_set(answer, RESULT_UNKNOWN_NAME, message);
	g_free(message);
}

/*
 * Failure: the answer to a command was lost, on the way or between node and
 * platform, and nobody knows whether it took effect. It shows as a time-out, a
 * closed connection or RESULT_UNSETTLED. Any node can tell, because the
 * configuration row keeps the ids of the commands that it has taken in, and
 * nodes answer this question from the row itself.
 */
static bool settle(const struct delivery *delivery,
		   struct client_answer *answer)
{
	uint32_t count = delivery->client->node_count;
	const char *id = delivery->request->id;
	char *query = g_strconcat("?id=", id, NULL);
	bool settled = false;
	uint32_t node;

	for (node = 0; node < count && !settled; node++) {
		enum attempt_end end;

		end = ask_node(delivery, node, query, NULL, count - node,
			       answer);
		settled = end == ATTEMPT_ANSWERED &&
			  (answer->result == RESULT_OK ||
			   answer->result == RESULT_UNKNOWN_NAME);
	}
	g_free(query);
	if (settled)
		describe_settled(answer, id);
	return settled;
}

static void give_up(const struct delivery *delivery,
		    struct client_answer *answer)
{
	char *message;

	if (!delivery->in_doubt || !*delivery->request->id) {
		if (!answer->body)
			client_answer_set(answer, RESULT_UNREACHABLE,
					  "no node gave an answer");
		return;
	}
	message = g_strdup_printf(
		"command %s may have taken effect; sending it again under "
		"this id is safe",
		delivery->request->id);
	client_answer_set(answer, RESULT_UNSETTLED, message);
	g_free(message);
}

void client_send(struct client *client, const struct admin_request *request,
		 struct client_answer *answer)
{
	struct delivery delivery = { client, request, NULL, 0, false };
	GError *error = NULL;
	char *body;

	memset(answer, 0, sizeof(*answer));
	body = admin_request_format(request, &error);
	if (!body) {
		client_answer_set(answer, (enum result)error->code,
				  error->message);
		g_error_free(error);
		return;
	}
	delivery.body = body;
	delivery.deadline_us = clock_now_us(client->clock) + client->timeout_us;
	if (!post(&delivery, answer) &&
	    !(delivery.in_doubt && *request->id && settle(&delivery, answer)))
		give_up(&delivery, answer);
	g_free(body);
}

/*
 * Nodes
 */

struct client *client_new(const struct clock *clock, uint64_t timeout_us)
{
	struct client *client = g_new0(struct client, 1);

	client->clock = clock;
	client->timeout_us = timeout_us;
	return client;
}

void client_free(struct client *client)
{
	g_free(client);
}

static bool add_node(struct client *client, const char *text, GError **error)
{
	struct endpoint endpoint;

	if (!endpoint_parse(text, &endpoint)) {
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
			    "node '%s': must be an IPv4 number and a port, "
			    "such as 127.1.1.1:8080",
			    text);
		return false;
	}
	if (client->node_count == CLIENT_MAX_NODES) {
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
			    "more than %d nodes", CLIENT_MAX_NODES);
		return false;
	}
	g_strlcpy(client->nodes[client->node_count++], text, NAME_SIZE);
	return true;
}

bool client_add_nodes(struct client *client, const char *text, GError **error)
{
	char **words = g_strsplit_set(text, ", \t", -1);
	bool good = true;
	uint32_t i;

	for (i = 0; words[i] && good; i++)
		good = !*words[i] || add_node(client, words[i], error);
	g_strfreev(words);
	return good;
}

uint32_t client_node_count(const struct client *client)
{
	return client->node_count;
}
