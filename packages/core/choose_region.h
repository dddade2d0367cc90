/*
 * choose_region - which region a choice takes its server from
 *
 * Connects a node's tables with region_plan and region_flow. Internal to
 * choose.
 */
#ifndef CORE_CHOOSE_REGION_H
#define CORE_CHOOSE_REGION_H

#include "core/choose.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Brings occupancy and plan of a coordinating service up to date. */
void choose_region_update(struct chooser *chooser,
			  const struct choose_query *query, uint64_t now_us);

struct region_flow *choose_region_flow(struct chooser *chooser,
				       const char *service);

/* has_near: a server of this region can take the request. */
struct region_flow_request
choose_region_request(const struct chooser *chooser,
		      const struct choose_query *query, bool prefers_to_leave,
		      bool has_near, uint64_t now_us);

/* Where the request goes if it leaves; NULL: to any region. */
const char *choose_region_destination(const struct chooser *chooser,
				      const struct choose_query *query);

#ifdef __cplusplus
}
#endif

#endif
