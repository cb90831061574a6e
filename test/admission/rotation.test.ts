/** Guards against callers that retry at the VM that refused them, and against a VM that never returns to the load balancer's rotation. */
import test from 'ava';
import {createRotation} from '../../src/core/admission/rotation.js';

const CHECK_MS = 250;

/** Runs periodic checks until `untilMs` and returns the times at which the VM was out of rotation. */
const run = (refusedAt: (nowMs: number) => number, untilMs: number): readonly number[] => {
	const rotation = createRotation();
	const out: number[] = [];
	for (let nowMs = 0; nowMs < untilMs; nowMs += CHECK_MS) {
		rotation.update(refusedAt(nowMs), nowMs);
		if (rotation.isOutOfRotation()) {
			out.push(nowMs);
		}
	}

	return out;
};

test('a VM that refuses most of a flood leaves the rotation within half a second and returns after the flood', t => {
	const out = run(nowMs => nowMs >= 2000 && nowMs < 5000 ? 0.8 : 0, 12_000);
	t.true((out[0] ?? Infinity) <= 2500, `out from ${out[0]} ms`);
	t.true((out.at(-1) ?? 0) < 9000, `out until ${out.at(-1)} ms`);
});

test('a VM that refuses requests all the time is still in rotation for a fifth of the time', t => {
	const out = run(() => 1, 60_000);
	t.true(out.length * CHECK_MS <= 60_000 * 0.82, `${out.length * CHECK_MS} ms out`);
});

test('a VM that refuses requests at a single check stays in rotation', t => {
	t.deepEqual(run(nowMs => nowMs === 1000 ? 0.4 : 0, 4000), []);
});
