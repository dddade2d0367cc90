#include "edge/snapshot.h"

#define SNAPSHOT_VERSION 5

#define TABLES_TYPE "a(utuu)"
#define ROWS_TYPE "a(uss)"
#define BACKENDS_TYPE "a" HEARTBEAT_ROW_TYPE
#define EXPIRED_TYPE "as"
#define SNAPSHOT_TYPE "(u" TABLES_TYPE ROWS_TYPE BACKENDS_TYPE EXPIRED_TYPE ")"

void snapshot_begin(struct snapshot_writer *writer)
{
	g_variant_builder_init(&writer->tables, G_VARIANT_TYPE(TABLES_TYPE));
	g_variant_builder_init(&writer->rows, G_VARIANT_TYPE(ROWS_TYPE));
	g_variant_builder_init(&writer->backends,
			       G_VARIANT_TYPE(BACKENDS_TYPE));
	g_variant_builder_init(&writer->expired, G_VARIANT_TYPE(EXPIRED_TYPE));
}

void snapshot_add_table(struct snapshot_writer *writer,
			const struct snapshot_table *table)
{
	g_variant_builder_add(&writer->tables, "(utuu)", table->table,
			      (guint64)table->version.number, table->age_ms,
			      table->version.era);
}

void snapshot_add_row(struct snapshot_writer *writer,
		      const struct snapshot_row *row)
{
	g_variant_builder_add(&writer->rows, "(uss)", row->table, row->key,
			      row->value);
}

void snapshot_add_backend(struct snapshot_writer *writer,
			  const struct heartbeat_row *backend)
{
	heartbeat_row_add(&writer->backends, backend);
}

void snapshot_add_expired(struct snapshot_writer *writer, const char *id)
{
	g_variant_builder_add(&writer->expired, "s", id);
}

GBytes *snapshot_end(struct snapshot_writer *writer)
{
	GVariant *variant = g_variant_ref_sink(g_variant_new(
		SNAPSHOT_TYPE, SNAPSHOT_VERSION, &writer->tables, &writer->rows,
		&writer->backends, &writer->expired));
	GBytes *bytes = g_variant_get_data_as_bytes(variant);

	g_variant_unref(variant);
	return bytes;
}

static void visit_all(GVariant *variant, const struct snapshot_visitor *visitor,
		      void *context)
{
	struct snapshot_table table;
	struct snapshot_row row;
	struct heartbeat_row backend;
	GVariantIter *tables;
	GVariantIter *rows;
	GVariantIter *backends;
	GVariantIter *expired;
	const char *id;
	guint64 version;
	guint32 era;

	g_variant_get(variant, SNAPSHOT_TYPE, NULL, &tables, &rows, &backends,
		      &expired);
	while (g_variant_iter_next(tables, "(utuu)", &table.table, &version,
				   &table.age_ms, &era)) {
		table.version.number = version;
		table.version.era = era;
		visitor->table(context, &table);
	}
	while (g_variant_iter_next(rows, "(u&s&s)", &row.table, &row.key,
				   &row.value))
		visitor->row(context, &row);
	while (heartbeat_row_next(backends, &backend))
		visitor->backend(context, &backend);
	while (g_variant_iter_next(expired, "&s", &id))
		visitor->expired(context, id);
	g_variant_iter_free(tables);
	g_variant_iter_free(rows);
	g_variant_iter_free(backends);
	g_variant_iter_free(expired);
}

bool snapshot_read(const void *bytes, size_t length,
		   const struct snapshot_visitor *visitor, void *context)
{
	GVariant *variant;
	guint32 version = 0;
	gpointer copy;
	bool valid;

	if (!length)
		return false;
	/* GVariant needs aligned bytes; memory of the heap is. */
	copy = g_memdup2(bytes, length);
	variant = g_variant_ref_sink(
		g_variant_new_from_data(G_VARIANT_TYPE(SNAPSHOT_TYPE), copy,
					length, FALSE, g_free, copy));
	valid = g_variant_is_normal_form(variant);
	if (valid) {
		g_variant_get_child(variant, 0, "u", &version);
		valid = version == SNAPSHOT_VERSION;
	}
	if (valid)
		visit_all(variant, visitor, context);
	g_variant_unref(variant);
	return valid;
}
