/** Guards against refusals that start too late or never end, and against closing the responses of callers that read. */
import test from 'ava';
import {HeldMemory, memoryBounds} from '../../src/core/memory/held-memory.js';
import {memoryRefusal} from '../../src/core/memory/memory-refusal.js';
import {type HeldPart} from '../../src/core/memory/types.js';

const bounds = {refuseBytes: 1_000_000, shedBytes: 2_000_000};

const createMemory = () => {
	const memory = new HeldMemory(bounds);
	return {
		memory,
		hold: (id: number, bytes: number, nowMs: number, part: HeldPart = 'unread') => memory.handle({
			kind: 'held', id, part, bytes,
		}, nowMs),
		progress: (id: number, nowMs: number) => memory.handle({kind: 'progress', id}, nowMs),
		tick: (nowMs: number) => memory.handle({kind: 'tick'}, nowMs),
	};
};

test('the bounds follow from the memory of the VM; those of the smallest VM apply where it is unknown', t => {
	t.deepEqual(memoryBounds(602), {refuseBytes: 72_240_000, shedBytes: 120_400_000});
	t.deepEqual(memoryBounds(), memoryBounds(210));
});

test('below the first bound, no request is refused and no response is closed, even if callers are slow', t => {
	const {memory, hold, tick} = createMemory();
	t.deepEqual(hold(1, 900_000, 0), []);
	t.deepEqual(tick(60_000), []);
	t.false(memory.isUnderPressure);
});

test('above the first bound requests are refused, and what stalls for a second is ended until there is room again', t => {
	const {memory, hold, progress, tick} = createMemory();
	for (let id = 1; id <= 12; id++) {
		hold(id, 100_000, id);
	}

	t.true(memory.isUnderPressure);
	t.deepEqual(tick(900), [], 'not before a second has passed');
	progress(1, 900);
	const ended = tick(1500);
	t.snapshot(ended);
	t.false(ended.some(({id}) => id === 1), 'a response whose caller makes progress is not closed');
	t.is(memory.totalBytes, 700_000);
	t.false(memory.isUnderPressure);
});

test('above the second bound, the slowest and largest responses are closed at once, but never small responses whose callers make progress', t => {
	const {memory, hold, progress} = createMemory();
	for (let id = 1; id <= 28; id++) {
		hold(id, 60_000, 0);
	}

	hold(29, 200_000, 0);
	for (let id = 1; id <= 28; id++) {
		progress(id, 900);
	}

	t.deepEqual(hold(30, 110_000, 950), []);
	t.deepEqual(hold(30, 150_000, 951).map(({id, reason}) => ({id, reason})), [{id: 29, reason: 'bound'}]);
	t.is(memory.totalBytes, 1_830_000);
	for (let id = 1; id <= 28; id++) {
		hold(id, 65_000, 1000);
		progress(id, 1000);
	}

	t.deepEqual(hold(31, 60_000, 1030).map(({id}) => id), [30], 'only the response that is not small is closed');
	t.deepEqual(hold(32, 200_000, 1100).map(({id}) => id), [32]);
});

test('a request for which only a body is buffered is never closed, and its body counts until the request ends', t => {
	const {memory, hold, tick} = createMemory();
	hold(1, 4_000_000, 0, 'body');
	t.deepEqual(tick(60_000), []);
	t.true(memory.isAboveShedBound);
	memory.handle({kind: 'gone', id: 1}, 60_000);
	t.is(memory.totalBytes, 0);
});

test('large bodies at slow targets cause the refusal of other large bodies, but not of requests with a small body or none', t => {
	const {memory, hold} = createMemory();
	hold(1, 950_000, 0, 'body');
	t.true(memory.mayHold(40_000, 40_000));
	t.false(memory.mayHold(100_000, 100_000), 'the total would exceed the first bound');
	hold(2, 60_000, 0, 'body');
	t.true(memory.mayHold(0));
	t.true(memory.mayHold(60_000));
	memory.handle({kind: 'gone', id: 1}, 0);
	hold(3, 1_100_000, 0, 'unread');
	t.false(memory.mayHold(0), 'unread responses count for every request');
});

test('callers that are refused together retry at different times, within a third of the time that they wait', t => {
	t.deepEqual([0, 0.5, 1].map(draw => memoryRefusal(() => draw).retryAfterMs), [100, 350, 600]);
	t.is(memoryRefusal(() => 1, 900).retryAfterMs, 300);
	t.true(memoryRefusal(() => 0).notRun);
});
