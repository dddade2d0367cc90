/*
 * platform - interface to the platform's services
 *
 * Tables of versioned rows, changed by compare-and-set, and the list of live
 * and leaving VMs. Each call may block up to the adapter's timeout.
 * RESULT_UNSETTLED means that a write may have taken effect; read the row back
 * before relying on either outcome.
 */
#ifndef PORTS_PLATFORM_H
#define PORTS_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct platform;

struct platform_row {
	uint64_t version; /* 0: the row does not exist */
	char *value; /* NUL-terminated, owned by the row; NULL if absent */
};

enum vm_state {
	VM_UNKNOWN, /* not in the list */
	VM_LIVE,
	VM_LEAVING,
};

struct platform_vm {
	char *address; /* IP address as text, owned by the list */
	enum vm_state state;
};

struct platform_vm_list {
	struct platform_vm *vms;
	uint32_t count;
};

struct platform_vtable {
	/* Read a row. RESULT_PLATFORM_UNAVAILABLE without a valid answer. */
	bool (*read)(struct platform *platform, const char *table,
		     const char *key, struct platform_row *row, GError **error);
	/*
	 * Write if the row's version is expected_version (0: absent) and set
	 * *new_version. RESULT_CONFLICT if the row has another version,
	 * RESULT_OUT_OF_RANGE if the value exceeds CONFIG_MAX_BYTES,
	 * RESULT_PLATFORM_UNAVAILABLE if the write did not take effect,
	 * RESULT_UNSETTLED if it may have.
	 */
	bool (*write)(struct platform *platform, const char *table,
		      const char *key, const char *value,
		      uint64_t expected_version, uint64_t *new_version,
		      GError **error);
	/* Read the list of VMs, which may be out of date. */
	bool (*list_vms)(struct platform *platform,
			 struct platform_vm_list *list, GError **error);
};

struct platform {
	const struct platform_vtable *vtable;
};

static inline bool platform_read(struct platform *platform, const char *table,
				 const char *key, struct platform_row *row,
				 GError **error)
{
	return platform->vtable->read(platform, table, key, row, error);
}

static inline bool platform_write(struct platform *platform, const char *table,
				  const char *key, const char *value,
				  uint64_t expected_version,
				  uint64_t *new_version, GError **error)
{
	return platform->vtable->write(platform, table, key, value,
				       expected_version, new_version, error);
}

static inline bool platform_list_vms(struct platform *platform,
				     struct platform_vm_list *list,
				     GError **error)
{
	return platform->vtable->list_vms(platform, list, error);
}

static inline void platform_row_release(struct platform_row *row)
{
	g_free(row->value);
	row->value = NULL;
	row->version = 0;
}

static inline void platform_vm_list_release(struct platform_vm_list *list)
{
	uint32_t i;

	for (i = 0; i < list->count; i++)
		g_free(list->vms[i].address);
	g_free(list->vms);
	list->vms = NULL;
	list->count = 0;
}

#ifdef __cplusplus
}
#endif

#endif
