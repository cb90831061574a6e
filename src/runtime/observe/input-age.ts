/**
 * Tells how old the input is that this process knows. The event loop reads its connections once a
 * turn, so what arrives during a long turn, such as a caller's disconnect, is not known yet when
 * the turn's last requests are sent to targets.
 */
import {type Clock} from '../../core/clock.js';
import {waitForSocketReads} from '../entry/wait-for-socket-reads.js';

export type InputAge = {
	/** Records that input is being handled; to be called first in the handlers of connections and datagrams. */
	readonly noteInput: () => void;
	/** Returns the milliseconds since the last read of all connections, or more: a turn without recorded input goes unnoticed. */
	readonly ageMs: () => number;
	/** Resolves once all connections have been read again. */
	readonly readAgain: () => Promise<void>;
};

/** @param onReadAgain - Called with the input's age in milliseconds when a request waits for a further read. */
export const createInputAge = (clock: Clock, onReadAgain: (ageMs: number) => void = () => undefined): InputAge => {
	let turn = 0;
	let notedTurn = -1;
	let readMs = clock.nowMs();
	return {
		noteInput() {
			if (notedTurn !== turn) {
				notedTurn = turn;
				readMs = clock.nowMs();
				setImmediate(() => {
					turn++;
				});
			}
		},
		ageMs: () => clock.nowMs() - readMs,
		async readAgain() {
			const startMs = clock.nowMs();
			onReadAgain(startMs - readMs);
			await waitForSocketReads();
			readMs = Math.max(readMs, startMs);
		},
	};
};
