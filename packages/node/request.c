#include "node/request.h"

#include <glib.h>
#include <string.h>

void answer_init(struct answer *answer)
{
	memset(answer, 0, sizeof(*answer));
	answer->result = RESULT_INTERNAL;
}

void answer_release(struct answer *answer)
{
	g_free(answer->body);
	g_free(answer->content_type);
	answer->body = NULL;
	answer->content_type = NULL;
	answer->body_bytes = 0;
}

void answer_set(struct answer *answer, enum result result,
		uint64_t retry_after_us)
{
	answer_release(answer);
	answer->result = result;
	answer->retry_after_us = retry_after_us;
}

void answer_from_kept(struct answer *answer, const struct ledger_answer *kept)
{
	answer_set(answer, RESULT_OK, 0);
	answer->http_status = kept->http_status;
	answer->content_type = g_strdup(kept->content_type);
	answer->body = g_memdup2(kept->body, kept->body_bytes);
	answer->body_bytes = kept->body_bytes;
}

void answer_to_kept(const struct answer *answer, struct ledger_answer *kept)
{
	kept->http_status = answer->http_status;
	kept->content_type = g_strdup(answer->content_type);
	kept->body = g_memdup2(answer->body, answer->body_bytes);
	kept->body_bytes = answer->body_bytes;
}

void answer_from_state(struct answer *answer, enum ledger_state state,
		       enum result refusal, uint64_t retry_after_us)
{
	switch (state) {
	case LEDGER_ABSENT:
	case LEDGER_FENCED:
		answer_set(answer, refusal, retry_after_us);
		break;
	case LEDGER_RUNNING:
		answer_set(answer, RESULT_IN_PROGRESS, 0);
		break;
	case LEDGER_DROPPED:
		answer_set(answer, RESULT_ANSWER_DROPPED, 0);
		break;
	default:
		answer_set(answer, RESULT_OUTCOME_UNKNOWN, 0);
		break;
	}
}

void answer_take(struct answer *answer, struct http_answer *http)
{
	answer->http_status = http->status;
	answer->body = http->body;
	answer->body_bytes = http->body_bytes;
	answer->content_type = http->content_type;
	http->body = NULL;
	http->content_type = NULL;
}
