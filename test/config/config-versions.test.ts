/** Decisions about which configuration version is held, fetched and active. */
import test from 'ava';
import fc from 'fast-check';
import {createConfigVersions} from '../../src/core/config/config-versions.js';
import {type ConfigMessage} from '../../src/core/config/types.js';

const startedMs = 0;
const create = () => createConfigVersions({dataCentre: 'galle', startedMs});
const document = (version: number, extra: Record<string, unknown> = {}): string => JSON.stringify({version, ...extra});

const notice = (from: string, version: number, extra: Partial<Extract<ConfigMessage, {kind: 'notice'}>> = {}): ConfigMessage => ({
	kind: 'notice', from, dataCentre: 'galle', version, heardVersion: version, document: '', isFetch: false, ...extra,
});

test('a lagging read does not activate an older version', t => {
	const versions = create();
	versions.handle({kind: 'document', document: document(5)}, 1);
	t.deepEqual(versions.handle({kind: 'document', document: document(4)}, 2), []);
	t.is(versions.current()?.version, 5);
});

test('the active version never decreases, in whatever order messages arrive', t => {
	const message = fc.oneof(
		fc.nat(20).map((version): ConfigMessage => ({kind: 'document', document: document(version)})),
		fc.tuple(fc.constantFrom('a', 'b'), fc.nat(20)).map(([from, version]) => notice(from, version, {document: document(version)})),
		fc.constantFrom<ConfigMessage>({kind: 'down', vm: 'a'}, {kind: 'tick'}, {kind: 'older', document: document(1)}, {kind: 'document', document: '{'}),
	);
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(message, {maxLength: 40}), messages => {
			const versions = create();
			let last = 0;
			for (const [index, each] of messages.entries()) {
				versions.handle(each, index);
				const version = versions.current()?.version ?? 0;
				if (version < last) {
					return false;
				}

				last = version;
			}

			return true;
		}), {seed: 5});
	});
});

test('a newer document that this release cannot read is passed on, and the last valid one stays', t => {
	const versions = create();
	versions.handle({kind: 'document', document: document(1)}, 1);
	const bad = document(2, {teams: {couriers: {weight: 'heavy'}}});
	t.snapshot(versions.handle({kind: 'document', document: bad}, 2));
	t.is(versions.current()?.version, 1);
	t.is(versions.latest()?.document, bad);
	t.deepEqual(versions.handle(notice('a', 1, {isFetch: true}), 3), [{kind: 'reply', vm: 'a'}]);
});

test('a fetch goes to a peer of the own data centre and is repeated at another peer when unanswered', t => {
	const versions = create();
	t.deepEqual(versions.handle(notice('far', 2, {dataCentre: 'colombo'}), 1), []);
	t.deepEqual(versions.handle(notice('near', 2), 2), [{kind: 'fetch', vm: 'near'}]);
	t.deepEqual(versions.handle({kind: 'tick'}, 100), []);
	versions.handle(notice('other', 2), 200);
	t.deepEqual(versions.handle({kind: 'tick'}, 600), [{kind: 'fetch', vm: 'other'}]);
});

test('a starting VM is not ready while a peer knows of a newer version', t => {
	const versions = create();
	versions.handle({kind: 'peers', vms: ['a', 'b'], isReader: false}, 0);
	versions.handle(notice('a', 1, {document: document(1)}), 1);
	t.false(versions.isReady(1));
	versions.handle(notice('b', 1, {heardVersion: 2}), 2);
	t.false(versions.isReady(2));
	t.false(versions.isReady(10_000));
	versions.handle({kind: 'document', document: document(2)}, 3);
	t.true(versions.isReady(3));
});

test('a starting VM waits only a limited time for peers that send nothing', t => {
	const versions = create();
	versions.handle({kind: 'peers', vms: ['a'], isReader: true}, 0);
	versions.handle({kind: 'document', document: document(1)}, 1);
	t.false(versions.isReady(1000));
	t.true(versions.isReady(2000));
});
