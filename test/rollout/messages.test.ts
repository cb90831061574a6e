/** Encoding of roll-out datagrams, and the evidence that a VM counts from its requests. */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import test from 'ava';
import {zeroCounts} from '../../src/core/rollout/counts.js';
import {EvidenceCounter, type SentRequest} from '../../src/core/rollout/evidence.js';
import {type Announcement} from '../../src/core/rollout/types.js';
import {PeerDatagramSchema} from '../../src/gen/jackdawwood/v1/exchange_pb.js';
import {decodeRollouts, encodeRollouts} from '../../src/runtime/rollout/rollout-messages.js';
import {type RolloutMessage} from '../../src/runtime/rollout/types.js';

const announcement: Announcement = {
	service: 's', revision: 12, isHeld: true, isSteppingDown: false, coordinator: 'vm-1', ageMs: 40, orderAgeMs: 3000,
	state: {
		order: 10, to: 'v2', before: ['v1'], refused: ['v0'], phase: 'moving', share: 0.25, counter: 3, orderedWallMs: 1_790_000_000_000,
	},
};

const sent: SentRequest = {
	service: 's', route: 'r', version: 'v2', isCold: false, targetLatencyMs: 300, sentMs: 0,
};

const roundTrip = (message: RolloutMessage): Required<RolloutMessage> =>
	decodeRollouts(fromBinary(PeerDatagramSchema, toBinary(PeerDatagramSchema, create(PeerDatagramSchema, {vm: 'vm-1', ...encodeRollouts(message)}))));

test('announcements and evidence are unchanged after encoding and decoding', t => {
	const counter = new EvidenceCounter('i');
	counter.startOrder('s', {version: 10, to: 'v2'});
	counter.noteSent('g', sent);
	counter.noteEnd('g', {kind: 'answered', cost: 0, answerMs: 80}, false, 80);
	const report = counter.report('s', 12, 100)!;
	const arrived = roundTrip({announcements: [announcement], evidence: [report]});
	t.deepEqual(arrived.announcements, [announcement]);
	t.is(arrived.evidence[0]?.routes[0]?.next.complete, 1);
	t.is(arrived.evidence[0]?.routes[0]?.next.firstSum, Math.log(80));
	t.is(arrived.evidence[0]?.order, 10);
});

test('an announcement of unknown age is encoded as old, and one with an unknown phase is not decoded', t => {
	t.true(roundTrip({announcements: [{...announcement, ageMs: Infinity}]}).announcements[0]!.ageMs > 1e8);
	const datagram = create(PeerDatagramSchema, {vm: 'vm-1', rollouts: [{service: 's', phase: 'other'}]});
	t.deepEqual(decodeRollouts(datagram).announcements, []);
});

test('refusals, unsent requests and failures of leaving targets are not counted', t => {
	const counter = new EvidenceCounter('i');
	counter.startOrder('s', {version: 10, to: 'v2'});
	for (const kind of ['overloaded', 'refused', 'unsent', 'cancelled'] as const) {
		counter.noteSent(kind, sent);
		counter.noteEnd(kind, {kind, cost: 0, answerMs: 20}, false, 20);
	}

	counter.noteSent('leaving', sent);
	counter.noteEnd('leaving', {kind: 'failed', cost: 0, answerMs: 20}, true, 20);
	t.deepEqual(counter.report('s', 0, 20)?.routes, []);
});

test('the response times of a cold target are not counted, its failures are', t => {
	const counter = new EvidenceCounter('i');
	counter.startOrder('s', {version: 10, to: 'v2'});
	counter.noteSent('a', {...sent, isCold: true});
	counter.noteEnd('a', {kind: 'answered', cost: 0, answerMs: 2000}, false, 2000);
	counter.noteSent('b', {...sent, isCold: true});
	counter.noteEnd('b', {kind: 'failed', cost: 0, answerMs: 20}, false, 2000);
	t.deepEqual(counter.report('s', 0, 2000)?.routes[0]?.next, {...zeroCounts, complete: 1, failed: 1});
});

test('a request without a response is counted as late once, before it ends', t => {
	const counter = new EvidenceCounter('i');
	counter.startOrder('s', {version: 10, to: 'v2'});
	counter.noteSent('g', sent);
	t.deepEqual(counter.report('s', 0, 300)?.routes, []);
	t.is(counter.report('s', 0, 400)?.routes[0]?.next.late, 1);
	counter.noteEnd('g', {kind: 'failed', cost: 0, answerMs: 450}, false, 450);
	const {late, timed, failed} = counter.report('s', 0, 450)!.routes[0]!.next;
	t.deepEqual({late, timed, failed}, {late: 1, timed: 1, failed: 0});
});

test('a failure that the target responded with is counted as a failure, however long it took', t => {
	const counter = new EvidenceCounter('i');
	counter.startOrder('s', {version: 10, to: 'v2'});
	counter.noteSent('g', sent);
	counter.noteAnswering('g');
	counter.noteEnd('g', {kind: 'failed', cost: 0, answerMs: 360}, false, 360);
	t.is(counter.report('s', 0, 360)?.routes[0]?.next.failed, 1);
});

test('a new order resets the counts, and the same order does not', t => {
	const counter = new EvidenceCounter('i');
	counter.startOrder('s', {version: 10, to: 'v2'});
	counter.noteSent('g', sent);
	t.is(counter.runningAtOtherVersions('s', 'v1'), 1);
	counter.noteEnd('g', {kind: 'answered', cost: 0, answerMs: 20}, false, 20);
	counter.startOrder('s', {version: 10, to: 'v2'});
	t.is(counter.report('s', 0, 20)?.routes.length, 1);
	counter.startOrder('s', {version: 11, to: 'v3'});
	t.is(counter.report('s', 0, 20)?.routes.length, 0);
});
