#include "core/admin_json.h"

#include <glib.h>

json_t *admin_json_number(uint64_t value)
{
	return json_integer((json_int_t)MIN(value, (uint64_t)INT64_MAX));
}

json_t *admin_json_text(const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	json_t *value = json_string(valid);

	g_free(valid);
	return value;
}

json_t *admin_json_new_answer(enum result code, const char *message)
{
	json_t *root = json_object();

	json_object_set_new(root, "result", json_integer(code));
	json_object_set_new(root, "name", json_string(result_name(code)));
	json_object_set_new(root, "message", admin_json_text(message));
	return root;
}

char *admin_json_to_text(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

json_t *admin_json_number_or_null(bool known, uint64_t value)
{
	return known ? admin_json_number(value) : json_null();
}

json_t *admin_json_boolean_or_null(bool known, bool value)
{
	return known ? json_boolean(value) : json_null();
}

json_t *admin_json_time_us_or_null(uint64_t value_us)
{
	return admin_json_number_or_null(value_us != UINT64_MAX, value_us);
}
