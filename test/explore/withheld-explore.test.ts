/** Checks which rows of targets count, for all orders of reports, departures, lost rows, starts, copies, restores and reads. */
import test from 'ava';
import {explore} from '../../src/core/explore/explore.js';
import {withheldModel} from './withheld-model.js';

const DEPTH = 9;

// Guards against targets that stay withheld for good once their rows were lost after a restore.
test('once faults have ended, a live target is in use and no row of an older copy has counted against newer knowledge', t => {
	const {states, transitions, violation} = explore(withheldModel, DEPTH);
	t.log(`${states} states, ${transitions} transitions to depth ${DEPTH}`);
	t.is(violation, undefined);
});
