/**
 * Relays a stream of server-sent events byte for byte, in complete events only. A stream
 * that breaks in the middle of an event can therefore be resumed at another target
 * without sending the caller a byte twice.
 */
import {Buffer} from 'node:buffer';
import {createEventEnds} from './event-ends.js';

/** The byte order mark that may precede a stream, in Latin-1. */
const BYTE_ORDER_MARK = '\u00EF\u00BB\u00BF';
const ID_FIELD = 'id:';
const LINE_END = /[\r\n]/v;
const NOTHING = Buffer.alloc(0);
const BLANK_LINES = /^[\r\n]*$/v;

export type EventRelay = {
	/** Accepts a chunk. Returns the bytes of the events that it completes, without those that the caller already has, or `undefined` if it completes none. */
	readonly feed: (chunk: Uint8Array) => Uint8Array | undefined;
	/** Returns the id of the last event that was relayed, or that the caller had before. */
	readonly lastId: () => string | undefined;
	/** Whether bytes of an incomplete event are buffered. */
	readonly hasIncompleteEvent: () => boolean;
	readonly incompleteBytes: () => number;
	/** Returns the bytes of memory that the buffer of the incomplete event takes. */
	readonly heldBytes: () => number;
	/** Begins the response of another target: discards a buffered incomplete event. */
	readonly startResponse: () => void;
	/** Whether the present response does not continue the stream: an event has no id, or follows a gap, although those before had ids without gaps. */
	readonly isBrokenSequence: () => boolean;
	/** Returns the number of events relayed so far. */
	readonly events: () => number;
};

/** Returns the text up to the end of its line, without the space that may precede a field's value. */
const fieldValue = (text: string): string => {
	const start = text.startsWith(' ') ? 1 : 0;
	const lineEnd = text.search(LINE_END);
	return text.slice(start, lineEnd === -1 ? undefined : lineEnd);
};

/** Returns an event's id; its last line of that name counts. */
const idOf = (event: string): string | undefined => {
	let id: string | undefined;
	for (let at = event.indexOf(ID_FIELD); at !== -1; at = event.indexOf(ID_FIELD, at + 1)) {
		const before = event[at - 1] ?? '\n';
		if (before === '\n' || before === '\r') {
			id = fieldValue(event.slice(at + ID_FIELD.length));
		}
	}

	return id;
};

/** Returns a view of bytes as text of one character a byte, in which offsets stay the same. */
const asText = ({buffer, byteOffset, length}: Uint8Array): string => Buffer.from(buffer, byteOffset, length).toString('latin1');

/** Whether an event's id is not above that of the last relayed event. An id that is not a number never counts as a duplicate. */
const isDuplicate = (id: string | undefined, lastId: string | undefined): boolean =>
	id !== undefined && lastId !== undefined && Number(id) <= Number(lastId);

export const createEventRelay = (afterEvent?: string): EventRelay => {
	/** Buffer whose first bytes are the incomplete event. */
	let held = NOTHING;
	let incompleteBytes = 0;
	let lastId: string | undefined = afterEvent;
	let count = 0;
	/** Whether the ids so far count the events from 1, or from the caller's last event on. Ids that grow otherwise show no gaps. */
	let countsEvents = true;
	let isFirstOfResponse = true;
	let isBroken = false;
	let isAtStart = true;
	/** Whether the caller has bytes of an earlier event. */
	let hasRelayed = false;
	const eventEnds = createEventEnds();

	/** Checks the first new event of a response against the last event before it. */
	const checkSequence = (id: string | undefined): void => {
		const step = Number(id) - Number(lastId ?? 0);
		if (count > 0 && isFirstOfResponse) {
			isBroken = lastId !== undefined && (id === undefined || (countsEvents && Number.isFinite(step) && step !== 1));
		} else {
			countsEvents &&= step === 1;
		}

		isFirstOfResponse = false;
	};

	/** Adds bytes to the incomplete event. The buffer doubles when it is full, so that an event of many small chunks is copied only a few times. */
	const buffer = (bytes: Uint8Array): void => {
		const needed = incompleteBytes + bytes.length;
		if (needed > held.length) {
			const larger = Buffer.allocUnsafeSlow(Math.max(needed, held.length * 2));
			larger.set(held.subarray(0, incompleteBytes));
			held = larger;
		}

		held.set(bytes, incompleteBytes);
		incompleteBytes = needed;
	};

	const release = (): void => {
		held = NOTHING;
		incompleteBytes = 0;
	};

	/** Returns what the caller gets of an event: all of it, or nothing if the caller has it. Blank lines alone are no event. */
	const relayEvent = (event: string): string => {
		const isMarked = isAtStart && event.startsWith(BYTE_ORDER_MARK);
		isAtStart = false;
		const text = isMarked ? event.slice(BYTE_ORDER_MARK.length) : event;
		const id = idOf(text);
		if (isDuplicate(id, lastId)) {
			return '';
		}

		if (!BLANK_LINES.test(text)) {
			checkSequence(id);
			lastId = id ?? lastId;
			count++;
		}

		// Within the caller's stream, the mark would be part of a field's name.
		return hasRelayed ? text : event;
	};

	return {
		feed(chunk) {
			const ends = eventEnds.scan(chunk);
			const end = ends.at(-1);
			if (end === undefined) {
				buffer(chunk);
				return undefined;
			}

			const completed = end === chunk.length ? chunk : chunk.subarray(0, end);
			const complete = incompleteBytes === 0 ? completed : Buffer.concat([held.subarray(0, incompleteBytes), completed]);
			const text = asText(complete);
			let out = '';
			let start = 0;
			for (const chunkEnd of ends) {
				const eventEnd = incompleteBytes + chunkEnd;
				out += relayEvent(text.slice(start, eventEnd));
				hasRelayed ||= out !== '';
				start = eventEnd;
			}

			release();
			if (end < chunk.length) {
				buffer(chunk.subarray(end));
			}

			return out.length === text.length ? complete : Buffer.from(out, 'latin1');
		},
		lastId: () => lastId,
		hasIncompleteEvent: () => incompleteBytes > 0,
		incompleteBytes: () => incompleteBytes,
		heldBytes: () => held.length,
		startResponse() {
			release();
			isFirstOfResponse = true;
			isAtStart = true;
			eventEnds.reset();
		},
		isBrokenSequence: () => isBroken,
		events: () => count,
	};
};
