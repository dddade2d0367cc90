/*
 * For node_with_cuts: connections come from the node's own address, and those
 * to backend servers go nowhere while a file says so.
 *
 *     LILACFIELD_SOURCE   the node's address
 *     LILACFIELD_CUT      the file: "INSTEAD STORE", or empty; see partition.h
 *
 * Linked with --wrap=uv_tcp_connect.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "core/endpoint.h"

int real_connect(uv_connect_t *request, uv_tcp_t *tcp,
		 const struct sockaddr *to,
		 uv_connect_cb done) __asm__("__real_uv_tcp_connect");
int cut_connect(uv_connect_t *request, uv_tcp_t *tcp, const struct sockaddr *to,
		uv_connect_cb done) __asm__("__wrap_uv_tcp_connect");

static bool read_cut(struct endpoint *instead, struct endpoint *store)
{
	const char *path = getenv("LILACFIELD_CUT");
	FILE *file = path ? fopen(path, "r") : NULL;
	char first[64] = "";
	char second[64] = "";
	bool cut;

	if (!file)
		return false;
	cut = fscanf(file, "%63s %63s", first, second) == 2 &&
	      endpoint_parse(first, instead) && endpoint_parse(second, store);
	fclose(file);
	return cut;
}

/* Servers stand at the store's address, at other ports. */
static void divert(struct sockaddr_in *to)
{
	struct endpoint instead;
	struct endpoint store;
	char address[INET_ADDRSTRLEN];

	if (!read_cut(&instead, &store) ||
	    uv_ip4_name(to, address, sizeof(address)))
		return;
	if (!strcmp(address, store.address) &&
	    ntohs(to->sin_port) != store.port)
		uv_ip4_addr(instead.address, instead.port, to);
}

int cut_connect(uv_connect_t *request, uv_tcp_t *tcp, const struct sockaddr *to,
		uv_connect_cb done)
{
	const char *source = getenv("LILACFIELD_SOURCE");
	struct sockaddr_in address = *(const struct sockaddr_in *)to;
	struct sockaddr_in from;

	divert(&address);
	if (source && !uv_ip4_addr(source, 0, &from))
		uv_tcp_bind(tcp, (struct sockaddr *)&from, 0);
	return real_connect(request, tcp, (struct sockaddr *)&address, done);
}
