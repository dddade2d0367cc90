#include "edge/admin_internal.h"

#include <math.h>

#include "core/admin_json.h"
#include "core/room.h"
#include "core/result.h"

static const char *const columns[] = {
	"of",
	"name",
	"per_s",
	"own_per_s",
	"served_permille",
	"factor_permille",
	"allowed_wait_us",
	"queue_late",
	"too_late",
	"all_full",
};

/* Values of a row besides its kind and name; NaN: none. */
struct row {
	double per_s;
	double own_per_s;
	double served;
	double factor;
	double allowed_wait_us;
	const uint64_t *rejected;
};

static json_t *permille_or_null(double share)
{
	return admin_json_number_or_null(!isnan(share),
					 (uint64_t)lround(share * 1000));
}

static json_t *real_or_null(double value)
{
	return isnan(value) ? json_null() : json_real(value);
}

static void add_row(struct admin_table *table, const char *kind,
		    const char *name, const struct row *row)
{
	json_t *const values[] = {
		admin_json_text(kind),
		admin_json_text(name),
		json_real(row->per_s),
		real_or_null(row->own_per_s),
		permille_or_null(row->served),
		permille_or_null(row->factor),
		real_or_null(row->allowed_wait_us),
		admin_json_number(row->rejected[ROOM_QUEUE_LATE]),
		admin_json_number(row->rejected[ROOM_TOO_LATE]),
		admin_json_number(row->rejected[ROOM_ALL_FULL]),
	};

	ADMIN_TABLE_ADD(table, columns, values);
}

static void add_service(struct admin_table *table, const char *service,
			const struct room_view *view)
{
	uint64_t rejected[ROOM_REJECTIONS] = { 0 };
	const struct row row = {
		.per_s = view->all_per_s,
		.own_per_s = view->own_per_s,
		.served = view->served_share,
		.factor = view->late_factor,
		.allowed_wait_us = NAN,
		.rejected = rejected,
	};
	uint32_t level;
	uint32_t i;

	for (level = 0; level < ROOM_LEVELS; level++)
		for (i = 0; i < ROOM_REJECTIONS; i++)
			rejected[i] += view->rejected[level][i];
	add_row(table, "service", service, &row);
}

/* The priorities for which requests have come. */
static void add_priorities(struct admin_table *table, struct room *room,
			   const struct room_view *view, uint64_t now_us)
{
	uint32_t level;

	for (level = 0; level < ROOM_LEVELS; level++) {
		const struct row row = {
			.per_s = view->per_s[level],
			.own_per_s = view->own_level_per_s[level],
			.served = NAN,
			.factor = 1 - room_higher_share(room, level, now_us),
			.allowed_wait_us = view->allowed_wait_us[level],
			.rejected = view->rejected[level],
		};
		char *name = g_strdup_printf("%u", level);

		if (row.per_s > 0 || !isnan(row.allowed_wait_us))
			add_row(table, "priority", name, &row);
		g_free(name);
	}
}

static char *account_name(const struct edge *edge, uint32_t hash)
{
	const struct account_table *accounts = edge->routes->accounts;
	GHashTableIter iter;
	gpointer value;

	if (accounts)
		g_hash_table_iter_init(&iter, accounts->by_name);
	while (accounts && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct account *account = value;

		if (account->hash == hash)
			return g_strdup(account->name);
	}
	return g_strdup_printf("%08x", hash);
}

static void add_accounts(struct admin_table *table, const struct edge *edge,
			 struct room *room, uint64_t now_us)
{
	GArray *views = room_account_views(room, now_us);
	guint i;

	for (i = 0; i < views->len; i++) {
		const struct room_account_view *view =
			&g_array_index(views, struct room_account_view, i);
		const struct row row = {
			.per_s = view->per_s,
			.own_per_s = NAN,
			.served = NAN,
			.factor = view->factor,
			.allowed_wait_us = NAN,
			.rejected = view->rejected,
		};
		char *name = account_name(edge, view->account);

		add_row(table, "account", name, &row);
		g_free(name);
	}
	g_array_unref(views);
}

json_t *admin_show_room(const struct edge *edge, const struct query *query,
			GError **error)
{
	struct room *room = chooser_find_room(&edge->chooser, query->service);
	struct admin_table table = ADMIN_TABLE_NEW(columns);
	uint64_t now_us = edge_now_us(edge);
	struct room_view view;

	if (!route_table_service(edge->routes, query->service)) {
		g_set_error(error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
			    "no service is named '%s'", query->service);
		json_decref(table.rows);
		return NULL;
	}
	if (room) {
		room_view(room, &view, now_us);
		add_service(&table, query->service, &view);
		add_priorities(&table, room, &view, now_us);
		add_accounts(&table, edge, room, now_us);
	}
	return admin_finish_table(edge, &table, "rows");
}
