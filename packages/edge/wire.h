/*
 * wire - reading from and writing to streams of the event loop
 */
#ifndef EDGE_WIRE_H
#define EDGE_WIRE_H

#include <glib.h>
#include <uv.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Allocation callback of uv_read_start(): one static buffer for all streams,
 * valid during the read callback only.
 */
void wire_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);

/* bytes: those of the whole write. */
typedef void (*wire_written)(void *context, int status, size_t bytes);

/*
 * Writes the text and takes ownership of it. written (may be NULL) is called
 * once, at once where the write can't start; context must live until then, or
 * until the stream's close callback.
 */
void wire_write(uv_stream_t *stream, GString *text, wire_written written,
		void *context);

/*
 * The same, followed by the body, which is kept alive and must not change until
 * then.
 */
void wire_write_with_body(uv_stream_t *stream, GString *text, GByteArray *body,
			  wire_written written, void *context);

#ifdef __cplusplus
}
#endif

#endif
