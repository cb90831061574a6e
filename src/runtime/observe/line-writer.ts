/**
 * Writes log lines without ever waiting for their reader. Lines are gathered and written
 * together, one write at a time; what cannot be held is dropped, lines of what went well
 * first, and a line tells how many.
 */
import {write as writeFile, writeSync} from 'node:fs';
import {type WriteLine} from './log.js';

/** Bytes of one write at most (POSIX's PIPE_BUF): a pipe takes such a write whole or not at all, so lines of processes that share it are not cut. */
const MAX_WRITE_BYTES = 4096;
/** Milliseconds for which lines are gathered. */
const BUFFER_MS = 100;
/** Bytes held at most while the reader is slow; about a second of a busy VM's lines. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Part of these bytes that routine lines may fill, so that failures still find room. */
const ROUTINE_SHARE = 0.5;

/** Writes a text and calls back when it is written. */
export type WriteText = (text: string, done: (err: NodeJS.ErrnoException | undefined) => void) => void;

export type LineWriterOptions = {
	readonly write: WriteText;
	readonly maxBufferedBytes?: number;
	readonly bufferMs?: number;
};

export type LineWriter = {
	readonly write: WriteLine;
	/** Lines that are held, as one text; for the end of the process. */
	readonly takeBuffered: () => string;
};

type Line = {readonly text: string; readonly isRoutine: boolean};
type Dropped = {routine: number; other: number};

const textOf = (lines: readonly Line[]): string => lines.map(({text}) => text).join('');
const sizeOf = (lines: readonly Line[]): number => lines.reduce((sum, {text}) => sum + text.length, 0);

/** A reader that is slow, not gone. */
const isBusy = (err: NodeJS.ErrnoException): boolean => err.code === 'EAGAIN';

/** Writes to a file descriptor on a thread of its own, whatever the descriptor is. */
export const descriptorWrite = (descriptor: number): WriteText => (text, done) => {
	writeFile(descriptor, text, err => {
		done(err ?? undefined);
	});
};

/** Writes the held lines of a process that ends; gives up at once if the reader is not ready. */
export const writeHeldSync = (descriptor: number, {takeBuffered}: LineWriter): void => {
	try {
		writeSync(descriptor, takeBuffered());
	} catch {
		// The process ends, and there is nowhere left to tell.
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

	/** Tells what was dropped, and takes the held lines that fit into one write, at least one. */
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
