import test from 'ava';
import {StoreContact} from '../../src/core/store-watch/store-contact.js';
import {type ContactEffect} from '../../src/core/store-watch/types.js';

const kindsOf = (effects: readonly ContactEffect[]): readonly string[] => effects.map(({kind}) => kind);

test('a call that fails late makes the VM probe the store at once', t => {
	const contact = new StoreContact(() => 7, 0);
	contact.handle({kind: 'answered'}, 2000);
	t.deepEqual(kindsOf(contact.handle({kind: 'watch-failed', begunMs: 1000}, 4500)), ['lost', 'probe', 'wake']);
	t.deepEqual(kindsOf(contact.handle({kind: 'answered'}, 4510)), ['regained']);
	t.deepEqual(kindsOf(contact.handle({kind: 'tick'}, 5100)), [], 'no probe is due any more');
});

test('the return of a silent store is noticed within 600 ms, although each probe in the outage gets no response for a second', t => {
	const contact = new StoreContact(() => 7, 0);
	let effects = contact.handle({kind: 'watch-failed', begunMs: 0}, 1000);
	const probes: number[] = [];
	for (let nowMs = 1000; nowMs < 5000; nowMs += 10) {
		if (effects.some(({kind}) => kind === 'probe')) {
			probes.push(nowMs);
		}

		effects = contact.handle({kind: 'tick'}, nowMs);
		for (const beganMs of probes.filter(probeMs => probeMs + 1000 === nowMs)) {
			contact.handle({kind: 'watch-failed', begunMs: beganMs}, nowMs);
		}
	}

	const gaps = probes.slice(1).map((probeMs, index) => probeMs - probes[index]!);
	t.true(gaps.every(gapMs => gapMs <= 610), `pauses of ${gaps.join(' ')}`);
	t.true(gaps.every(gapMs => gapMs >= 600), `pauses of ${gaps.join(' ')}`);
});

test('a store that refuses calls at once is probed no more often than a silent one', t => {
	const contact = new StoreContact(() => 7, 0);
	let probes = 0;
	contact.handle({kind: 'watch-failed', begunMs: 1000}, 1000);
	for (let nowMs = 1000; nowMs < 7000; nowMs += 10) {
		if (contact.handle({kind: 'tick'}, nowMs).some(({kind}) => kind === 'probe')) {
			probes++;
			contact.handle({kind: 'watch-failed', begunMs: nowMs}, nowMs);
		}
	}

	t.true(probes <= 10, `${probes} probes in 6 s`);
});

test('one call that fails is no outage: an entry that is missing afterwards means that its target has left', t => {
	const contact = new StoreContact(() => 7, 0);
	contact.handle({kind: 'answered'}, 2000);
	contact.handle({kind: 'watch-failed', begunMs: 1000}, 4500);
	t.is(contact.entriesCompleteMs, Infinity);
	contact.handle({kind: 'answered'}, 4510);
	t.is(contact.entriesCompleteMs, -Infinity);
});

test('a second call that began in the outage before and fails late is no outage either', t => {
	const contact = new StoreContact(() => 7, 0);
	contact.handle({kind: 'watch-failed', begunMs: 0}, 500);
	contact.handle({kind: 'answered'}, 510);
	contact.handle({kind: 'watch-failed', begunMs: 0}, 900);
	contact.handle({kind: 'read-failed', begunMs: 505}, 1505);
	contact.handle({kind: 'answered'}, 1510);
	t.is(contact.entriesCompleteMs, -Infinity);
});

test('after two failures in a row, targets have a grace time from the first response to write their entries again', t => {
	const contact = new StoreContact(() => 7, 0);
	contact.handle({kind: 'watch-failed', begunMs: 0}, 500);
	contact.handle({kind: 'read-failed', begunMs: 600}, 610);
	t.deepEqual(kindsOf(contact.handle({kind: 'answered'}, 1200)), ['outage-ended', 'regained']);
	t.is(contact.entriesCompleteMs, 3400);
});

test('a store that serves other VMs but not this one has no outage', t => {
	const contact = new StoreContact(() => 7, 0);
	for (let nowMs = 1000; nowMs < 6000; nowMs += 200) {
		contact.handle({kind: 'watch-failed', begunMs: nowMs - 50}, nowMs);
		contact.handle({kind: 'answered-elsewhere', atMs: nowMs + 100}, nowMs + 110);
	}

	contact.handle({kind: 'answered'}, 6000);
	t.is(contact.entriesCompleteMs, -Infinity);
});

test('the grace time counts from the response to the other VM, not from its report', t => {
	const contact = new StoreContact(() => 7, 0);
	contact.handle({kind: 'answered-elsewhere', atMs: 4000}, 4400);
	t.is(contact.entriesCompleteMs, 6200);
});

test('a VM in a large fleet takes a late report of a response for no outage', t => {
	const contact = new StoreContact(() => 86, 0);
	contact.handle({kind: 'answered-elsewhere', atMs: 3500}, 3900);
	t.is(contact.entriesCompleteMs, -Infinity);
});

test('a VM whose own calls wait long learns of an outage from another VM, and the next response ends it', t => {
	const contact = new StoreContact(() => 86, 0);
	contact.handle({kind: 'answered-elsewhere', atMs: 1000}, 1100);
	contact.handle({kind: 'outage-elsewhere', sinceMs: 2500}, 3600);
	t.is(contact.outageSinceMs(4499), undefined, 'not yet reported to others');
	t.is(contact.outageSinceMs(4500), 2500);
	contact.handle({kind: 'answered'}, 4600);
	t.is(contact.entriesCompleteMs, 6800);
	t.is(contact.outageSinceMs(4700), undefined);
});

test('an outage of which another VM reports is disproved by a response since its first failure', t => {
	const contact = new StoreContact(() => 86, 0);
	contact.handle({kind: 'answered-elsewhere', atMs: 2600}, 2700);
	contact.handle({kind: 'outage-elsewhere', sinceMs: 2500}, 3600);
	contact.handle({kind: 'answered'}, 4000);
	t.is(contact.entriesCompleteMs, -Infinity);
});

test('a pause of the process is no outage', t => {
	const contact = new StoreContact(() => 7, 0);
	contact.handle({kind: 'resumed'}, 5000);
	contact.handle({kind: 'answered'}, 5010);
	t.is(contact.entriesCompleteMs, -Infinity);
});

/** Plays a silent outage to a VM that makes a call for changes of a second after each response; returns when entries are complete again. */
const playOutage = (startMs: number, endMs: number): number => {
	const contact = new StoreContact(() => 7, 0);
	const calls: Array<{readonly kind: 'watch-failed' | 'read-failed'; readonly begunMs: number; readonly dueMs: number}> = [{kind: 'watch-failed', begunMs: 0, dueMs: 1000}];
	for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
		let effects = contact.handle({kind: 'tick'}, nowMs);
		for (const call of calls.splice(0)) {
			const isLost = call.begunMs < endMs && call.dueMs >= startMs;
			if (isLost && nowMs >= call.dueMs + 1000) {
				effects = [...effects, ...contact.handle({kind: call.kind, begunMs: call.begunMs}, nowMs)];
			} else if (isLost || nowMs < call.dueMs) {
				calls.push(call);
			} else {
				contact.handle({kind: 'answered'}, nowMs);
				calls.push({kind: 'watch-failed', begunMs: nowMs, dueMs: nowMs + 1000});
			}
		}

		if (effects.some(({kind}) => kind === 'probe')) {
			calls.push({kind: 'read-failed', begunMs: nowMs, dueMs: nowMs});
		}
	}

	return contact.entriesCompleteMs;
};

test('entries are complete again within 3 s of the end of any outage', t => {
	for (let startMs = 5000; startMs < 6000; startMs += 70) {
		for (let lengthMs = 100; lengthMs < 6000; lengthMs += 130) {
			const endMs = startMs + lengthMs;
			const completeMs = playOutage(startMs, endMs);
			t.true(completeMs <= endMs + 3000, `outage from ${startMs} to ${endMs}: complete at ${completeMs}`);
		}
	}
});
