#include "adapters/peer_rpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/peer_codec.h"
#include "adapters/peer_record.h"
#include "core/result.h"

#define US_PER_MS 1000

struct peer_client {
	char address[NAME_SIZE];
	uint16_t port;
	int64_t timeout_us;
	pthread_mutex_t lock; /* one call at a time; guards the rest */
	int fd; /* -1: no connection */
	uint32_t xid;
};

struct peer_client *peer_client_new(const char *address, uint16_t port,
				    uint64_t timeout_us)
{
	struct peer_client *client = g_new0(struct peer_client, 1);

	g_strlcpy(client->address, address, sizeof(client->address));
	client->port = port;
	client->timeout_us = (int64_t)timeout_us;
	client->fd = -1;
	pthread_mutex_init(&client->lock, NULL);
	return client;
}

static void disconnect(struct peer_client *client)
{
	if (client->fd >= 0)
		close(client->fd);
	client->fd = -1;
}

void peer_client_free(struct peer_client *client)
{
	if (!client)
		return;
	disconnect(client);
	pthread_mutex_destroy(&client->lock);
	g_free(client);
}

static bool fail(const struct peer_client *client, const char *step, int number,
		 GError **error)
{
	g_set_error(error, RESULT_ERROR, RESULT_UNREACHABLE,
		    "peer %s:%u: %s%s%s", client->address, client->port, step,
		    number ? ": " : "", number ? g_strerror(number) : "");
	return false;
}

/* Wait for the events until the deadline; 0 or the errno of the failure. */
static int wait_for(int fd, short events, int64_t deadline_us)
{
	struct pollfd ready = { .fd = fd, .events = events };

	for (;;) {
		int64_t left_us = deadline_us - g_get_monotonic_time();
		int count;

		if (left_us <= 0)
			return ETIMEDOUT;
		count = poll(&ready, 1, (int)(left_us / US_PER_MS) + 1);
		if (count > 0)
			return 0;
		if (count < 0 && errno != EINTR)
			return errno;
	}
}

static int start_connect(struct peer_client *client)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int on = 1;

	address.sin_port = htons(client->port);
	if (inet_pton(AF_INET, client->address, &address.sin_addr) != 1)
		return EINVAL;
	client->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (client->fd < 0)
		return errno;
	/* Calls are small; without it each would wait for the last one's ACK.
	 */
	(void)setsockopt(client->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(client->fd, (struct sockaddr *)&address, sizeof(address)))
		return errno;
	return 0;
}

static int finish_connect(struct peer_client *client, int64_t deadline_us)
{
	socklen_t size = sizeof(int);
	int failure = wait_for(client->fd, POLLOUT, deadline_us);

	if (!failure &&
	    getsockopt(client->fd, SOL_SOCKET, SO_ERROR, &failure, &size))
		failure = errno;
	return failure;
}

/*
 * Between calls nothing comes from the server, but for the end of a connection
 * that was idle too long or whose server restarted. A call on it would be lost
 * without need, so it is closed and a new one opened.
 */
static void drop_ended_connection(struct peer_client *client)
{
	struct pollfd ready = { .fd = client->fd, .events = POLLIN };

	if (client->fd >= 0 && poll(&ready, 1, 0) != 0)
		disconnect(client);
}

static bool make_connection(struct peer_client *client, int64_t deadline_us,
			    GError **error)
{
	int failure;

	drop_ended_connection(client);
	if (client->fd >= 0)
		return true;
	failure = start_connect(client);
	if (failure == EINPROGRESS)
		failure = finish_connect(client, deadline_us);
	return !failure || fail(client, "connect", failure, error);
}

static bool send_call(struct peer_client *client, const GByteArray *call,
		      int64_t deadline_us, GError **error)
{
	size_t sent = 0;

	while (sent < call->len) {
		ssize_t length = send(client->fd, call->data + sent,
				      call->len - sent, MSG_NOSIGNAL);
		int failure = length < 0 ? errno : 0;

		if (length > 0)
			sent += (size_t)length;
		if (failure == EAGAIN)
			failure = wait_for(client->fd, POLLOUT, deadline_us);
		if (failure && failure != EINTR)
			return fail(client, "send", failure, error);
	}
	return true;
}

static bool receive_answer(struct peer_client *client,
			   struct peer_record *answer, int64_t deadline_us,
			   GError **error)
{
	for (;;) {
		int failure = wait_for(client->fd, POLLIN, deadline_us);

		if (failure)
			return fail(client, "receive", failure, error);
		switch (peer_record_receive(answer, client->fd)) {
		case PEER_RECORD_COMPLETE:
			return true;
		case PEER_RECORD_BROKEN:
			return fail(client, "connection ended", 0, error);
		default:
			break;
		}
	}
}

/* One call under the lock; the answer is for peer_record_release(). */
static bool call_locked(struct peer_client *client, const GByteArray *call,
			struct peer_record *answer, GError **error)
{
	int64_t deadline_us = g_get_monotonic_time() + client->timeout_us;

	peer_record_init(answer, PEER_ANSWER_MAX_BYTES);
	return make_connection(client, deadline_us, error) &&
	       send_call(client, call, deadline_us, error) &&
	       receive_answer(client, answer, deadline_us, error);
}

/*
 * Let go of a call and of the lock. The late answer to a call that was given up
 * would be read as the next call's: no connection outlives a failure.
 */
static void end_call(struct peer_client *client, GByteArray *call,
		     struct peer_record *answer, bool ok)
{
	if (!ok)
		disconnect(client);
	pthread_mutex_unlock(&client->lock);
	peer_record_release(answer);
	g_byte_array_free(call, TRUE);
}

bool peer_client_exchange(struct peer_client *client,
			  const struct peer_message *message,
			  struct peer_message *answer, GError **error)
{
	struct peer_record record;
	GByteArray *call;
	bool ok;

	memset(answer, 0, sizeof(*answer));
	pthread_mutex_lock(&client->lock);
	call = peer_encode_exchange_call(++client->xid, message);
	ok = call_locked(client, call, &record, error);
	if (ok &&
	    !peer_decode_exchange_answer(record.data, client->xid, answer))
		ok = fail(client, "malformed answer", 0, error);
	end_call(client, call, &record, ok);
	return ok;
}

bool peer_client_config(struct peer_client *client, uint64_t newer_than,
			uint64_t *version, char **text, GError **error)
{
	struct peer_record record;
	GByteArray *call;
	bool ok;

	*text = NULL;
	pthread_mutex_lock(&client->lock);
	call = peer_encode_config_call(++client->xid, newer_than);
	ok = call_locked(client, call, &record, error);
	if (ok &&
	    !peer_decode_config_answer(record.data, client->xid, version, text))
		ok = fail(client, "malformed answer", 0, error);
	end_call(client, call, &record, ok);
	return ok;
}
