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
	/** Whether bytes of an unfinished event are left over. */
	readonly hasRest: () => boolean;
	/** Forgets an unfinished event before the stream goes on elsewhere. */
	readonly restart: () => void;
	readonly events: () => number;
};

const idOf = (event: string): string | undefined => ID_LINE.exec(event)?.[1];

/** True when an event comes no later than the last one passed on; ids that are no numbers are not compared. */
const isOld = (id: string | undefined, lastId: string | undefined): boolean =>
	id !== undefined && lastId !== undefined && Number(id) <= Number(lastId);

export const createEventRelay = (afterEvent?: string): EventRelay => {
	let rest: Uint8Array = new Uint8Array();
	let lastId: string | undefined = afterEvent;
	let count = 0;

	return {
		feed(chunk) {
			const bytes = rest.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([rest, chunk]);
			const end = bytes.lastIndexOf(END_OF_EVENT);
			if (end === -1) {
				rest = Buffer.from(bytes);
				return undefined;
			}

			const whole = bytes.subarray(0, end + END_OF_EVENT.length);
			rest = Buffer.from(bytes.subarray(end + END_OF_EVENT.length));
			const events = whole.toString('latin1').split(END_OF_EVENT).slice(0, -1);
			const fresh = events.filter(event => {
				const id = idOf(event);
				if (isOld(id, lastId)) {
					return false;
				}

				lastId = id ?? lastId;
				count++;
				return true;
			});
			return fresh.length === events.length ? whole : Buffer.from(fresh.map(event => event + END_OF_EVENT).join(''), 'latin1');
		},
		lastId: () => lastId,
		hasRest: () => rest.length > 0,
		restart() {
			rest = new Uint8Array();
		},
		events: () => count,
	};
};
