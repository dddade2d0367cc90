/*
 * wire - reading and writing on streams of the event loop
 */
#ifndef EDGE_WIRE_H
#define EDGE_WIRE_H

#include <glib.h>
#include <uv.h>

#ifdef __cplusplus
extern "C" {
#endif

/* The loop reads into one buffer, which is free again after each read. */
void wire_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);

typedef void (*wire_written)(void *context, int status);

/*
 * Write the text, taking it over. written (may be NULL) is called once, later;
 * context must live until then, or until the stream is released.
 */
void wire_write(uv_stream_t *stream, GString *text, wire_written written,
		void *context);

#ifdef __cplusplus
}
#endif

#endif
