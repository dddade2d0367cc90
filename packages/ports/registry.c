#include "ports/registry.h"

#include <string.h>

void registry_call_release(struct registry_call *call)
{
	g_free(call->target);
	g_free(call->body);
	memset(call, 0, sizeof(*call));
}

void registry_rows_release(struct registry_rows *rows)
{
	guint i;

	for (i = 0; rows->rows && i < rows->rows->len; i++) {
		struct registry_row *row =
			&g_array_index(rows->rows, struct registry_row, i);

		g_free(row->key);
		g_free(row->value);
	}
	if (rows->rows)
		g_array_unref(rows->rows);
	memset(rows, 0, sizeof(*rows));
}

void backend_record_release(struct backend_record *record)
{
	g_free(record->service);
	g_free(record->domain);
	memset(record, 0, sizeof(*record));
}

void member_record_release(struct member_record *record)
{
	g_free(record->domain);
	g_free(record->region);
	memset(record, 0, sizeof(*record));
}

void quarantine_record_release(struct quarantine_record *record)
{
	g_free(record->request);
}
