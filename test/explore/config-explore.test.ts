/** Checks that a VM never serves by an older configuration version than before, for all orders of reads, messages, reconnections and restarts. */
import test from 'ava';
import {explore} from '../../src/core/explore/explore.js';
import {
	createConfigModel, createVersions, createWithoutVersionComparison, createWithoutPeerVersions,
} from './config-model.js';

const ids = ['a', 'b'];
const depth = 9;

test('a VM never serves by an older configuration version than before', t => {
	const {states, transitions, violation} = explore(createConfigModel(ids, createVersions), depth);
	t.log(`${states} states, ${transitions} transitions to depth ${depth}`);
	t.is(violation, undefined);
});

test('without the comparison of versions, a stale read makes a VM return to an older version', t => {
	const {violation} = explore(createConfigModel(ids, createWithoutVersionComparison), depth);
	t.regex(violation?.message ?? '', /serves version 1 after 2/v);
});

test('without the versions of its peers, a restarted VM serves by an older version', t => {
	const {violation} = explore(createConfigModel(ids, createWithoutPeerVersions), depth);
	t.regex(violation?.message ?? '', /serves version 1 after 2/v);
});
