import test from 'ava';
import {createStartQueue, type StartQueue, type WaitingRequest} from '../../src/core/admission/start-queue.js';

/** Milliseconds of processor time of one request until it is sent, and of one refusal. */
const BEGIN_MS = 5;
const REFUSE_MS = 0.5;
/** Connections that the process accepts in one turn of its event loop. */
const ACCEPTED_A_TURN = 8;
const TURN_MS = 100;
const DURATION_MS = 10_000;
/** Milliseconds after which a caller of a stream gets its first event late. */
const TARGET_LATENCY_MS = 1000;

type Arrival = {readonly team: string; readonly sinceMs: number; readonly requestId: string};
type Result = {readonly team: string; readonly waitMs: number; readonly isBegun: boolean};

const arrivalsOf = (team: string, perS: number): readonly Arrival[] =>
	Array.from({length: DURATION_MS * perS / 1000}, (_, index) => ({team, sinceMs: (index + 0.5) * 1000 / perS, requestId: `${team}-${index}`}));

/** Replays arrivals on a VM that works off what it begins in the order of beginning, by turns of its event loop. */
const replay = (processorShare: number, arrivals: readonly Arrival[]): readonly Result[] => {
	const queue: StartQueue<WaitingRequest> = createStartQueue();
	const unread = arrivals.toSorted((a, b) => a.sinceMs - b.sinceMs);
	const results: Result[] = [];
	let nowMs = 0;
	while (nowMs < DURATION_MS) {
		const beginMs = nowMs;
		const due = queue.takeDue(beginMs);
		const begun: WaitingRequest[] = [...due.begin];
		let usedMs = due.refuse.length * REFUSE_MS;
		results.push(...due.refuse.map(({team, sinceMs}) => ({team, waitMs: beginMs - sinceMs, isBegun: false})));
		for (let count = 0; count < ACCEPTED_A_TURN && unread[0] && unread[0].sinceMs <= nowMs; count++) {
			const {team, requestId} = unread.shift() ?? unread[0];
			const request = {team, requestId, sinceMs: nowMs};
			const decision = queue.offer(request, true);
			if (decision === 'begin') {
				begun.push(request);
			} else if (decision === 'refuse') {
				usedMs += REFUSE_MS;
				results.push({team, waitMs: 0, isBegun: false});
			}
		}

		usedMs += begun.length * BEGIN_MS;
		const endMs = nowMs + Math.max(usedMs / processorShare, usedMs === 0 ? TURN_MS / 10 : 0);
		for (const {requestId, team, sinceMs} of begun) {
			results.push({team, waitMs: endMs - sinceMs, isBegun: true});
			queue.deactivate(requestId);
		}

		nowMs = endMs;
	}

	return results;
};

const ofTeam = (results: readonly Result[], team: string, isBegun: boolean): readonly Result[] => results.filter(result => result.team === team && result.isBegun === isBegun);

for (const [processorShare, perS] of [[0.12, 60], [0.324, 150]] as const) {
	test(`a VM of ${processorShare} of a processor that one team floods begins what it can serve in time, and everything of small teams`, t => {
		const small = ['a', 'b', 'c'];
		const results = replay(processorShare, [...arrivalsOf('flood', perS), ...small.flatMap(team => arrivalsOf(team, 1))]);
		const begun = results.filter(({isBegun}) => isBegun);
		const late = begun.filter(({waitMs}) => waitMs > TARGET_LATENCY_MS);
		t.is(late.length, 0, `${late.length} of ${begun.length} begun too late`);
		t.true(ofTeam(results, 'flood', true).length > DURATION_MS * processorShare / BEGIN_MS * 0.6, 'the processor is used for requests');
		for (const team of small) {
			t.is(ofTeam(results, team, false).length, 0, `refused of ${team}`);
		}
	});
}

test('a VM that is not short begins every request at once', t => {
	const queue = createStartQueue();
	for (let index = 0; index < 100; index++) {
		t.is(queue.offer({requestId: `${index}`, team: 'team', sinceMs: 0}, false), 'begin');
	}
});

test('requests whose place at a target cannot be used do not keep others from being begun for long', t => {
	const queue = createStartQueue<WaitingRequest>();
	for (let index = 0; index < 20; index++) {
		queue.activate(`connecting-${index}`, 0);
	}

	const request = {requestId: 'new', team: 'team', sinceMs: 0};
	t.is(queue.offer(request, true), 'wait');
	t.deepEqual(queue.takeDue(400), {begin: [], refuse: []});
	t.deepEqual(queue.takeDue(550), {begin: [request], refuse: []});
});

test('a request whose caller has disconnected is not begun', t => {
	const queue = createStartQueue<WaitingRequest>();
	for (let index = 0; index < 20; index++) {
		queue.activate(`placed-${index}`, 0);
	}

	const request = {requestId: 'new', team: 'team', sinceMs: 0};
	t.is(queue.offer(request, true), 'wait');
	queue.withdraw(request);
	t.is(queue.waiting(), 0);
	t.deepEqual(queue.takeDue(1000), {begin: [], refuse: []});
});

test('a process that was paused begins the requests of small teams again at once', t => {
	const queue = createStartQueue<WaitingRequest>();
	const offer = (team: string, sinceMs: number) => queue.offer({requestId: `${team}-${sinceMs}`, team, sinceMs}, true);
	for (let index = 0; index < 8; index++) {
		offer('flood', index);
	}

	for (const nowMs of [1000, 2000, 3000]) {
		queue.takeDue(nowMs);
		offer('flood', nowMs);
	}

	for (const team of ['a', 'b', 'c', 'd', 'e']) {
		t.not(offer(team, 3000), 'refuse');
	}
});
