/*
 * unread_server - a server whose connections are read only when a test says so
 *
 * Its receive buffer is small, so the rest of a larger request stays with the
 * sender's kernel until the test reads, as it does behind a partition.
 */
#ifndef TESTS_EDGE_UNREAD_SERVER_H
#define TESTS_EDGE_UNREAD_SERVER_H

#include <string>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

class UnreadServer
{
      public:
	/* Of a request that doesn't fit its receive buffer. */
	static constexpr size_t LARGE_BYTES = 100 * 1000;

	UnreadServer()
	{
		struct sockaddr_in any = {};
		socklen_t length = sizeof(any);
		int receive_bytes = 4096;

		listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
		any.sin_family = AF_INET;
		any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(listener_, (struct sockaddr *)&any, sizeof(any));
		listen(listener_, 16);
		getsockname(listener_, (struct sockaddr *)&any, &length);
		port = ntohs(any.sin_port);
	}
	~UnreadServer()
	{
		if (connection_ >= 0)
			close(connection_);
		for (int waiting : waiting_)
			close(waiting);
		close(listener_);
	}
	/* Take the next connection, in place of the one before. */
	bool accept_next()
	{
		int accepted =
			accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);

		if (accepted < 0)
			return false;
		if (connection_ >= 0)
			close(connection_);
		connection_ = accepted;
		got.clear();
		return true;
	}
	/*
	 * Take the first of the connections that has unread bytes, in place of
	 * the one before. Probes bring none; those that wait stay open.
	 */
	bool accept_request()
	{
		int accepted;

		while ((accepted = accept4(listener_, nullptr, nullptr,
					   SOCK_NONBLOCK)) >= 0)
			waiting_.push_back(accepted);
		for (size_t i = 0; i < waiting_.size(); i++) {
			char byte;

			if (recv(waiting_[i], &byte, 1, MSG_PEEK) <= 0)
				continue;
			if (connection_ >= 0)
				close(connection_);
			connection_ = waiting_[i];
			waiting_.erase(waiting_.begin() + (ptrdiff_t)i);
			got.clear();
			return true;
		}
		return false;
	}
	/* Read what is there; false once the connection has ended. */
	bool read_more()
	{
		char bytes[4096];
		ssize_t count;

		while ((count = read(connection_, bytes, sizeof(bytes))) > 0)
			got.append(bytes, (size_t)count);
		return count < 0 && errno == EAGAIN;
	}
	/* Read what is there, so many bytes at most. */
	void read_some(size_t most)
	{
		std::string bytes(most, 0);
		size_t length = 0;
		ssize_t count;

		while (length < most &&
		       (count = read(connection_, &bytes[length],
				     most - length)) > 0)
			length += (size_t)count;
		got.append(bytes, 0, length);
	}
	/* Take connections, and read, until one has brought a head. */
	bool take_head()
	{
		accept_next();
		read_more();
		return got.find("\r\n\r\n") != std::string::npos;
	}
	/* Close the sending side only. */
	void shut_down()
	{
		shutdown(connection_, SHUT_WR);
	}
	/* Read until the connection ends, for 500 ms at most. */
	void read_to_end()
	{
		for (int i = 0; i < 50 && read_more(); i++)
			usleep(10000);
	}
	void write_answer(const std::string &text)
	{
		ASSERT_EQ((ssize_t)text.size(),
			  write(connection_, text.data(), text.size()));
	}
	/* Close the connection, in order once all is read, or by a reset. */
	void end(bool by_reset)
	{
		const struct linger linger = { by_reset, 0 };

		setsockopt(connection_, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
		close(connection_);
		connection_ = -1;
	}
	std::string got; /* on the latest connection */
	uint16_t port;

      private:
	int listener_;
	int connection_ = -1;
	std::vector<int> waiting_; /* accepted, without a byte so far */
};

#endif
