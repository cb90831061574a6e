import test from 'ava';
import {playShortDay} from './_short-day.js';
import {FREE, MEASURED, scaleSteps} from './_work-costs.js';

/** Least share of the worth that the users want served on this day. */
const SERVED_FLOOR = 0.43;
/** Share of the worth that was served in plays of the day whose processor time was not charged. */
const SERVED_FREE = 0.85;
const SEEDS = [1, 2, 3];

for (const seed of SEEDS) {
	test(`small VMs that one team floods serve the floor of the day in spite of what their work costs (seed ${seed})`, t => {
		const {servedShare, inTime, late, refused, failed} = playShortDay(seed, MEASURED);
		t.true(servedShare >= SERVED_FLOOR, `${servedShare.toFixed(3)} of the worth served: ${inTime} in time, ${late} late, ${refused} refused, ${failed} failed`);
	});
}

test('the same day is served if work costs no processor time', t => {
	const {servedShare} = playShortDay(1, FREE);
	t.true(servedShare >= SERVED_FREE, `${servedShare.toFixed(3)} of the worth served`);
});

test('each reduction of the measured costs serves more of the day', t => {
	const {servedShare: present} = playShortDay(1, MEASURED);
	const {warmMs} = MEASURED;
	const reductions = {
		'compiled code': {...MEASURED, coldFactor: 3},
		'standing work': {...MEASURED, standingMsPerS: 5},
		'steps of requests': scaleSteps(MEASURED, 0.5),
		'reservation messages': {...MEASURED, warmMs: {...warmMs, tell: warmMs.tell / 4, receive: warmMs.receive / 4}},
	};
	for (const [name, costs] of Object.entries(reductions)) {
		const {servedShare} = playShortDay(1, costs);
		t.log(`${name}: ${servedShare.toFixed(3)} of the worth served, at present ${present.toFixed(3)}`);
		t.true(servedShare > present, `${name}: ${servedShare.toFixed(3)}`);
	}
});
