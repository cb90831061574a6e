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

/** Returns the offsets of the bytes LF and CR, in order. */
const lineEndsIn = (bytes: Uint8Array): readonly number[] => {
	const offsets: number[] = [];
	let lf = indexOf(bytes, LF, 0);
	let cr = indexOf(bytes, CR, 0);
	while (lf !== cr) {
		offsets.push(Math.min(lf, cr));
		if (lf < cr) {
			lf = indexOf(bytes, LF, lf + 1);
		} else {
			cr = indexOf(bytes, CR, cr + 1);
		}
	}

	return offsets;
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
			for (const offset of lineEndsIn(chunk)) {
				if (offset > start) {
					noteText();
				}

				start = offset + 1;
				const isSecondHalf = isAfterCr && chunk[offset] === LF;
				isAfterCr = chunk[offset] === CR;
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
			}

			if (start < chunk.length) {
				noteText();
			}

			return ends;
		},
		reset,
	};
};
