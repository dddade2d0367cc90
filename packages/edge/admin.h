/*
 * admin - answers operators' queries and commands
 *
 * Runs sentences of the operators' language (docs/LANGUAGE.md) against this
 * node's state and returns it with its age. Queries change nothing. Of the
 * commands only "quarantine" and "release" are carried out; the others are
 * refused with a hint at who can do it, since the desired state is written by
 * the platform's operator only. docs/API.md describes the JSON.
 */
#ifndef EDGE_ADMIN_H
#define EDGE_ADMIN_H

#include "core/result.h"
#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Carry out the body of POST /v1/command, length bytes. Returns the answer's
 * JSON text, to free by g_free(); *result determines the HTTP status.
 */
char *admin_command(struct edge *edge, const char *body, size_t length,
		    enum result *result);

#ifdef __cplusplus
}
#endif

#endif
