/*
 * fake_fleet - many stand-ins for backend servers in one process
 *
 * They share one run book and one log. The control address takes
 *
 *     POST /control  {"backend":"historia-*", FAULTS…}
 *                    faults of fake_backend.h for all whose names match
 *     GET /control   {"backends":[…],"services":[{"service","ids","doubled"}]}
 *
 * The fleet is described by lines of words; a "#" starts a comment:
 *
 *     NAME SERVICE ADDRESS:PORT SLOTS SERVICE_US STRENGTH_PERMILLE
 */
#ifndef STANDINS_FAKE_FLEET_H
#define STANDINS_FAKE_FLEET_H

#include <glib.h>

#include "standins/fake_backend.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fake_fleet;

/* Read one line over the spec's defaults; false where it is malformed. */
bool fake_fleet_parse_line(const char *line, struct fake_backend_spec *spec);

struct fake_fleet *fake_fleet_open(const struct standin_endpoint *control,
				   struct event_log *log, GError **error);
void fake_fleet_close(struct fake_fleet *fleet);

/* Add and start a backend server. */
bool fake_fleet_add(struct fake_fleet *fleet,
		    const struct fake_backend_spec *spec, GError **error);

#ifdef __cplusplus
}
#endif

#endif
