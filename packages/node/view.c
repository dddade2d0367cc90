#include "node/view.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

struct entry {
	struct peer_report report;
	uint64_t made_us; /* on our clock */
	uint64_t failed_us; /* 0: not since it spoke */
	bool answered; /* a call of ours, in this incarnation */
};

struct view {
	pthread_mutex_t lock;
	GHashTable *entries; /* by node's name */
};

static void report_copy(struct peer_report *to, const struct peer_report *from)
{
	*to = *from;
	to->services = g_memdup2(from->services,
				 from->service_count * sizeof(*from->services));
	to->leaving_backends = g_memdup2(
		from->leaving_backends,
		from->leaving_backend_count * sizeof(*from->leaving_backends));
}

static void report_release(struct peer_report *report)
{
	g_free(report->services);
	g_free(report->leaving_backends);
}

static void entry_free(gpointer data)
{
	struct entry *entry = data;

	report_release(&entry->report);
	g_free(entry);
}

static uint64_t age_of(const struct entry *entry, uint64_t now_us)
{
	return now_us > entry->made_us ? now_us - entry->made_us : 0;
}

static bool is_usable(const struct entry *entry, uint64_t now_us)
{
	return !entry->failed_us && !entry->report.leaving &&
	       age_of(entry, now_us) <= VIEW_SILENT_US;
}

struct view *view_new(void)
{
	struct view *view = g_new0(struct view, 1);

	pthread_mutex_init(&view->lock, NULL);
	view->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      entry_free);
	return view;
}

void view_free(struct view *view)
{
	g_hash_table_destroy(view->entries);
	pthread_mutex_destroy(&view->lock);
	g_free(view);
}

/*
 * Reports are passed on by others and may come late or crossed. Within an
 * incarnation the sequence decides. Between two incarnations the age does: a
 * report of the VM's former self, still going round, is older than the new one.
 */
static bool is_newer(const struct entry *known,
		     const struct peer_report *report, uint64_t made_us)
{
	if (known->report.incarnation == report->incarnation)
		return report->sequence > known->report.sequence;
	return made_us > known->made_us;
}

void view_take(struct view *view, const struct peer_report *report,
	       uint64_t now_us)
{
	uint64_t made_us = now_us - MIN(report->age_us, now_us);
	struct entry *known;
	struct entry *entry;

	pthread_mutex_lock(&view->lock);
	known = g_hash_table_lookup(view->entries, report->node);
	if (!known || is_newer(known, report, made_us)) {
		entry = g_new0(struct entry, 1);
		report_copy(&entry->report, report);
		entry->made_us = made_us;
		entry->answered = known && known->answered &&
				  known->report.incarnation ==
					  report->incarnation;
		g_hash_table_insert(view->entries, g_strdup(report->node),
				    entry);
	}
	pthread_mutex_unlock(&view->lock);
}

void view_answered(struct view *view, const char *node, uint64_t incarnation)
{
	struct entry *entry;

	pthread_mutex_lock(&view->lock);
	entry = g_hash_table_lookup(view->entries, node);
	if (entry && entry->report.incarnation == incarnation)
		entry->answered = true;
	pthread_mutex_unlock(&view->lock);
}

void view_failed(struct view *view, const char *node, uint64_t now_us)
{
	struct entry *entry;

	pthread_mutex_lock(&view->lock);
	entry = g_hash_table_lookup(view->entries, node);
	if (entry)
		entry->failed_us = now_us;
	pthread_mutex_unlock(&view->lock);
}

bool view_find(struct view *view, const char *node, uint64_t now_us,
	       struct view_node *found)
{
	struct entry *entry;

	memset(found, 0, sizeof(*found));
	found->age_us = UINT64_MAX;
	pthread_mutex_lock(&view->lock);
	entry = g_hash_table_lookup(view->entries, node);
	if (entry) {
		found->incarnation = entry->report.incarnation;
		found->ticket_epoch = entry->report.ticket_epoch;
		found->config_version = entry->report.config_version;
		found->shares_version = entry->report.shares_version;
		found->age_us = age_of(entry, now_us);
		found->leaving = entry->report.leaving;
		found->answered = entry->answered;
		found->failing = entry->failed_us != 0;
	}
	pthread_mutex_unlock(&view->lock);
	return entry != NULL;
}

bool view_is_usable(struct view *view, const char *node, uint64_t now_us)
{
	struct entry *entry;
	bool usable;

	pthread_mutex_lock(&view->lock);
	entry = g_hash_table_lookup(view->entries, node);
	usable = entry && is_usable(entry, now_us);
	pthread_mutex_unlock(&view->lock);
	return usable;
}

static const struct peer_service_report *
find_service(const struct peer_report *report, const char *service)
{
	uint32_t i;

	for (i = 0; i < report->service_count; i++)
		if (!strcmp(report->services[i].service, service))
			return &report->services[i];
	return NULL;
}

bool view_summary(struct view *view, const char *node, const char *service,
		  uint64_t now_us, struct gate_summary *summary,
		  uint64_t *age_us)
{
	const struct peer_service_report *found = NULL;
	struct entry *entry;

	pthread_mutex_lock(&view->lock);
	entry = g_hash_table_lookup(view->entries, node);
	if (entry && is_usable(entry, now_us))
		found = find_service(&entry->report, service);
	if (found) {
		*summary = found->summary;
		*age_us = age_of(entry, now_us);
	}
	pthread_mutex_unlock(&view->lock);
	return found != NULL;
}

static bool names_backend(const struct peer_report *report, const char *backend)
{
	uint32_t i;

	for (i = 0; i < report->leaving_backend_count; i++)
		if (!strcmp(report->leaving_backends[i], backend))
			return true;
	return false;
}

bool view_backend_leaving(struct view *view, const char *backend,
			  uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	bool leaving = false;

	pthread_mutex_lock(&view->lock);
	g_hash_table_iter_init(&iter, view->entries);
	while (!leaving && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		leaving = age_of(entry, now_us) <= VIEW_SILENT_US &&
			  names_backend(&entry->report, backend);
	}
	pthread_mutex_unlock(&view->lock);
	return leaving;
}

void view_fill(struct view *view, struct peer_message *message,
	       const char *but_node, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&view->lock);
	message->reports = g_renew(struct peer_report, message->reports,
				   message->report_count +
					   g_hash_table_size(view->entries));
	g_hash_table_iter_init(&iter, view->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;
		struct peer_report *report;

		/* VMs come and go under new names, for as long as we run. */
		if (age_of(entry, now_us) > VIEW_FORGET_US) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (message->report_count == PEER_MAX_REPORTS)
			break;
		if (!strcmp(entry->report.node, but_node) ||
		    age_of(entry, now_us) > VIEW_SILENT_US)
			continue;
		report = &message->reports[message->report_count++];
		report_copy(report, &entry->report);
		report->age_us = age_of(entry, now_us);
	}
	pthread_mutex_unlock(&view->lock);
}
