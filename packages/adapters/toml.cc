#include "adapters/toml.h"

#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "core/result.h"

namespace
{

struct visit {
	toml_visitor visitor;
	void *context;
	GError **error;
};

/* A NUL within a string would cut what the C side sees of it. */
bool is_c_string(const toml::node &node)
{
	const auto *string = node.as_string();

	return string && string->get().find('\0') == std::string::npos;
}

bool is_string_array(const toml::node &node)
{
	const toml::array *array = node.as_array();

	if (!array)
		return false;
	for (const toml::node &element : *array)
		if (!is_c_string(element))
			return false;
	return true;
}

bool visit_value(const visit &visit, const char *table, const std::string &key,
		 const toml::node &node)
{
	std::vector<const char *> strings;
	toml_value value = {};

	value.table = table;
	value.key = key.c_str();
	value.line = node.source().begin.line;
	value.type = TOML_OTHER;
	if (const auto *integer = node.as_integer()) {
		value.type = TOML_INTEGER;
		value.integer = integer->get();
	} else if (is_c_string(node)) {
		value.type = TOML_STRING;
		value.string = node.as_string()->get().c_str();
	} else if (is_string_array(node)) {
		value.type = TOML_STRINGS;
		for (const toml::node &element : *node.as_array())
			strings.push_back(element.as_string()->get().c_str());
		strings.push_back(nullptr);
		value.strings = strings.data();
	}
	return visit.visitor(visit.context, &value, visit.error);
}

bool visit_root(const visit &visit, const toml::table &root)
{
	for (const auto &[key, node] : root) {
		const std::string name(key.str());
		const toml::table *table = node.as_table();

		if (!table) {
			if (!visit_value(visit, "", name, node))
				return false;
			continue;
		}
		for (const auto &[inner_key, inner] : *table) {
			const std::string inner_name(inner_key.str());

			if (!visit_value(visit, name.c_str(), inner_name,
					 inner))
				return false;
		}
	}
	return true;
}

} // namespace

bool toml_visit(const char *name, const char *text, size_t length,
		toml_visitor visitor, void *context, GError **error)
{
	try {
		const toml::table root =
			toml::parse(std::string_view(text, length));

		return visit_root({ visitor, context, error }, root);
	} catch (const toml::parse_error &e) {
		const toml::source_position &at = e.source().begin;
		const std::string what(e.description());

		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
			    "%s:%u:%u: %s", name, (unsigned)at.line,
			    (unsigned)at.column, what.c_str());
	} catch (const std::exception &e) {
		g_set_error(error, RESULT_ERROR, RESULT_INTERNAL, "%s: %s",
			    name, e.what());
	}
	return false;
}
