#include "standins/run_book.h"

#include <glib.h>
#include <pthread.h>

struct service_runs {
	GHashTable *runs; /* id to its count */
	uint64_t doubled;
};

struct run_book {
	pthread_mutex_t lock;
	GHashTable *services; /* name to struct service_runs */
};

static void service_runs_free(void *data)
{
	struct service_runs *runs = data;

	g_hash_table_unref(runs->runs);
	g_free(runs);
}

static struct service_runs *service_runs_of(struct run_book *book,
					    const char *service)
{
	struct service_runs *runs;

	runs = g_hash_table_lookup(book->services, service);
	if (runs)
		return runs;
	runs = g_new0(struct service_runs, 1);
	runs->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(book->services, g_strdup(service), runs);
	return runs;
}

struct run_book *run_book_new(void)
{
	struct run_book *book = g_new0(struct run_book, 1);

	pthread_mutex_init(&book->lock, NULL);
	book->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       service_runs_free);
	return book;
}

void run_book_free(struct run_book *book)
{
	if (!book)
		return;
	g_hash_table_unref(book->services);
	pthread_mutex_destroy(&book->lock);
	g_free(book);
}

uint32_t run_book_add(struct run_book *book, const char *service,
		      const char *id)
{
	struct service_runs *runs;
	uint32_t count;

	pthread_mutex_lock(&book->lock);
	runs = service_runs_of(book, service);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(runs->runs, id)) + 1;
	g_hash_table_insert(runs->runs, g_strdup(id), GUINT_TO_POINTER(count));
	if (count == 2)
		runs->doubled++;
	pthread_mutex_unlock(&book->lock);
	return count;
}

uint64_t run_book_ids(struct run_book *book, const char *service)
{
	uint64_t ids;

	pthread_mutex_lock(&book->lock);
	ids = g_hash_table_size(service_runs_of(book, service)->runs);
	pthread_mutex_unlock(&book->lock);
	return ids;
}

uint64_t run_book_doubled(struct run_book *book, const char *service)
{
	uint64_t doubled;

	pthread_mutex_lock(&book->lock);
	doubled = service_runs_of(book, service)->doubled;
	pthread_mutex_unlock(&book->lock);
	return doubled;
}
