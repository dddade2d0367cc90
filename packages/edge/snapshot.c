#include "edge/snapshot.h"

/* Format version and rows. */
#define SNAPSHOT_VERSION 1
#define SNAPSHOT_TYPE "(ua(uss))"

void snapshot_begin(struct snapshot_writer *writer)
{
	g_variant_builder_init(&writer->rows, G_VARIANT_TYPE("a(uss)"));
}

void snapshot_add(struct snapshot_writer *writer,
		  const struct snapshot_row *row)
{
	g_variant_builder_add(&writer->rows, "(uss)", row->table, row->key,
			      row->value);
}

GBytes *snapshot_end(struct snapshot_writer *writer)
{
	GVariant *variant = g_variant_ref_sink(
		g_variant_new(SNAPSHOT_TYPE, SNAPSHOT_VERSION, &writer->rows));
	GBytes *bytes = g_variant_get_data_as_bytes(variant);

	g_variant_unref(variant);
	return bytes;
}

static void visit_rows(GVariantIter *rows, snapshot_visitor visitor,
		       void *context)
{
	struct snapshot_row row;

	while (g_variant_iter_next(rows, "(u&s&s)", &row.table, &row.key,
				   &row.value))
		visitor(context, &row);
}

bool snapshot_read(const void *bytes, size_t length, snapshot_visitor visitor,
		   void *context)
{
	GVariantIter *rows;
	GVariant *variant;
	guint32 version;
	gpointer copy;
	bool good;

	if (!length)
		return false;
	copy = g_memdup2(bytes, length);
	variant = g_variant_ref_sink(
		g_variant_new_from_data(G_VARIANT_TYPE(SNAPSHOT_TYPE), copy,
					length, FALSE, g_free, copy));
	good = g_variant_is_normal_form(variant);
	if (good) {
		g_variant_get(variant, SNAPSHOT_TYPE, &version, &rows);
		good = version == SNAPSHOT_VERSION;
		if (good)
			visit_rows(rows, visitor, context);
		g_variant_iter_free(rows);
	}
	g_variant_unref(variant);
	return good;
}
