/**
 * Keeps requests whose answers ended with their connections until it is known whether that was the
 * end of the answer or that of the target's process: a stream without a length that is cut between
 * two events looks complete.
 */
import {type TargetProcess} from './types.js';

export type ClosedStream = TargetProcess & {readonly requestId: string; readonly team: string; readonly parts: readonly string[]; readonly atMs: number};

/** Milliseconds after the end of an answer in which the end of the process may be its reason. */
const MAX_CUT_AGE_MS = 2000;
/** Requests that are kept; the oldest is dropped, and neither cleared nor suspected. */
const MAX_KEPT = 256;

const isOf = ({target, bornMs}: TargetProcess) => (stream: ClosedStream): boolean => stream.target === target && stream.bornMs === bornMs;

export class ClosedStreams {
	#streams: readonly ClosedStream[] = [];

	add(stream: ClosedStream): void {
		this.#streams = [...this.#streams, stream].slice(-MAX_KEPT);
	}

	/** Takes the requests whose answers ended before a request that the process has responded to was sent: they were complete. */
	takeComplete(process: TargetProcess, sentMs: number): readonly ClosedStream[] {
		return this.#streams.length === 0 ? [] : this.#take(stream => isOf(process)(stream) && stream.atMs < sentMs);
	}

	/** Takes the requests whose answers ended when the process did, as far as is known. */
	takeCut(process: TargetProcess, nowMs: number): readonly ClosedStream[] {
		return this.#streams.length === 0 ? [] : this.#take(isOf(process)).filter(({atMs}) => nowMs - atMs < MAX_CUT_AGE_MS);
	}

	#take(isTaken: (stream: ClosedStream) => boolean): readonly ClosedStream[] {
		const taken = this.#streams.filter(stream => isTaken(stream));
		if (taken.length > 0) {
			this.#streams = this.#streams.filter(stream => !isTaken(stream));
		}

		return taken;
	}
}
