/**
 * Writes log lines without ever waiting for their reader. Lines are gathered and written
 * together, one write at a time; what cannot be held is dropped, lines of what went well
 * first, and a line tells how many.
 */
import {write as writeFile, writeSync} from 'node:fs';
import {type WriteLine} from './log.js';

/** Milliseconds for which lines are gathered. */
const GATHER_MS = 100;
/** Bytes held at most while the reader is slow; about a second of a busy VM's lines. */
const MAX_HELD_BYTES = 1_048_576;
/** Part of these bytes that routine lines may fill, so that failures still find room. */
const ROUTINE_SHARE = 0.5;

/** Writes a text and calls back when it is written. */
export type WriteText = (text: string, done: (err: Error | undefined) => void) => void;

export type LineWriterOptions = {
	readonly write: WriteText;
	readonly maxHeldBytes?: number;
	readonly gatherMs?: number;
};

export type LineWriter = {
	readonly write: WriteLine;
	/** Lines that are held, as one text; for the end of the process. */
	readonly takeHeld: () => string;
};

type Dropped = {routine: number; other: number};

/** Writes to a file descriptor on a thread of its own, whatever the descriptor is. */
export const descriptorWrite = (descriptor: number): WriteText => (text, done) => {
	writeFile(descriptor, text, err => {
		done(err ?? undefined);
	});
};

/** Writes the held lines of a process that ends; gives up at once if the reader is not ready. */
export const writeHeldSync = (descriptor: number, {takeHeld}: LineWriter): void => {
	try {
		writeSync(descriptor, takeHeld());
	} catch {
		// The process ends, and there is nowhere left to tell.
	}
};

export const createLineWriter = ({write, maxHeldBytes = MAX_HELD_BYTES, gatherMs = GATHER_MS}: LineWriterOptions): LineWriter => {
	let held: string[] = [];
	let heldBytes = 0;
	let dropped: Dropped = {routine: 0, other: 0};
	let isWriting = false;
	let timer: NodeJS.Timeout | undefined;

	const takeHeld = (): string => {
		const {routine, other} = dropped;
		const tail = routine + other > 0
			? `${JSON.stringify({
				time: new Date().toISOString(), level: 'warn', event: 'log lines dropped', routine, other,
			})}\n`
			: '';
		const text = held.join('') + tail;
		held = [];
		heldBytes = 0;
		dropped = {routine: 0, other: 0};
		return text;
	};

	const flush = (): void => {
		timer = undefined;
		if (isWriting || (held.length === 0 && dropped.routine + dropped.other === 0)) {
			return;
		}

		isWriting = true;
		write(takeHeld(), err => {
			isWriting = false;
			if (err) {
				dropped.other++;
			}

			if (held.length > 0) {
				arm();
			}
		});
	};

	const arm = (): void => {
		timer ??= setTimeout(flush, gatherMs);
	};

	return {
		write(line, isRoutine) {
			const limit = isRoutine ? maxHeldBytes * ROUTINE_SHARE : maxHeldBytes;
			if (heldBytes + line.length > limit) {
				dropped[isRoutine ? 'routine' : 'other']++;
				return;
			}

			held.push(line);
			heldBytes += line.length;
			arm();
		},
		takeHeld,
	};
};
