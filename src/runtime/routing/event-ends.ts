/**
 * Finds where server-sent events end in a stream of bytes. A line ends with CR LF, LF or CR, and
 * a blank line ends an event (HTML Standard, section 9.2.5).
 */
const LF = 0x0A;
const CR = 0x0D;

/** Returns the offset of a byte, or the length if it does not occur. */
const indexOf = (bytes: Uint8Array, byte: number, from: number): number => {
	const index = bytes.indexOf(byte, from);
	return index === -1 ? bytes.length : index;
};

export type EventEnds = {
	/** Returns the offsets in the chunk behind the blank lines that end in it. If a chunk ends between the CR and the LF of a blank line, the LF ends one more event, without a byte else. */
	readonly scan: (chunk: Uint8Array) => readonly number[];
	/** Begins another stream. */
	readonly reset: () => void;
};

export const createEventEnds = (): EventEnds => {
	let isLineBlank = true;
	let isAfterCr = false;
	/** Whether the last byte ended an event. */
	let isAtEnd = false;

	const reset = (): void => {
		isLineBlank = true;
		isAfterCr = false;
		isAtEnd = false;
	};

	const noteText = (): void => {
		reset();
		isLineBlank = false;
	};

	return {
		scan(chunk) {
			const ends: number[] = [];
			let start = 0;
			let lf = indexOf(chunk, LF, 0);
			let cr = indexOf(chunk, CR, 0);
			while (lf !== cr) {
				const isCr = cr < lf;
				const offset = isCr ? cr : lf;
				if (offset > start) {
					noteText();
				}

				start = offset + 1;
				const isSecondHalf = isAfterCr && !isCr;
				isAfterCr = isCr;
				if (!isSecondHalf) {
					isAtEnd = isLineBlank;
					isLineBlank = true;
				} else if (ends.at(-1) === offset) {
					// The LF belongs to the event that its CR ended.
					ends.pop();
				}

				if (isAtEnd) {
					ends.push(start);
				}

				if (isCr) {
					cr = indexOf(chunk, CR, start);
				} else {
					lf = indexOf(chunk, LF, start);
				}
			}

			if (start < chunk.length) {
				noteText();
			}

			return ends;
		},
		reset,
	};
};
