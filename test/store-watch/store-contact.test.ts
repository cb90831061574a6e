import test from 'ava';
import {StoreContact} from '../../src/core/store-watch/store-contact.js';
import {type ContactEffect} from '../../src/core/store-watch/types.js';

const kindsOf = (effects: readonly ContactEffect[]): readonly string[] => effects.map(({kind}) => kind);

test('a call that fails late makes the VM probe the store at once', t => {
	const contact = new StoreContact(0);
	contact.handle({kind: 'answered'}, 2000);
	t.deepEqual(kindsOf(contact.handle({kind: 'failed', begunMs: 1000}, 4500)), ['lost', 'probe', 'wake']);
	t.deepEqual(kindsOf(contact.handle({kind: 'answered'}, 4510)), ['regained']);
	t.deepEqual(kindsOf(contact.handle({kind: 'tick'}, 5100)), [], 'no probe is due any more');
});

test('the return of a silent store is noticed within 600 ms, although each probe in the outage gets no response for a second', t => {
	const contact = new StoreContact(0);
	let effects = contact.handle({kind: 'failed', begunMs: 0}, 1000);
	const probes: number[] = [];
	for (let nowMs = 1000; nowMs < 5000; nowMs += 10) {
		if (effects.some(({kind}) => kind === 'probe')) {
			probes.push(nowMs);
		}

		effects = contact.handle({kind: 'tick'}, nowMs);
		for (const beganMs of probes.filter(probeMs => probeMs + 1000 === nowMs)) {
			contact.handle({kind: 'failed', begunMs: beganMs}, nowMs);
		}
	}

	const gaps = probes.slice(1).map((probeMs, index) => probeMs - probes[index]!);
	t.true(gaps.every(gapMs => gapMs <= 610), `pauses of ${gaps.join(' ')}`);
	t.true(gaps.every(gapMs => gapMs >= 600), `pauses of ${gaps.join(' ')}`);
});

test('a store that refuses calls at once is probed no more often than a silent one', t => {
	const contact = new StoreContact(0);
	let probes = 0;
	contact.handle({kind: 'failed', begunMs: 1000}, 1000);
	for (let nowMs = 1000; nowMs < 7000; nowMs += 10) {
		if (contact.handle({kind: 'tick'}, nowMs).some(({kind}) => kind === 'probe')) {
			probes++;
			contact.handle({kind: 'failed', begunMs: nowMs}, nowMs);
		}
	}

	t.true(probes <= 10, `${probes} probes in 6 s`);
});
