/**
 * Finds the head of another response inside of a body. A target that sends a response twice may
 * write the second one between the parts of the next response on the same connection; where the
 * next one has a length, or ends with its connection, the parser takes it for its body. In a
 * chunked body it is a fault of the protocol.
 */
import {Buffer} from 'node:buffer';

const MARK = 'HTTP/1.';
/** Bytes of a head within which its id is looked for; targets' heads have some 300. */
const MAX_HEAD_BYTES = 4096;
/** Bytes of the mark, cut off by the end of a body, that count as one; fewer may be text. */
const MIN_CUT_BYTES = 5;

/** A status line. */
const HEAD = /^HTTP\/1\.[01] \d{3}[^\r\n]*\r\n/v;
/** The beginning of a head and nothing else: a part of a status line, or one with header lines. */
const CUT_OFF = /^HTTP\/1\.(?:[01](?: \d{0,3}| \d{3} [A-Za-z ]{0,24}\r?| \d{3} [A-Za-z ]{0,24}\r\n(?:[\w\-]+:[^\r\n]*\r\n)*[^\r\n]*\r?)?)?$/v;

export type ForeignHeadScan = {
	/** Takes in a part of a body; true once a head was found in it. */
	readonly onChunk: (part: Uint8Array) => boolean;
	/** Whether the body ends within a head. */
	readonly endsInsideHead: () => boolean;
};

/** @param idHeader - Lower-case name of the header that tells whose a response is; text that only mentions HTTP has none. */
export const createForeignHeadScan = (idHeader: string): ForeignHeadScan => {
	const idLine = `\r\n${idHeader}:`;
	/** The end of what came before: from the last mark on, or as much as may begin one. */
	let rest = Buffer.alloc(0);

	return {
		onChunk(part) {
			const view = Buffer.from(part.buffer, part.byteOffset, part.length);
			// Long bodies are not copied as long as no mark is in sight.
			const border = Buffer.concat([rest, view.subarray(0, MARK.length)]);
			if (rest.length <= MARK.length && part.length >= MARK.length && !border.includes(MARK) && !view.includes(MARK)) {
				rest = Buffer.from(view.subarray(-MARK.length));
				return false;
			}

			const bytes = Buffer.concat([rest, view]);
			let at = bytes.indexOf(MARK);
			while (at !== -1) {
				const head = bytes.toString('latin1', at, at + MAX_HEAD_BYTES);
				const end = head.indexOf('\r\n\r\n');
				if (HEAD.test(head) && (end === -1 ? head : head.slice(0, end)).toLowerCase().includes(idLine)) {
					return true;
				}

				if (end === -1 && head.length < MAX_HEAD_BYTES) {
					// More of this one may come.
					rest = Buffer.from(bytes.subarray(at));
					return false;
				}

				at = bytes.indexOf(MARK, at + 1);
			}

			rest = Buffer.from(bytes.subarray(-MARK.length));
			return false;
		},
		endsInsideHead() {
			const text = rest.toString('latin1');
			const at = text.indexOf(MARK);
			return at === -1
				? [MIN_CUT_BYTES, MIN_CUT_BYTES + 1].some(length => text.endsWith(MARK.slice(0, length)))
				: CUT_OFF.test(text.slice(at));
		},
	};
};
