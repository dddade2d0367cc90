/*
 * run_book - how often each request id ran, over all backend servers
 *
 * A run counts from its start: work that was cancelled half way may have had
 * its effect. Thread-safe.
 */
#ifndef STANDINS_RUN_BOOK_H
#define STANDINS_RUN_BOOK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct run_book;

struct run_book *run_book_new(void);
void run_book_free(struct run_book *book);

/* Count a run of the id; how often it ran with this one. */
uint32_t run_book_add(struct run_book *book, const char *service,
		      const char *id);

/* Ids of the service that ran, and that ran more than once. */
uint64_t run_book_ids(struct run_book *book, const char *service);
uint64_t run_book_doubled(struct run_book *book, const char *service);

#ifdef __cplusplus
}
#endif

#endif
