/**
 * Finds the head of another response inside of a body. A target that sends a response twice may
 * write the second one between the parts of the next response on the same connection; where the
 * next one has a length, or ends with its connection, the parser takes it for its body. In a
 * chunked body it is a fault of the protocol.
 */
import {Buffer} from 'node:buffer';

const HTTP_PREFIX = 'HTTP/1.';
/** Bytes of a head within which its id is looked for; targets' heads have some 300. */
const MAX_HEAD_BYTES = 4096;
/** Bytes of the mark, cut off by the end of a body, that count as one; fewer may be text. */
const MIN_PARTIAL_BYTES = 5;

/** A status line. */
const STATUS_LINE = /^HTTP\/1\.[01] \d{3}[^\r\n]*\r\n/v;
/** The beginning of a head and nothing else: a part of a status line, or one with header lines. */
const PARTIAL_HEAD = /^HTTP\/1\.(?:[01](?: \d{0,3}| \d{3} [A-Za-z ]{0,24}\r?| \d{3} [A-Za-z ]{0,24}\r\n(?:[\w\-]+:[^\r\n]*\r\n)*[^\r\n]*\r?)?)?$/v;

export type ForeignHeadScan = {
	/** Takes in a part of a body; true once a head was found in it. */
	readonly onChunk: (chunk: Uint8Array) => boolean;
	/** Whether the body ends within a head. */
	readonly endsInsideHead: () => boolean;
};

/** @param idHeader - Lower-case name of the header that tells whose a response is; text that only mentions HTTP has none. */
export const createForeignHeadScan = (idHeader: string): ForeignHeadScan => {
	const idLine = `\r\n${idHeader}:`;
	/** The end of what came before: from the last mark on, or as much as may begin one. */
	let pending = Buffer.alloc(0);

	return {
		onChunk(chunk) {
			const view = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
			// Long bodies are not copied as long as no mark is in sight.
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
					// More of this one may come.
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
