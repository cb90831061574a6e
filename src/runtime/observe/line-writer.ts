/**
 * Writes log lines without blocking on a slow reader of the log. Lines are buffered and written
 * together, one write at a time. Lines that exceed the buffer are dropped, lines of normal
 * operation (routine lines) first. A log line reports how many lines were dropped.
 */
import {write as writeFile, writeSync} from 'node:fs';
import {type WriteLine} from './log.js';

/** Most bytes of one write: POSIX's PIPE_BUF. A pipe accepts such a write as a whole or not at all, so processes that share a pipe do not split each other's lines. */
const MAX_WRITE_BYTES = 4096;
/** Milliseconds for which lines are buffered before a write. */
const BUFFER_MS = 100;
/** Most bytes that are buffered while the reader is slow. A busy VM logs about this amount in a second. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Share of the buffer up to which routine lines are accepted, so that space remains for lines about failures. */
const ROUTINE_SHARE = 0.5;

/** Writes a text and calls `done` when it is written or the write has failed. */
export type WriteText = (text: string, done: (err: NodeJS.ErrnoException | undefined) => void) => void;

export type LineWriterOptions = {
	readonly write: WriteText;
	readonly maxBufferedBytes?: number;
	readonly bufferMs?: number;
};

export type LineWriter = {
	readonly write: WriteLine;
	/** Removes and returns all buffered lines as one text, for a last write when the process ends. */
	readonly takeBuffered: () => string;
};

type Line = {readonly text: string; readonly isRoutine: boolean};
type Dropped = {routine: number; other: number};

const textOf = (lines: readonly Line[]): string => lines.map(({text}) => text).join('');
const sizeOf = (lines: readonly Line[]): number => lines.reduce((sum, {text}) => sum + text.length, 0);

/** Whether a write failed because the reader is slow, and can be retried. */
const isBusy = (err: NodeJS.ErrnoException): boolean => err.code === 'EAGAIN';

/** Returns a function that writes to a file descriptor on a thread of the pool, so that no kind of descriptor blocks the event loop. */
export const descriptorWrite = (descriptor: number): WriteText => (text, done) => {
	writeFile(descriptor, text, err => {
		done(err ?? undefined);
	});
};

/** Writes the buffered lines when the process ends; drops them if the reader is not ready. */
export const writeHeldSync = (descriptor: number, {takeBuffered}: LineWriter): void => {
	try {
		writeSync(descriptor, takeBuffered());
	} catch {
		// The process is ending, and the failure cannot be reported anywhere else.
	}
};

export const createLineWriter = ({write, maxBufferedBytes = MAX_BUFFERED_BYTES, bufferMs = BUFFER_MS}: LineWriterOptions): LineWriter => {
	let buffered: Line[] = [];
	let bufferedBytes = 0;
	let dropped: Dropped = {routine: 0, other: 0};
	let isWriting = false;
	let timer: NodeJS.Timeout | undefined;

	const countDropped = ({isRoutine}: Line): void => {
		dropped[isRoutine ? 'routine' : 'other']++;
	};

	/** Adds a line about dropped lines, if lines were dropped. Then removes and returns the first buffered lines that fit into `maxBytes`, at least one. */
	const takeLines = (maxBytes: number): readonly Line[] => {
		const {routine, other} = dropped;
		if (routine + other > 0) {
			dropped = {routine: 0, other: 0};
			const text = `${JSON.stringify({
				time: new Date().toISOString(), level: 'warn', event: 'log lines dropped', routine, other,
			})}\n`;
			buffered.push({text, isRoutine: false});
			bufferedBytes += text.length;
		}

		let bytes = 0;
		let count = 0;
		for (const {text} of buffered) {
			bytes += text.length;
			if (count > 0 && bytes > maxBytes) {
				break;
			}

			count++;
		}

		const taken = buffered.slice(0, count);
		buffered = buffered.slice(count);
		bufferedBytes -= sizeOf(taken);
		return taken;
	};

	const requeue = (lines: readonly Line[]): void => {
		buffered = [...lines, ...buffered];
		bufferedBytes += sizeOf(lines);
	};

	const flush = (): void => {
		timer = undefined;
		if (isWriting) {
			return;
		}

		const lines = takeLines(MAX_WRITE_BYTES);
		if (lines.length === 0) {
			return;
		}

		isWriting = true;
		write(textOf(lines), err => {
			isWriting = false;
			if (!err) {
				flush();
				return;
			}

			if (isBusy(err)) {
				requeue(lines);
			} else {
				for (const line of lines) {
					countDropped(line);
				}
			}

			arm();
		});
	};

	const arm = (): void => {
		timer ??= setTimeout(flush, bufferMs);
	};

	return {
		write(text, isRoutine) {
			const limit = isRoutine ? maxBufferedBytes * ROUTINE_SHARE : maxBufferedBytes;
			if (bufferedBytes + text.length > limit) {
				countDropped({text, isRoutine});
				return;
			}

			buffered.push({text, isRoutine});
			bufferedBytes += text.length;
			arm();
		},
		takeBuffered: () => textOf(takeLines(Infinity)),
	};
};
