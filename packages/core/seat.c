#include "core/seat.h"

#include <glib.h>
#include <string.h>

#define FREE_VALUE "free"

/* Minimum interval of reads while the row isn't known. */
#define READ_RETRY_US (500 * 1000ull)

/* Newest writes that a later read of the row may still confirm. */
#define WRITES_TRACKED 8

/* A free row is reserved for its preferred node for this long. */
#define FREE_GRACE_US (2 * SEAT_RENEW_US)

enum row_state {
	ROW_UNKNOWN, /* not read yet, or a write's outcome is unknown */
	ROW_ABSENT,
	ROW_FREE,
	ROW_HELD_BY_OTHER,
	ROW_HELD,
};

struct sent_write {
	uint64_t nonce; /* 0: none */
	uint64_t sent_us;
	bool acquires; /* this node didn't hold the row before */
	bool delays_admission; /* another node may have just admitted */
};

struct seat {
	char holder[SEAT_HOLDER_SIZE];

	/* The row as last read or written */
	enum row_state row_state;
	bool row_known;
	uint64_t version;
	uint64_t unchanged_since_us;
	uint64_t read_due_us;

	/* This node's writes */
	struct sent_write writes[WRITES_TRACKED];
	uint64_t nonce; /* of the newest write */
	uint64_t renew_due_us;
	uint64_t acquired_us; /* when this node acquired the row */
	bool releasing;

	/* The lease */
	bool leased;
	uint64_t lease_until_us;
	uint64_t admit_from_us;

	/*
	 * Times of the last admissions, in a ring. It never shrinks, so that
	 * all still count if the quota goes down and up within a second.
	 */
	uint64_t *admitted_us;
	uint32_t size; /* of the ring; at least the quota */
	uint32_t quota;
	uint32_t count;
	uint32_t next; /* where the next one goes */
	uint64_t newest_us;
};

static bool is_own_value(const struct seat *seat, const char *value)
{
	size_t len = strlen(seat->holder);

	return !strncmp(value, seat->holder, len) && value[len] == ' ';
}

static uint64_t nonce_of(const struct seat *seat, const char *value)
{
	return g_ascii_strtoull(value + strlen(seat->holder) + 1, NULL, 10);
}

static enum row_state row_state_of(const struct seat *seat, const char *value)
{
	if (!value)
		return ROW_ABSENT;
	if (!strcmp(value, FREE_VALUE))
		return ROW_FREE;
	return is_own_value(seat, value) ? ROW_HELD : ROW_HELD_BY_OTHER;
}

static struct sent_write *write_slot(struct seat *seat, uint64_t nonce)
{
	return &seat->writes[nonce % WRITES_TRACKED];
}

/* The row has the value of this write: the lease runs from when it was sent. */
static void extend_lease(struct seat *seat, const struct sent_write *write)
{
	uint64_t until_us = write->sent_us + SEAT_LEASE_US;

	if (write->delays_admission)
		seat->admit_from_us = write->sent_us + SEAT_WINDOW_US;
	if (write->acquires)
		seat->acquired_us = write->sent_us;
	if (!seat->leased || until_us > seat->lease_until_us)
		seat->lease_until_us = until_us;
	seat->leased = true;
	seat->renew_due_us = write->sent_us + SEAT_RENEW_US;
}

static void end_lease(struct seat *seat)
{
	seat->leased = false;
	seat->lease_until_us = 0;
}

static void request_write(struct seat *seat, uint64_t now_us,
			  struct seat_step *step)
{
	struct sent_write *write;

	seat->nonce++;
	write = write_slot(seat, seat->nonce);
	write->nonce = seat->nonce;
	write->sent_us = now_us;
	write->acquires = seat->row_state != ROW_HELD;
	write->delays_admission = seat->row_state == ROW_HELD_BY_OTHER ||
				  seat->row_state == ROW_FREE;
	step->action = SEAT_WRITE;
	step->expected_version = seat->version;
	g_snprintf(step->value, sizeof(step->value), "%s %" G_GUINT64_FORMAT,
		   seat->holder, seat->nonce);
}

/*
 * The write that frees the row may be delayed and take effect after a read that
 * still shows this node's value. A lease resumed by that read would overlap the
 * next holder's. So no earlier write gives a lease any more; a later one can
 * only succeed if this one failed.
 */
static void request_free(struct seat *seat, struct seat_step *step)
{
	memset(seat->writes, 0, sizeof(seat->writes));
	seat->nonce++;
	end_lease(seat);
	step->action = SEAT_WRITE;
	step->expected_version = seat->version;
	g_strlcpy(step->value, FREE_VALUE, sizeof(step->value));
}

static void request_read(struct seat *seat, uint64_t now_us,
			 struct seat_step *step)
{
	if (now_us < seat->read_due_us)
		return;
	seat->read_due_us = now_us + READ_RETRY_US;
	step->action = SEAT_READ;
}

/* How long the row must be unchanged before this node may acquire it. */
static uint64_t takeover_delay_us(const struct seat *seat, bool preferred)
{
	if (seat->row_state == ROW_HELD_BY_OTHER)
		return SEAT_LEASE_US + SEAT_CLOCK_DRIFT_US;
	return preferred ? 0 : FREE_GRACE_US;
}

static bool may_acquire(const struct seat *seat, bool preferred,
			uint64_t now_us)
{
	if (seat->row_state == ROW_UNKNOWN || seat->releasing)
		return false;
	return now_us >=
	       seat->unchanged_since_us + takeover_delay_us(seat, preferred);
}

static bool should_release(const struct seat *seat, bool preferred,
			   uint64_t now_us)
{
	return seat->releasing ||
	       (!preferred && now_us >= seat->acquired_us + SEAT_BORROW_MAX_US);
}

static void next_own_step(struct seat *seat, bool preferred, uint64_t now_us,
			  struct seat_step *step)
{
	if (should_release(seat, preferred, now_us))
		request_free(seat, step);
	else if (now_us >= seat->renew_due_us)
		request_write(seat, now_us, step);
}

/* Time of the n-th newest admission, with n from 1 to count. */
static uint64_t nth_newest(const struct seat *seat, uint32_t n)
{
	return seat->admitted_us[(seat->next + seat->size - n) % seat->size];
}

static void record_admission(struct seat *seat, uint64_t now_us)
{
	seat->admitted_us[seat->next] = now_us;
	seat->newest_us = now_us;
	seat->next = (seat->next + 1) % seat->size;
	if (seat->count < seat->size)
		seat->count++;
}

/* Whether the quota was admitted within the window that ends now. */
static bool is_quota_used_up(const struct seat *seat, uint64_t now_us)
{
	if (!seat->quota)
		return true;
	return seat->count >= seat->quota &&
	       now_us - nth_newest(seat, seat->quota) <= SEAT_WINDOW_US;
}

struct seat *seat_new(const char *holder, uint32_t quota_per_s)
{
	struct seat *seat;

	if (strlen(holder) >= SEAT_HOLDER_SIZE || strchr(holder, ' '))
		return NULL;
	seat = g_new0(struct seat, 1);
	g_strlcpy(seat->holder, holder, sizeof(seat->holder));
	seat_set_quota(seat, quota_per_s);
	return seat;
}

void seat_free(struct seat *seat)
{
	if (!seat)
		return;
	g_free(seat->admitted_us);
	g_free(seat);
}

uint32_t seat_quota(uint32_t cap_per_s, uint32_t rank, uint32_t count)
{
	if (rank >= count)
		return 0;
	return cap_per_s / count + (rank < cap_per_s % count ? 1 : 0);
}

void seat_set_quota(struct seat *seat, uint32_t quota_per_s)
{
	uint64_t *admitted_us;
	uint32_t i;

	seat->quota = quota_per_s;
	if (quota_per_s <= seat->size)
		return;
	admitted_us = g_new(uint64_t, quota_per_s);
	for (i = 0; i < seat->count; i++)
		admitted_us[i] = nth_newest(seat, seat->count - i);
	g_free(seat->admitted_us);
	seat->admitted_us = admitted_us;
	seat->size = quota_per_s;
	seat->next = seat->count;
}

void seat_release(struct seat *seat)
{
	seat->releasing = true;
	end_lease(seat);
}

void seat_next_step(struct seat *seat, bool preferred, uint64_t now_us,
		    struct seat_step *step)
{
	memset(step, 0, sizeof(*step));
	if (seat->row_state == ROW_HELD)
		next_own_step(seat, preferred, now_us, step);
	else if (may_acquire(seat, preferred, now_us))
		request_write(seat, now_us, step);
	else if (seat->row_state == ROW_UNKNOWN || !seat->releasing)
		request_read(seat, now_us, step);
}

/* The row has this node's value: the write with its nonce gives the lease. */
static void own_value_read(struct seat *seat, const char *value,
			   uint64_t now_us)
{
	uint64_t nonce = nonce_of(seat, value);
	const struct sent_write *write = write_slot(seat, nonce);

	seat->row_state = ROW_HELD;
	if (nonce && write->nonce == nonce) {
		if (!seat->releasing)
			extend_lease(seat, write);
		return;
	}
	/* That write may have followed another node's admissions. */
	if (seat_is_held(seat, now_us))
		return;
	seat->admit_from_us = now_us + SEAT_WINDOW_US;
	seat->acquired_us = now_us;
}

void seat_row_read(struct seat *seat, uint64_t version, const char *value,
		   uint64_t now_us)
{
	seat->read_due_us = now_us + SEAT_RENEW_US;
	if (!seat->row_known || version != seat->version)
		seat->unchanged_since_us = now_us;
	seat->row_known = true;
	seat->version = version;
	seat->row_state = row_state_of(seat, value);
	if (seat->row_state == ROW_HELD)
		own_value_read(seat, value, now_us);
	else
		end_lease(seat);
}

void seat_row_written(struct seat *seat, uint64_t version, uint64_t sent_us,
		      uint64_t now_us)
{
	struct sent_write *write = write_slot(seat, seat->nonce);
	bool is_lease = write->nonce == seat->nonce;

	if (is_lease)
		write->sent_us = sent_us;
	seat->read_due_us = now_us;
	if (!version) {
		seat->row_state = ROW_UNKNOWN;
		return;
	}
	seat->version = version;
	seat->unchanged_since_us = now_us;
	if (!is_lease) {
		seat->row_state = ROW_FREE;
		return;
	}
	if (!seat->releasing)
		extend_lease(seat, write);
	seat->row_state = ROW_HELD;
}

bool seat_is_held(const struct seat *seat, uint64_t now_us)
{
	return seat->leased && !seat->releasing &&
	       now_us < seat->lease_until_us;
}

bool seat_admit(struct seat *seat, uint64_t now_us)
{
	if (now_us < seat->newest_us)
		now_us = seat->newest_us;
	if (!seat_is_held(seat, now_us) || now_us < seat->admit_from_us ||
	    is_quota_used_up(seat, now_us))
		return false;
	record_admission(seat, now_us);
	return true;
}
