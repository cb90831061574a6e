import test from 'ava';
import {MissingEntries} from '../../src/core/store-watch/missing-entries.js';

const missing = (id: string) => ({kind: 'missing', id} as const);

test('a target whose entry is missed a moment before entries are complete has left at that time, not a grace period later', t => {
	const entries = new MissingEntries(() => 1000);
	t.deepEqual(entries.handle(missing('a'), 990), [{kind: 'kept', id: 'a'}, {kind: 'wake', atMs: 1000}]);
	t.deepEqual(entries.handle({kind: 'tick'}, 1000), [{kind: 'left', id: 'a'}]);
});

test('a tick that comes a moment early is requested again', t => {
	const entries = new MissingEntries(() => 1000);
	entries.handle(missing('a'), 900);
	t.deepEqual(entries.handle({kind: 'tick'}, 999.5), [{kind: 'wake', atMs: 1000}]);
	t.deepEqual(entries.handle({kind: 'tick'}, 1000.5), [{kind: 'left', id: 'a'}]);
});

test('an entry that is written again keeps its target in use', t => {
	const entries = new MissingEntries(() => 1000);
	entries.handle(missing('a'), 900);
	entries.handle(missing('b'), 900);
	entries.handle({kind: 'present', id: 'a'}, 950);
	t.deepEqual(entries.handle({kind: 'tick'}, 1000), [{kind: 'left', id: 'b'}]);
});

test('targets whose entries were missing stay in use while the store does not serve this VM, until entries are complete after it does', t => {
	let completeMs = Infinity;
	const entries = new MissingEntries(() => completeMs);
	t.deepEqual(entries.handle(missing('a'), 900), [{kind: 'kept', id: 'a'}]);
	t.deepEqual(entries.handle({kind: 'tick'}, 5000), []);
	completeMs = 8000;
	t.deepEqual(entries.handle({kind: 'tick'}, 6000), [{kind: 'wake', atMs: 8000}]);
	t.deepEqual(entries.handle({kind: 'tick'}, 8000), [{kind: 'left', id: 'a'}]);
});

test('a target whose entry is missing without an outage has left at once', t => {
	t.deepEqual(new MissingEntries(() => -Infinity).handle(missing('a'), 10), [{kind: 'left', id: 'a'}]);
});
