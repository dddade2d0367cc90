#include "ctl/format.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#define COLUMN_GAP 2

/* Text of all cells, the header first, row by row. */
struct grid {
	GPtrArray *cells;
	size_t column_count;
	size_t *widths;
	bool *numbers; /* columns that hold numbers only */
};

static const char *text_of(const json_t *body, const char *member)
{
	const char *text = json_string_value(json_object_get(body, member));

	return text ? text : "";
}

/*
 * Failure: a control character in an answer would be carried out by the
 * operator's terminal. None is printed; a question mark stands in its place.
 */
static char *printable(char *text)
{
	char *at;

	for (at = text; *at; at++)
		if (g_ascii_iscntrl(*at))
			*at = '?';
	return text;
}

/* One decimal would show a small weight of a split as 0. */
static char *real_text(double value)
{
	if (value != 0 && fabs(value) < 1)
		return g_strdup_printf("%.3g", value);
	return g_strdup_printf("%.1f", value);
}

static char *cell_text(const json_t *value);

static char *list_text(const json_t *list)
{
	GString *text = g_string_new(NULL);
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		char *item = cell_text(json_array_get(list, i));

		if (i)
			g_string_append_c(text, ',');
		g_string_append(text, item);
		g_free(item);
	}
	if (!i)
		g_string_append_c(text, '-');
	return g_string_free(text, FALSE);
}

static char *cell_text(const json_t *value)
{
	switch (json_typeof(value)) {
	case JSON_STRING:
		return printable(g_strdup(json_string_value(value)));
	case JSON_INTEGER:
		return g_strdup_printf("%" JSON_INTEGER_FORMAT,
				       json_integer_value(value));
	case JSON_REAL:
		return real_text(json_real_value(value));
	case JSON_TRUE:
		return g_strdup("yes");
	case JSON_FALSE:
		return g_strdup("no");
	case JSON_ARRAY:
		return list_text(value);
	default:
		return g_strdup("-");
	}
}

static void add_cell(struct grid *grid, size_t column, char *text)
{
	size_t width = (size_t)g_utf8_strlen(text, -1);

	grid->widths[column] = MAX(grid->widths[column], width);
	g_ptr_array_add(grid->cells, text);
}

static void add_header(struct grid *grid, const json_t *columns)
{
	size_t i;

	for (i = 0; i < grid->column_count; i++) {
		grid->numbers[i] = true;
		add_cell(grid, i, cell_text(json_array_get(columns, i)));
	}
}

static void add_row(struct grid *grid, const json_t *columns, const json_t *row)
{
	size_t i;

	for (i = 0; i < grid->column_count; i++) {
		const char *name =
			json_string_value(json_array_get(columns, i));
		const json_t *value = json_object_get(row, name ? name : "");

		if (value && !json_is_null(value) && !json_is_number(value))
			grid->numbers[i] = false;
		add_cell(grid, i, value ? cell_text(value) : g_strdup("-"));
	}
}

static void print_cell(GString *out, const struct grid *grid, size_t column,
		       const char *text)
{
	size_t pad = grid->widths[column] - (size_t)g_utf8_strlen(text, -1);
	bool last = column + 1 == grid->column_count;

	if (grid->numbers[column])
		g_string_append_printf(out, "%*s", (int)pad, "");
	g_string_append(out, text);
	if (!grid->numbers[column] && !last)
		g_string_append_printf(out, "%*s", (int)pad, "");
	if (last)
		g_string_append_c(out, '\n');
	else
		g_string_append_printf(out, "%*s", COLUMN_GAP, "");
}

static void print_grid(GString *out, const struct grid *grid)
{
	uint32_t i;

	for (i = 0; i < grid->cells->len; i++)
		print_cell(out, grid, i % grid->column_count,
			   grid->cells->pdata[i]);
}

static void print_table(GString *out, const json_t *columns, const json_t *rows)
{
	struct grid grid = { .column_count = json_array_size(columns) };
	size_t i;

	grid.cells = g_ptr_array_new_with_free_func(g_free);
	grid.widths = g_new0(size_t, grid.column_count + 1);
	grid.numbers = g_new0(bool, grid.column_count + 1);
	add_header(&grid, columns);
	for (i = 0; i < json_array_size(rows); i++)
		add_row(&grid, columns, json_array_get(rows, i));
	print_grid(out, &grid);
	g_ptr_array_unref(grid.cells);
	g_free(grid.widths);
	g_free(grid.numbers);
}

static void print_message(GString *out, const json_t *body)
{
	const json_t *version = json_object_get(body, "version");
	const json_t *id = json_object_get(body, "id");
	char *message = printable(g_strdup(text_of(body, "message")));

	g_string_append(out, message);
	if (json_is_string(id) && json_is_integer(version))
		g_string_append_printf(
			out, " (version %" JSON_INTEGER_FORMAT ", command %s)",
			json_integer_value(version), json_string_value(id));
	g_string_append_c(out, '\n');
	g_free(message);
}

char *format_answer(const json_t *body)
{
	const json_t *columns = json_object_get(body, "columns");
	GString *out = g_string_new(NULL);

	if (json_array_size(columns))
		print_table(out, columns, json_object_get(body, "rows"));
	print_message(out, body);
	return g_string_free(out, FALSE);
}

char *format_error(const json_t *body)
{
	const json_t *retry = json_object_get(body, "retry_after_us");
	GString *out = g_string_new(NULL);

	g_string_append_printf(
		out, "%s (%" JSON_INTEGER_FORMAT "): %s", text_of(body, "name"),
		json_integer_value(json_object_get(body, "result")),
		text_of(body, "message"));
	if (json_is_integer(retry))
		g_string_append_printf(out,
				       "; come back in %" JSON_INTEGER_FORMAT
				       " us",
				       json_integer_value(retry));
	return printable(g_string_free(out, FALSE));
}
