/**
 * Decides when a connection is closed because its peer sends bytes that belong to no body.
 *
 * Fault pattern: a target sends informational responses, empty lines or the extension of a chunk without end.
 * The HTTP parser bounds each header, but none of these, and nothing of them reaches a reader
 * that could count. Each costs processor time until the call's time limit.
 *
 * The overhead of a response is what was read for it less its body. It may grow with the body, since each chunk
 * brings its own framing.
 */

/** Bytes of overhead that a response may have whatever its body: its head of up to 16 KB, and two reads of 64 KB that a paused connection has buffered. */
const BASE_BYTES = 262_144;
/** Bytes of overhead for each byte of the body. A chunk of one byte has five; extensions of chunks may be longer. */
const BYTES_PER_BODY_BYTE = 16;

export type ResponseOverhead = {
	/** Records bytes of the body that the parser has found. */
	readonly recordBody: (bytes: number) => void;
	/** Begins the next response of the connection, after `readBytes` bytes that were read from it. */
	readonly begin: (readBytes: number) => void;
	/** Whether the overhead is too large, after `readBytes` bytes that were read from the connection. */
	readonly isTooLarge: (readBytes: number) => boolean;
};

export const createResponseOverhead = (): ResponseOverhead => {
	let startBytes = 0;
	let bodyBytes = 0;
	return {
		recordBody(bytes) {
			bodyBytes += bytes;
		},
		begin(readBytes) {
			startBytes = readBytes;
			bodyBytes = 0;
		},
		isTooLarge: readBytes => readBytes - startBytes - bodyBytes > BASE_BYTES + (bodyBytes * BYTES_PER_BODY_BYTE),
	};
};
