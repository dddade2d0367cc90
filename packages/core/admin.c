#include "core/admin.h"

#include <jansson.h>
#include <string.h>

#include "core/admin_json.h"

static bool bad_request(GError **error, const char *message)
{
	g_set_error_literal(error, RESULT_ERROR, RESULT_BAD_REQUEST, message);
	return false;
}

/* Copy a JSON string; false if it is none or doesn't fit size. */
static bool read_text(const json_t *value, char *text, size_t size)
{
	const char *string = json_string_value(value);

	return string && g_strlcpy(text, string, size) < size;
}

static bool read_member(struct admin_request *request, const char *member,
			json_t *value, GError **error)
{
	if (!strcmp(member, "sentence"))
		return read_text(value, request->sentence,
				 sizeof(request->sentence)) ||
		       bad_request(error, "sentence: must be a text of at "
					  "most 1024 bytes");
	if (!strcmp(member, "id"))
		return (read_text(value, request->id, sizeof(request->id)) &&
			query_id_is_valid(request->id)) ||
		       bad_request(error, "id: must be 1 to 127 of "
					  "A-Z a-z 0-9 . _ -");
	if (!strcmp(member, "expect")) {
		request->has_expected_version = true;
		request->expected_version = (uint64_t)json_integer_value(value);
		return (json_is_integer(value) &&
			json_integer_value(value) >= 0) ||
		       bad_request(error, "expect: must be a version");
	}
	if (!strcmp(member, "document")) {
		if (!json_is_object(value))
			return bad_request(error,
					   "document: must be an object");
		request->document = json_dumps(value, JSON_COMPACT);
		return true;
	}
	return bad_request(error, "only sentence, id, expect and document are "
				  "known");
}

static bool read_members(struct admin_request *request, json_t *root,
			 GError **error)
{
	const char *member;
	json_t *value;

	if (!json_is_object(root))
		return bad_request(error, "the body must be an object");
	json_object_foreach (root, member, value)
		if (!read_member(request, member, value, error))
			return false;
	if (!json_object_get(root, "sentence"))
		return bad_request(error, "sentence: must be there");
	return true;
}

bool admin_request_parse(const char *body, size_t len,
			 struct admin_request *request, GError **error)
{
	json_error_t json_error;
	json_t *root;
	bool ok;

	memset(request, 0, sizeof(*request));
	if (len > ADMIN_REQUEST_MAX_BYTES)
		return bad_request(error, "the body is too large");
	root = json_loadb(body, len, JSON_REJECT_DUPLICATES, &json_error);
	if (!root) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_REQUEST,
			    "the body is not JSON: line %d, column %d: %s",
			    json_error.line, json_error.column,
			    json_error.text);
		return false;
	}
	ok = read_members(request, root, error);
	json_decref(root);
	if (!ok)
		admin_request_release(request);
	return ok;
}

void admin_request_release(struct admin_request *request)
{
	g_free(request->document);
	request->document = NULL;
}

static json_t *parse_document(const char *text, GError **error)
{
	json_error_t json_error;
	json_t *document;

	document = json_loads(text, JSON_REJECT_DUPLICATES, &json_error);
	if (!document)
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "document: line %d, column %d: %s", json_error.line,
			    json_error.column, json_error.text);
	return document;
}

char *admin_request_format(const struct admin_request *request, GError **error)
{
	json_t *document = NULL;
	json_t *root;

	if (request->document) {
		document = parse_document(request->document, error);
		if (!document)
			return NULL;
	}
	root = json_object();
	json_object_set_new(root, "sentence",
			    admin_json_text(request->sentence));
	if (*request->id)
		json_object_set_new(root, "id", admin_json_text(request->id));
	if (request->has_expected_version)
		json_object_set_new(
			root, "expect",
			admin_json_number(request->expected_version));
	if (document)
		json_object_set_new(root, "document", document);
	return admin_json_to_text(root);
}

char *admin_answer_error(enum result code, const char *message,
			 uint64_t retry_after_us)
{
	json_t *root = admin_json_new_answer(code, message);

	if (retry_after_us)
		json_object_set_new(root, "retry_after_us",
				    admin_json_number(retry_after_us));
	return admin_json_to_text(root);
}

char *admin_answer_command(uint64_t version, const char *command_id,
			   const char *message)
{
	json_t *root = admin_json_new_answer(RESULT_OK, message);

	json_object_set_new(root, "id", admin_json_text(command_id));
	json_object_set_new(root, "version", admin_json_number(version));
	return admin_json_to_text(root);
}
