/**
 * Finds the head of another response inside a response body. A target that sends a response
 * twice may write the duplicate into the middle of the next response on the same connection. If
 * the next response has a content length, or ends with its connection, the HTTP parser treats
 * the duplicate as part of the body. In a chunked body, the parser reports a protocol error.
 */
import {Buffer} from 'node:buffer';

const HTTP_PREFIX = 'HTTP/1.';
/** Bytes of a head that are searched for the id header. The heads of targets' responses have about 300 bytes. */
const MAX_HEAD_BYTES = 4096;
/** Least number of bytes of `HTTP/1.` that count as the start of a head at the end of a body. Fewer bytes may be ordinary text. */
const MIN_PARTIAL_BYTES = 5;

/** Matches a complete status line. */
const STATUS_LINE = /^HTTP\/1\.[01] \d{3}[^\r\n]*\r\n/v;
/** Matches the beginning of a head and nothing else: an incomplete status line, or a status line with header lines. */
const PARTIAL_HEAD = /^HTTP\/1\.(?:[01](?: \d{0,3}| \d{3} [A-Za-z ]{0,24}\r?| \d{3} [A-Za-z ]{0,24}\r\n(?:[\w\-]+:[^\r\n]*\r\n)*[^\r\n]*\r?)?)?$/v;

export type ForeignHeadScan = {
	/** Scans the next chunk of a body and returns whether it contains the head of another response. */
	readonly onChunk: (chunk: Uint8Array) => boolean;
	/** Whether the body ends inside an incomplete head. */
	readonly endsInsideHead: () => boolean;
};

/**
 * Creates a scan of one body.
 *
 * @param idHeader - Lower-case name of the header with the id of the request that a response belongs to. Text that only quotes HTTP lacks this header.
 */
export const createForeignHeadScan = (idHeader: string): ForeignHeadScan => {
	const idLine = `\r\n${idHeader}:`;
	/** Last bytes before the current chunk: an incomplete head, or the few bytes that may be the start of `HTTP/1.`. */
	let pending = Buffer.alloc(0);

	return {
		onChunk(chunk) {
			const view = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
			// Avoids copying chunks that contain no `HTTP/1.`.
			const boundary = Buffer.concat([pending, view.subarray(0, HTTP_PREFIX.length)]);
			if (pending.length <= HTTP_PREFIX.length && chunk.length >= HTTP_PREFIX.length && !boundary.includes(HTTP_PREFIX) && !view.includes(HTTP_PREFIX)) {
				pending = Buffer.from(view.subarray(-HTTP_PREFIX.length));
				return false;
			}

			const bytes = Buffer.concat([pending, view]);
			let at = bytes.indexOf(HTTP_PREFIX);
			while (at !== -1) {
				const head = bytes.toString('latin1', at, at + MAX_HEAD_BYTES);
				const end = head.indexOf('\r\n\r\n');
				if (STATUS_LINE.test(head) && (end === -1 ? head : head.slice(0, end)).toLowerCase().includes(idLine)) {
					return true;
				}

				if (end === -1 && head.length < MAX_HEAD_BYTES) {
					// The rest of this head may be in the next chunk.
					pending = Buffer.from(bytes.subarray(at));
					return false;
				}

				at = bytes.indexOf(HTTP_PREFIX, at + 1);
			}

			pending = Buffer.from(bytes.subarray(-HTTP_PREFIX.length));
			return false;
		},
		endsInsideHead() {
			const text = pending.toString('latin1');
			const at = text.indexOf(HTTP_PREFIX);
			return at === -1
				? [MIN_PARTIAL_BYTES, MIN_PARTIAL_BYTES + 1].some(length => text.endsWith(HTTP_PREFIX.slice(0, length)))
				: PARTIAL_HEAD.test(text.slice(at));
		},
	};
};
