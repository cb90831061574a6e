import test from 'ava';
import {explore} from '../../src/core/explore/explore.js';
import {type Model} from '../../src/core/explore/types.js';

type Counters = {readonly left: number; readonly right: number};

/** Returns a model of two counters, one of which is incremented by each action. */
const counters = (findViolation: (state: Counters) => string | undefined): Model<Counters, 'left' | 'right'> => ({
	initial: {left: 0, right: 0},
	actions: () => ['left', 'right'],
	apply: (state, action) => ({...state, [action]: state[action] + 1}),
	findViolation,
	key: ({left, right}) => `${left} ${right}`,
});

test('all sequences of actions are explored up to the depth, and states with equal keys only once', t => {
	t.deepEqual(explore(counters(() => undefined), 3), {
		states: 10, transitions: 12, depth: 3, violation: undefined,
	});
});

test('a violation is reported with a shortest trace', t => {
	const model = counters(({left, right}) => left === 2 && right === 1 ? 'reached' : undefined);
	const {violation} = explore(model, 9);
	t.is(violation?.message, 'reached');
	t.deepEqual(violation?.trace.toSorted(), ['left', 'left', 'right']);
});
