/*
 * client - one sentence to the nodes and the answer back, whatever gets lost
 *
 * Nodes are tried in order. Each attempt has its part of the time, so that a
 * silent node can't use it up. A command goes out under the same id at each
 * attempt, which makes repeating it safe; where no attempt brought an answer
 * but one may have taken effect, the nodes are asked what became of the id.
 *
 * Blocking; not thread-safe. The process calls curl_global_init() before.
 */
#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/admin.h"
#include "core/result.h"
#include "ports/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CLIENT_MAX_NODES 64

struct client;

/* What came back for one sentence. */
struct client_answer {
	enum result result;
	json_t *body; /* the answer as a JSON object, never NULL */
};

/* timeout_us is for one sentence, all its attempts and their settling. */
struct client *client_new(const struct clock *clock, uint64_t timeout_us);
void client_free(struct client *client);

/*
 * Add "ADDRESS:PORT", or several divided by commas or blanks, to the nodes to
 * be tried. RESULT_SETTINGS_INVALID on failure.
 */
bool client_add_nodes(struct client *client, const char *text, GError **error);

uint32_t client_node_count(const struct client *client);

/*
 * Send the request. Where no node gave an answer the body is made up here, with
 * RESULT_UNREACHABLE (surely not taken in) or RESULT_UNSETTLED.
 */
void client_send(struct client *client, const struct admin_request *request,
		 struct client_answer *answer);

/* A body of this result and message, as a node would give it. */
void client_answer_set(struct client_answer *answer, enum result result,
		       const char *message);

void client_answer_release(struct client_answer *answer);

#ifdef __cplusplus
}
#endif

#endif
