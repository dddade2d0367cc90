/*
 * document - a configuration document of a wanted size
 *
 * Nodes, backend servers and blocks are dealt to the places in turn, places to
 * the regions; each block is a /24 from 10.0.0.0 up.
 */
#ifndef CAPACITY_DOCUMENT_H
#define CAPACITY_DOCUMENT_H

#include <stdint.h>

/* The same for all nodes: each has a loopback number of its own. */
#define DOCUMENT_HTTP_PORT 8080
#define DOCUMENT_PEER_PORT 8081
#define DOCUMENT_BACKEND_PORT 9000

#define DOCUMENT_ADDRESS_SIZE 16

struct document_size {
	uint32_t nodes;
	uint32_t places;
	uint32_t regions;
	uint32_t services;
	uint32_t backends; /* of each service at each place */
	uint32_t blocks;
	uint32_t shifts;
};

/* JSON text for g_free(). */
char *document_make(const struct document_size *size);

/* Addresses and names that the document uses, by index. */
void document_node_address(uint32_t index, char *address);
void document_node_name(uint32_t index, char *name);
void document_backend_address(uint32_t index, char *address);
void document_backend_name(uint32_t index, char *name);
void document_place_name(uint32_t index, char *name);
void document_service_name(uint32_t index, char *name);

#endif
