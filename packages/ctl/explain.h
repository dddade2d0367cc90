/*
 * explain - the story of one request, from the logs of any number of nodes
 *
 * Lines are read as lilacfield-edge writes them (docs/OPERATIONS.md); what
 * stands before "ts_us=" in a line, as log collectors put it there, is passed
 * over, and so are lines of other requests and of other programs.
 */
#ifndef CTL_EXPLAIN_H
#define CTL_EXPLAIN_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

struct explain;

/* A story of the request with this id, with nothing in it yet. */
struct explain *explain_new(const char *request_id);
void explain_free(struct explain *explain);

/* Take all of the request's lines out of the stream. */
void explain_read(struct explain *explain, FILE *stream);

/* Lines taken so far. */
uint32_t explain_count(const struct explain *explain);

/*
 * The story for g_free(): a line an event in the order of the nodes' clocks,
 * with the milliseconds since the first one, then whether the request ran.
 */
char *explain_format(const struct explain *explain);

#ifdef __cplusplus
}
#endif

#endif
