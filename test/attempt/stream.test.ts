import test from 'ava';
import fc from 'fast-check';
import {
	handleStreamEnd, handleStreamEvent, initialStream, type StreamEvent, type StreamState,
} from '../../src/core/attempt/stream.js';

const SEED = 20_261_204;
const TOKENS = 6;
const REQUEST_ID = 'r';

type Step = {readonly kind: 'event'; readonly event: StreamEvent} | {readonly kind: 'end'};

const usage = {prompt_tokens: 1, completion_tokens: TOKENS};
const eventOf = (offset: number, id = REQUEST_ID): StreamEvent => ({id, offset, ...(offset === TOKENS - 1 && {usage})});

/** Generates events in any order, with duplicates, gaps, events of other requests and end marks. */
const steps: fc.Arbitrary<readonly Step[]> = fc.array(fc.oneof(
	{weight: 8, arbitrary: fc.record({kind: fc.constant('event' as const), event: fc.nat(TOKENS - 1).map(offset => eventOf(offset))})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('event' as const), event: fc.nat(TOKENS - 1).map(offset => eventOf(offset, 'other'))})},
	{weight: 1, arbitrary: fc.constant({kind: 'end' as const})},
), {maxLength: 40});

/** Returns the offsets that are forwarded to the caller, and the final state, which shows whether the stream is complete. */
const forwarded = (input: readonly Step[], handle: typeof handleStreamEvent) => {
	let state: StreamState = initialStream(REQUEST_ID);
	const offsets: number[] = [];
	for (const step of input) {
		if (step.kind === 'end') {
			({state} = handleStreamEnd(state));
		} else if (!state.done) {
			const checked = handle(state, step.event);
			state = checked.state;
			if (checked.verdict === 'forward' && step.event.offset !== undefined) {
				offsets.push(step.event.offset);
			}
		}
	}

	return {offsets, state};
};

const inOrder = (handle: typeof handleStreamEvent) => fc.property(steps, input => {
	const {offsets, state} = forwarded(input, handle);
	const right = offsets.every((offset, index) => offset === index);
	return right && (!state.done || offsets.length === TOKENS);
});

test('whatever events arrive, the caller gets each token once and in order, and the end only after the last token', t => {
	t.false(fc.check(inOrder(handleStreamEvent), {seed: SEED, numRuns: 2000}).failed);
});

test('without the check of offsets, tokens are duplicated or lost', t => {
	const unchecked: typeof handleStreamEvent = (state, event) => handleStreamEvent({...state, nextOffset: event.offset ?? 0}, event);
	t.true(fc.check(inOrder(unchecked), {seed: SEED, numRuns: 2000}).failed);
});

test('a stream that breaks anywhere and is resumed at its next offset is complete', t => {
	const whole = fc.property(fc.array(fc.nat(TOKENS), {maxLength: 5}), breaks => {
		let state = initialStream(REQUEST_ID);
		const offsets: number[] = [];
		for (const length of [...breaks, TOKENS]) {
			const from = state.nextOffset;
			for (let offset = from; offset < Math.min(TOKENS, from + length); offset++) {
				const checked = handleStreamEvent(state, eventOf(offset));
				state = checked.state;
				offsets.push(offset);
			}
		}

		return offsets.length === TOKENS && handleStreamEnd(state).verdict === 'forward';
	});
	t.false(fc.check(whole, {seed: SEED}).failed);
});
