/**
 * Passes on a stream of events byte for byte, whole events only, so that a stream that
 * breaks in the middle of an event can go on at another target without a doubled byte.
 */
import {Buffer} from 'node:buffer';

const END_OF_EVENT = '\n\n';
const ID_LINE = /^id: ?(.*)$/mv;

export type EventRelay = {
	/** Takes in bytes; returns those of the events that are complete and new. */
	readonly feed: (chunk: Uint8Array) => Uint8Array | undefined;
	/** Id of the last event that was passed on. */
	readonly lastId: () => string | undefined;
	/** Whether bytes of an unfinished event are left over, and how many. */
	readonly hasIncompleteEvent: () => boolean;
	readonly incompleteBytes: () => number;
	/** Forgets an unfinished event before the stream goes on elsewhere. */
	readonly discardIncompleteEvent: () => void;
	readonly events: () => number;
};

const idOf = (event: string): string | undefined => ID_LINE.exec(event)?.[1];

/** True when an event comes no later than the last one passed on; ids that are no numbers are not compared. */
const isDuplicate = (id: string | undefined, lastId: string | undefined): boolean =>
	id !== undefined && lastId !== undefined && Number(id) <= Number(lastId);

export const createEventRelay = (afterEvent?: string): EventRelay => {
	/** Chunks of an unfinished event: joined once it is whole, since it may come in very many. */
	let incomplete: Uint8Array[] = [];
	let incompleteBytes = 0;
	let lastId: string | undefined = afterEvent;
	let count = 0;

	const buffer = (bytes: Uint8Array): void => {
		if (bytes.length > 0) {
			incomplete.push(Buffer.from(bytes));
			incompleteBytes += bytes.length;
		}
	};

	/** Whether an event ends in the chunk, or between it and what came before. */
	const hasEnd = (chunk: Uint8Array): boolean => {
		const before = incomplete.at(-1)?.subarray(-1) ?? new Uint8Array();
		return Buffer.concat([before, chunk]).includes(END_OF_EVENT);
	};

	return {
		feed(chunk) {
			if (!hasEnd(chunk)) {
				buffer(chunk);
				return undefined;
			}

			const bytes = Buffer.concat([...incomplete, chunk]);
			const end = bytes.lastIndexOf(END_OF_EVENT);
			incomplete = [];
			incompleteBytes = 0;
			const complete = bytes.subarray(0, end + END_OF_EVENT.length);
			buffer(bytes.subarray(end + END_OF_EVENT.length));
			const events = complete.toString('latin1').split(END_OF_EVENT).slice(0, -1);
			const newEvents = events.filter(event => {
				const id = idOf(event);
				if (isDuplicate(id, lastId)) {
					return false;
				}

				lastId = id ?? lastId;
				count++;
				return true;
			});
			return newEvents.length === events.length ? complete : Buffer.from(newEvents.map(event => event + END_OF_EVENT).join(''), 'latin1');
		},
		lastId: () => lastId,
		hasIncompleteEvent: () => incompleteBytes > 0,
		incompleteBytes: () => incompleteBytes,
		discardIncompleteEvent() {
			incomplete = [];
			incompleteBytes = 0;
		},
		events: () => count,
	};
};
