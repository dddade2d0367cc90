/*
 * relay - a TCP proxy on loopback that harms what passes through it
 *
 * It stands for the network between two programs: bytes pass unchanged until a
 * harm is set, which strikes open connections and, but for RELAY_RESET and
 * RELAY_STALE, new ones as well.
 */
#ifndef STANDINS_RELAY_H
#define STANDINS_RELAY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "core/endpoint.h"

#ifdef __cplusplus
extern "C" {
#endif

struct relay;

enum relay_harm {
	RELAY_PASS,
	RELAY_DELAY, /* bytes come RELAY_DELAY_MS later, each way */
	RELAY_CUT, /* bytes are lost both ways, nothing is closed */
	RELAY_CUT_THERE, /* lost towards the target only */
	RELAY_CUT_BACK, /* lost towards the caller only */
	RELAY_RESET, /* open connections are reset, once; new ones pass */
	RELAY_STALE, /* open connections are silent for good; new ones pass */
	RELAY_NARROW, /* bytes come back at a rate; see relay_narrow() */
};

#define RELAY_DELAY_MS 150

/* Connections to at (port 0: any) go on to the target; NULL on failure. */
struct relay *relay_open(uv_loop_t *loop, const struct endpoint *at,
			 const struct endpoint *to);
/* The memory is freed once the loop has turned. */
void relay_close(struct relay *relay);
const struct endpoint *relay_at(const struct relay *relay);

void relay_set(struct relay *relay, enum relay_harm harm);

/*
 * Set RELAY_NARROW: all connections together get so many bytes a second towards
 * the caller, in turn, as over a VM's link. What a closed one hasn't got yet is
 * dropped.
 */
void relay_narrow(struct relay *relay, uint64_t bytes_per_s);

/*
 * Open connections from this address are reset; or fall silent as on a link
 * that loses all packets, until silent is false, and then go on.
 */
void relay_reset_caller(struct relay *relay, const char *address);
void relay_silence_caller(struct relay *relay, const char *address,
			  bool silent);

/* Connections open through it. */
uint32_t relay_connections(const struct relay *relay);

#ifdef __cplusplus
}
#endif

#endif
