#include "edge/admin_internal.h"

#include <string.h>

#include "core/admin_json.h"
#include "core/admin_table.h"
#include "core/duration.h"
#include "core/hash.h"
#include "core/result.h"

/* The first route by name that leads to the service, or NULL. */
static struct route *route_to(const struct edge *edge, const char *service)
{
	struct route *found = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, edge->routes->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GPtrArray *routes = value;
		guint i;
		guint j;

		for (i = 0; i < routes->len; i++) {
			struct route *route = routes->pdata[i];

			if (route->unusable)
				continue;
			for (j = 0; j < route->services->len; j++) {
				const struct route_service *route_service =
					route->services->pdata[j];

				if (!strcmp(route_service->service, service) &&
				    (!found ||
				     strcmp(route->name, found->name) < 0))
					found = route;
			}
		}
	}
	return found;
}

/*
 * Only places of this node's region can be answered for: nodes of other regions
 * have other load reports, and latencies of their own links.
 */
static bool check_domain(const struct edge *edge, const char *domain,
			 GError **error)
{
	const char *region = edge_settings_region(&edge->settings, domain);

	if (!*region) {
		g_set_error(error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
			    "there is no place %s", domain);
		return false;
	}
	if (!strcmp(region, edge->settings.region))
		return true;
	g_set_error(error, RESULT_ERROR, RESULT_CONFLICT,
		    "%s is in region %s; ask a node there (show nodes)", domain,
		    region);
	return false;
}

static bool make_choose_query(const struct edge *edge,
			      const struct query *query,
			      struct choose_query *choose_query, GError **error)
{
	memset(choose_query, 0, sizeof(*choose_query));
	choose_query->service =
		route_table_service(edge->routes, query->service);
	if (!choose_query->service) {
		g_set_error(error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
			    "there is no service %s", query->service);
		return false;
	}
	choose_query->route = route_to(edge, query->service);
	if (!choose_query->route) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFLICT,
			    "no route goes to service %s", query->service);
		return false;
	}
	choose_query->left_us = choose_query->route->timeout_us;
	choose_query->has_object = *query->object_key != '\0';
	choose_query->object = hash_text(query->object_key);
	return true;
}

/* The choice: the best of this region, else of the others, else NULL. */
static const struct choose_view *best_of(const GArray *views)
{
	const struct choose_view *best = NULL;
	guint i;

	for (i = 0; i < views->len; i++) {
		const struct choose_view *view =
			&g_array_index(views, struct choose_view, i);

		if (view->best && (!best || view->near))
			best = view;
	}
	return best;
}

static const char *rule_of(const struct choose_view *view)
{
	if (view->block != CHOOSE_OPEN)
		return choose_block_name(view->block);
	if (view->full)
		return "full";
	if (!view->best)
		return "";
	return view->near ? "near-best" : "far-best";
}

static json_t *make_message(const struct edge *edge,
			    const struct choose_query *query,
			    const struct choose_view *best)
{
	double share = chooser_far_share(&edge->chooser, query->service->name);
	GString *text = g_string_new(NULL);
	json_t *root;

	if (!best)
		g_string_append(text, "refused: no backend server is open");
	else
		g_string_append_printf(
			text, "to %s, by route %s; %.0f%% may leave the region",
			best->backend->id, query->route->name, 100 * share);
	root = admin_json_new_answer(RESULT_OK, text->str);
	g_string_free(text, TRUE);
	return root;
}

json_t *admin_show_where(const struct edge *edge, const struct query *query,
			 GError **error)
{
	static const char *const columns[] = {
		"backend", "place", "rule", "rank",  "cost_us", "expected_us",
		"warm",	   "near",  "full", "slots", "load"
	};
	uint64_t now_us = edge_now_us(edge);
	struct admin_table table;
	struct choose_query choose_query;
	GArray *views;
	json_t *root;
	guint i;

	if (!check_domain(edge, query->from, error) ||
	    !make_choose_query(edge, query, &choose_query, error))
		return NULL;
	views = choose_explain(&edge->chooser, &choose_query, now_us);
	table = ADMIN_TABLE_NEW(columns);
	for (i = 0; i < views->len; i++) {
		const struct choose_view *view =
			&g_array_index(views, struct choose_view, i);
		const struct backend *backend = view->backend;
		bool open = view->block == CHOOSE_OPEN;
		json_t *const values[] = {
			admin_json_text(backend->id),
			admin_json_text(backend->domain),
			json_string(rule_of(view)),
			admin_json_number_or_null(open, i),
			admin_json_number_or_null(open,
						  (uint64_t)view->cost_us),
			admin_json_number_or_null(open,
						  (uint64_t)view->expected_us),
			admin_json_boolean_or_null(open, view->warm),
			admin_json_boolean_or_null(open, view->near),
			admin_json_boolean_or_null(open, view->full),
			admin_json_number(backend->slots),
			json_real(backend_load(backend, now_us)),
		};

		ADMIN_TABLE_ADD(&table, columns, values);
	}
	root = make_message(edge, &choose_query, best_of(views));
	admin_table_move_into(root, &table, edge->routes->version);
	g_array_unref(views);
	return root;
}
