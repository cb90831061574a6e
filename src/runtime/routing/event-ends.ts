/**
 * Finds where server-sent events end in a stream of bytes. A line ends with CR LF, LF or CR, and
 * a blank line ends an event (HTML Standard, section 9.2.5).
 */
const LF = 0x0A;
const CR = 0x0D;

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

	return {
		scan(chunk) {
			const ends: number[] = [];
			for (const [index, byte] of chunk.entries()) {
				if (byte === LF && isAfterCr) {
					isAfterCr = false;
					if (isAtEnd) {
						if (ends.at(-1) === index) {
							ends.pop();
						}

						ends.push(index + 1);
					}
				} else if (byte === LF || byte === CR) {
					isAfterCr = byte === CR;
					isAtEnd = isLineBlank;
					isLineBlank = true;
					if (isAtEnd) {
						ends.push(index + 1);
					}
				} else {
					isLineBlank = false;
					isAfterCr = false;
					isAtEnd = false;
				}
			}

			return ends;
		},
		reset() {
			isLineBlank = true;
			isAfterCr = false;
			isAtEnd = false;
		},
	};
};
