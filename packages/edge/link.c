#include "edge/link.h"

#include <errno.h>
#include <linux/sockios.h>
#include <stddef.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "adapters/log.h"
#include "edge/wire.h"

static void on_released(uv_handle_t *handle)
{
	struct link *link = handle->data;

	message_reader_release(&link->reader);
	link->vtable->released(link);
}

static void end(struct link *link, const char *cause)
{
	link->open = false;
	link->vtable->ended(link, cause);
}

static void end_invalid(struct link *link, const char *cause)
{
	link->invalid = true;
	end(link, cause);
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer);

static void set_paused(struct link *link, bool paused)
{
	uv_stream_t *stream = (uv_stream_t *)&link->tcp;

	if (link->closing || link->paused == paused)
		return;
	link->paused = paused;
	if (paused)
		uv_read_stop(stream);
	else
		uv_read_start(stream, wire_buffer, on_read);
}

/* Counts what is read of the awaited answer; pauses where that is too much. */
static void count_bytes(struct link *link)
{
	uint64_t next_bytes = message_reader_next_bytes(&link->reader);
	bool may_read;

	if (link->closing)
		return;
	may_read = byte_account_hold(&link->account,
				     link->awaiting ? BYTE_ANSWER : BYTE_KEPT,
				     message_held_bytes(link->reader.message),
				     link->awaiting ? next_bytes : 0);
	set_paused(link, !may_read);
}

static struct link *link_of(struct byte_account *account)
{
	return (struct link *)((char *)account -
			       offsetof(struct link, account));
}

static void on_resume(struct byte_account *account)
{
	set_paused(link_of(account), false);
}

static void on_drop(struct byte_account *account)
{
	struct link *link = link_of(account);

	link->dropped = true;
	end(link, LINK_DROPPED);
}

static const struct byte_account_vtable account_events = {
	.resume = on_resume,
	.drop = on_drop,
};

/*
 * The owner of the answer may count its bytes, and close this link, during the
 * move: others that wait don't get them in between.
 */
static void take_answer(struct link *link)
{
	struct message *answer = message_reader_take(&link->reader);
	struct byte_budget *budget = link->account.budget;

	link->awaiting = false;
	message_reader_next(&link->reader, false);
	byte_budget_begin_move(budget);
	link->vtable->answered(link, answer);
	count_bytes(link);
	byte_budget_end_move(budget);
}

static void feed(struct link *link, const char *bytes, size_t length)
{
	size_t used = 0;

	while (link->awaiting && !link->closing) {
		switch (message_reader_feed(&link->reader, bytes, length,
					    &used)) {
		case MESSAGE_COMPLETE:
			bytes += used;
			length -= used;
			link->extra_bytes = length > 0;
			take_answer(link);
			if (!length)
				return;
			break;
		case MESSAGE_PARTIAL:
			return;
		case MESSAGE_BODY_TOO_LARGE:
			end_invalid(link, LINK_TOO_LARGE);
			return;
		case MESSAGE_HEAD_TOO_LARGE:
			end_invalid(link, "answer head too large");
			return;
		default:
			/* An answer that is cut off isn't an invalid one. */
			if (length)
				end_invalid(link, "malformed answer");
			else
				end(link, "malformed answer");
			return;
		}
	}
}

/*
 * UV_EOF where the other side closed the connection in order, else an error.
 * libuv reports an end for a reset as well, if it polls that together with the
 * last bytes.
 */
static int end_cause(const struct link *link)
{
	socklen_t length = sizeof(int);
	uv_os_fd_t fd;
	int error = 0;

	if (uv_fileno((const uv_handle_t *)&link->tcp, &fd))
		return UV_EBADF;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length))
		return uv_translate_sys_error(errno);
	return error ? uv_translate_sys_error(error) : UV_EOF;
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
	struct link *link = stream->data;
	bool whole_at_end = link->awaiting && link->reader.started;

	if (link->closing || !count)
		return;
	if (count > 0 && !link->awaiting) {
		end(link, "bytes without a request");
		return;
	}
	if (count > 0) {
		link->got_bytes += (uint64_t)count;
		if (link->vtable->progressed)
			link->vtable->progressed(link);
		feed(link, buffer->base, (size_t)count);
		count_bytes(link);
		return;
	}
	if (count == UV_EOF && whole_at_end)
		count = end_cause(link);
	/*
	 * An answer without a length is complete at the end of the connection,
	 * unless that indicated an error (RFC 9112, 8).
	 */
	if (count == UV_EOF && whole_at_end)
		feed(link, NULL, 0);
	if (!link->closing)
		end(link, count == UV_EOF ? "closed" : uv_err_name((int)count));
}

static void on_connected(uv_connect_t *request, int status)
{
	struct link *link = request->data;

	if (link->closing)
		return;
	if (status) {
		end(link, uv_err_name(status));
		return;
	}
	link->open = true;
	uv_tcp_nodelay(&link->tcp, 1);
	uv_read_start((uv_stream_t *)&link->tcp, wire_buffer, on_read);
	link->vtable->opened(link);
}

int link_open(struct link *link, const struct link_vtable *vtable,
	      uv_loop_t *loop, const struct endpoint *to,
	      const struct message_limits *limits)
{
	struct sockaddr_in address;

	link->vtable = vtable;
	uv_tcp_init(loop, &link->tcp);
	link->tcp.data = link;
	link->connect.data = link;
	byte_account_open(&link->account, &account_events, link->budget);
	message_reader_init(&link->reader, HTTP_RESPONSE, limits);
	uv_ip4_addr(to->address, to->port, &address);
	return uv_tcp_connect(&link->connect, &link->tcp,
			      (const struct sockaddr *)&address, on_connected);
}

static void on_written(void *context, int status, size_t bytes)
{
	struct link *link = context;

	(void)bytes;
	link->writing = false;
	if (status && !link->closing)
		end(link, uv_err_name(status));
}

/*
 * resets: when the socket is closed, also by the end of the process, the kernel
 * resets the connection and drops what isn't acknowledged. Otherwise it closes
 * in order and goes on sending.
 */
static void set_resets(struct link *link, bool resets)
{
	const struct linger linger = { .l_onoff = resets, .l_linger = 0 };
	uv_os_fd_t fd;

	if (link->resets == resets)
		return;
	if (uv_fileno((const uv_handle_t *)&link->tcp, &fd) ||
	    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger)))
		log_event(LOG_WARNING, "link-resets", "set=no resets=%s",
			  resets ? "yes" : "no");
	else
		link->resets = resets;
}

void link_send(struct link *link, GString *request, bool is_head)
{
	link_send_with_body(link, request, NULL, is_head);
}

void link_send_with_body(struct link *link, GString *request, GByteArray *body,
			 bool is_head)
{
	message_reader_next(&link->reader, is_head);
	link->awaiting = true;
	link->request_bytes = request->len + (body ? body->len : 0);
	link->got_bytes = 0;
	link->writing = true;
	set_resets(link, true);
	wire_write_with_body((uv_stream_t *)&link->tcp, request, body,
			     on_written, link);
}

const struct message *link_partial_answer(const struct link *link)
{
	const struct message *answer = link->reader.message;

	/* The status is set once the headers are complete. */
	return link->awaiting && answer && answer->status ? answer : NULL;
}

void link_get_backlog(const struct link *link, struct link_backlog *backlog)
{
	uv_os_fd_t fd;
	int unacked_bytes = 0;

	backlog->queued_bytes =
		uv_stream_get_write_queue_size((const uv_stream_t *)&link->tcp);
	if (uv_fileno((const uv_handle_t *)&link->tcp, &fd) ||
	    ioctl(fd, SIOCOUTQ, &unacked_bytes))
		unacked_bytes = 0;
	backlog->unacked_bytes = (uint64_t)unacked_bytes;
}

bool link_is_unacked(const struct link *link)
{
	struct link_backlog backlog;

	link_get_backlog(link, &backlog);
	return backlog.queued_bytes + backlog.unacked_bytes >=
	       link->request_bytes;
}

void link_close(struct link *link)
{
	if (link->closing)
		return;
	link->closing = true;
	link->open = false;
	byte_account_close(&link->account);
	set_resets(link, link->awaiting);
	uv_close((uv_handle_t *)&link->tcp, on_released);
}
