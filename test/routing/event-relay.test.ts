import {Buffer} from 'node:buffer';
import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {createEventRelay} from '../../src/runtime/routing/event-relay.js';
import {parseEvents} from './_parse-events.js';

const eventText = (id: number) => `id: ${id}\ndata: word ${id} é\n\n`;
const streamOf = (first: number, last: number) => Array.from({length: last - first + 1}, (_, index) => eventText(first + index)).join('');

const splitIntoChunks = (bytes: Uint8Array, sizes: readonly number[]): readonly Uint8Array[] => {
	const chunks: Uint8Array[] = [];
	let start = 0;
	for (const size of sizes) {
		chunks.push(bytes.subarray(start, start + size));
		start += size;
	}

	return [...chunks, bytes.subarray(start)];
};

test('a stream is relayed once and in order, whatever the sizes of its chunks', t => {
	const check = () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 40}), {maxLength: 20}), sizes => {
			const relay = createEventRelay();
			const bytes = Buffer.from(streamOf(1, 9));
			const out = Buffer.concat(splitIntoChunks(bytes, sizes).map(chunk => relay.feed(chunk) ?? Buffer.alloc(0)));
			return out.equals(bytes) && relay.lastId() === '9' && !relay.hasIncompleteEvent();
		}), {seed: 1, numRuns: 300});
	};

	t.notThrows(check);
});

test('a stream that breaks at any byte and is resumed at another target has every event once', t => {
	const whole = Buffer.from(streamOf(1, 9));
	const check = () => {
		fc.assert(fc.property(fc.integer({min: 0, max: whole.length}), fc.integer({min: 0, max: 3}), (broken, overlap) => {
			const relay = createEventRelay();
			const before = relay.feed(whole.subarray(0, broken)) ?? Buffer.alloc(0);
			relay.startResponse();
			const next = Math.max(1, Number(relay.lastId() ?? 0) + 1 - overlap);
			const after = relay.feed(Buffer.from(streamOf(next, 9))) ?? Buffer.alloc(0);
			return Buffer.concat([before, after]).equals(whole);
		}), {seed: 2, numRuns: 300});
	};

	t.notThrows(check);
});

// Guards against memory that the account does not show: each small chunk kept in an object of its own.
test('events that arrive in single bytes take as much memory as is accounted for', t => {
	const byte = Buffer.from('x');
	const used = () => {
		const {heapUsed, external} = process.memoryUsage();
		return heapUsed + external;
	};

	const before = used();
	const relays = Array.from({length: 20}, () => createEventRelay());
	for (const relay of relays) {
		for (let count = 0; count < 65_536; count++) {
			relay.feed(byte);
		}
	}

	const grown = used() - before;
	const accounted = relays.reduce((sum, relay) => sum + relay.heldBytes(), 0);
	// Objects that were not collected yet come on top.
	t.true(grown <= accounted + 32_000_000, `${grown} bytes for ${accounted} accounted`);
	t.true(relays.every(relay => relay.heldBytes() <= 2 * relay.incompleteBytes()));
});

test('an incomplete event at the end of a stream is reported', t => {
	const relay = createEventRelay();
	t.is(relay.feed(Buffer.from('id: 1\ndata: half')), undefined);
	t.true(relay.hasIncompleteEvent());
});

test('a continuation after a gap is found where ids count the events, and only there', t => {
	const isBrokenAfter = (before: readonly number[], next: number | undefined, afterEvent?: string): boolean => {
		const relay = createEventRelay(afterEvent);
		for (const id of before) {
			relay.feed(Buffer.from(`id: ${id}\ndata: x\n\n`));
		}

		relay.startResponse();
		relay.feed(Buffer.from(`${next === undefined ? '' : `id: ${next}\n`}data: y\n\n`));
		return relay.isBrokenSequence();
	};

	t.false(isBrokenAfter([1, 2, 3], 4));
	t.true(isBrokenAfter([1, 2, 3], 6));
	t.true(isBrokenAfter([1], 3));
	t.true(isBrokenAfter([13], 15, '12'));
	t.false(isBrokenAfter([7], 14));
	t.false(isBrokenAfter([7, 14], 28));
	t.true(isBrokenAfter([7, 14], undefined));
	t.false(isBrokenAfter([], 5), 'the first response to the caller');
});

const lineEnd = fc.constantFrom('\n', '\r\n', '\r');
const ends = fc.array(lineEnd, {minLength: 1, maxLength: 7});
const sizes = fc.array(fc.integer({min: 0, max: 9}), {maxLength: 60});

type Stream = {readonly hasMark: boolean; readonly ends: readonly string[]; readonly blanks: number};
const stream: fc.Arbitrary<Stream> = fc.record({hasMark: fc.boolean(), ends, blanks: fc.integer({min: 0, max: 2})});

/** Returns a stream of events whose lines end in turn as given, with a mark before the first one and blank lines between them. */
const markedStreamOf = (first: number, last: number, {hasMark, ends, blanks}: Stream): Uint8Array => {
	const lines = Array.from({length: last - first + 1}, (_, index) => [': note', `id: ${first + index}`, `data: é${first + index}`, 'data', '', ...Array.from({length: blanks}, () => '')]).flat();
	let text = hasMark ? '\uFEFF' : '';
	for (const [index, line] of lines.entries()) {
		const end = ends[index % ends.length] ?? '\n';
		// An LF after a CR would end the same line, not a blank one.
		text += line === '' && end === '\n' && text.endsWith('\r') ? '\r' : line + end;
	}

	return Buffer.from(text);
};

const ids = (bytes: Uint8Array): readonly string[] => parseEvents(bytes).map(({id}) => id);
const idsUpTo = (last: number): readonly string[] => Array.from({length: last}, (_, index) => String(index + 1));

// Guards against streams of which nothing arrives, because their lines end in CR LF or CR.
test('a stream whose lines end in LF, CR LF or CR is relayed as it came, event by event', t => {
	fc.assert(fc.property(stream, sizes, (form, sizes) => {
		const relay = createEventRelay();
		const bytes = markedStreamOf(1, 5, form);
		let relayed = 0;
		let out: Uint8Array = new Uint8Array();
		let read = 0;
		for (const chunk of splitIntoChunks(bytes, sizes)) {
			out = Buffer.concat([out, relay.feed(chunk) ?? new Uint8Array()]);
			read += chunk.length;
			// An event that has arrived whole is passed on at once, and no part of another one.
			const events = parseEvents(out);
			t.deepEqual(events, parseEvents(bytes.subarray(0, read)));
			t.true(events.length >= relayed);
			relayed = events.length;
		}

		t.deepEqual(Buffer.from(out), Buffer.from(bytes));
		t.is(relay.lastId(), '5');
		t.is(relay.events(), 5);
		t.false(relay.hasIncompleteEvent());
		t.false(relay.isBrokenSequence());
	}), {seed: 3, numRuns: 300});
});

test('a stream that breaks at any byte is resumed by one with other line ends, and every event arrives once', t => {
	const broken = fc.record({share: fc.double({min: 0, max: 1, noNaN: true}), overlap: fc.integer({min: 0, max: 3})});
	fc.assert(fc.property(stream, stream, sizes, broken, (before, after, sizes, {share, overlap}) => {
		const relay = createEventRelay();
		const whole = markedStreamOf(1, 9, before);
		const first = splitIntoChunks(whole.subarray(0, Math.floor(whole.length * share)), sizes).map(chunk => relay.feed(chunk) ?? new Uint8Array());
		relay.startResponse();
		const next = Math.min(9, Math.max(1, Number(relay.lastId() ?? 0) + 1 - overlap));
		const rest = splitIntoChunks(markedStreamOf(next, 9, after), sizes).map(chunk => relay.feed(chunk) ?? new Uint8Array());
		t.deepEqual(ids(Buffer.concat([...first, ...rest])), idsUpTo(9));
		t.false(relay.hasIncompleteEvent());
		t.false(relay.isBrokenSequence());
	}), {seed: 4, numRuns: 300});
});
