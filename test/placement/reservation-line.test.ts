/** Guards against capacity that goes to whichever VM asks next, and against lines that outlive their reason. */
import test from 'ava';
import {OwnedTargets} from '../../src/core/placement/owned-targets.js';
import {type OutgoingMessage} from '../../src/core/placement/peer-messages.js';
import {prefixKeys} from '../../src/core/placement/prefix-cache-estimate.js';
import {ReservationLine, startWithinMs} from '../../src/core/placement/reservation-line.js';
import {ORDINARY_PRECEDENCE} from '../../src/core/placement/start-limits.js';
import {type Reservation} from '../../src/core/placement/reservation.js';
import {TargetView} from '../../src/core/placement/target-view.js';
import {modelService, prompt, target} from './_service.js';

const reservation = (id: string, tokens: number, changes: Partial<Reservation> = {}): Reservation => {
	const wanted = prompt(id, tokens);
	return {
		id, target: 't1', prompt: wanted, keys: prefixKeys(wanted), copiedTokens: 0, targetLatencyMs: 800, waitedMs: 0, isResumed: false, teamKey: 1, mayWait: true, ...ORDINARY_PRECEDENCE, ...changes,
	};
};

const createOwner = (): OwnedTargets => {
	const view = new TargetView(target('t1'), 0);
	return new OwnedTargets({service: () => ({...modelService, coldPerS: 0}), targetOf: id => id === 't1' ? view : undefined});
};

/** Fills the engine, so that later requests stand in line. */
const createBusyOwner = (): OwnedTargets => {
	const owner = createOwner();
	owner.decide('vm-9', reservation('first', 16_000, {teamKey: 9}), 0);
	return owner;
};

const decisions = (messages: readonly OutgoingMessage[]): readonly string[] =>
	messages.map(({vm, message}) => message.kind === 'answer' ? `${vm} ${message.id} ${message.answer.isGranted ? 'granted' : 'declined'}` : message.kind);

const endPrefill = (owner: OwnedTargets, id: string, nowMs: number): readonly string[] =>
	decisions(owner.onProgress({
		kind: 'progress', id, target: 't1', hasEnded: false,
	}, nowMs));

test('the request of the team that was served least goes next, whichever VM asks and however large it is', t => {
	const owner = createBusyOwner();
	t.true(owner.decide('vm-1', reservation('of-served-team', 5000, {teamKey: 9}), 1).queuedMs > 0);
	t.true(owner.decide('vm-2', reservation('large', 9000, {teamKey: 2}), 2).queuedMs > 0);
	t.deepEqual(endPrefill(owner, 'first', 300), ['vm-2 large granted']);
});

test('requests in line are ordered by resumption, priority, service of their teams, and how long their prefill takes', t => {
	const line = new ReservationLine();
	const add = (id: string, changes: Partial<Reservation>, enteredMs: number, ownPrefillMs = 50): void => {
		line.add({
			reservation: reservation(id, 5000, changes), vm: 'vm-1', enteredMs, ownPrefillMs, untilMs: 500,
		});
	};

	add('served', {teamKey: 2}, 0);
	add('long', {teamKey: 1}, 0, 200);
	add('long-and-old', {teamKey: 1}, -400, 200);
	add('short', {teamKey: 1}, 10);
	add('urgent', {teamKey: 2, priority: 0}, 20);
	add('resumed', {teamKey: 2, isResumed: true}, 30);
	const servedOf = (teamKey: number): number => teamKey === 2 ? 1000 : 0;
	t.deepEqual(line.inOrder(servedOf).map(({reservation: {id}}) => id), ['resumed', 'urgent', 'long-and-old', 'short', 'long', 'served']);
	t.false(line.isNext(reservation('new', 5000, {teamKey: 3}), servedOf), 'a team that was served as little came before');
	t.true(line.isNext(reservation('new', 5000, {teamKey: 3, priority: -1, isResumed: true}), servedOf));
});

test('an engine with a line is given the next prompt before its backlog ends, and no more than that', t => {
	const owner = createBusyOwner();
	for (let index = 0; index < 6; index++) {
		owner.decide('vm-1', reservation(`r${index}`, 5000), 1);
	}

	t.is(endPrefill(owner, 'first', 300).length, 1);
	t.deepEqual(decisions(owner.serveLines(301)), []);
	t.is(decisions(owner.serveLines(330)).length, 1, 'most of the prompt is prefilled by now');
});

test('a large prompt is not passed by small ones that need the memory that it waits for', t => {
	const owner = createOwner();
	const held = {targetLatencyMs: 60_000};
	owner.decide('vm-9', reservation('holds-memory', 190_000, {...held, teamKey: 2, copiedTokens: 189_000}), 0);
	endPrefill(owner, 'holds-memory', 50);
	t.true(owner.decide('vm-1', reservation('large', 20_000, {...held, teamKey: 1}), 60).queuedMs > 0);
	t.true(owner.decide('vm-2', reservation('small', 5000, {...held, teamKey: 2}), 61).queuedMs > 0);
	t.deepEqual(decisions(owner.serveLines(70)), []);
	const replies = decisions(owner.onProgress({
		kind: 'progress', id: 'holds-memory', target: 't1', hasEnded: true,
	}, 80));
	t.is(replies[0], 'vm-1 large granted');
});

test('a request is declined when it cannot start in time any more, and at once if its turn comes too late', t => {
	const owner = createBusyOwner();
	const {queuedMs} = owner.decide('vm-1', reservation('a', 5000), 1);
	t.true(queuedMs > 0 && queuedMs <= startWithinMs({targetLatencyMs: 800}, 0));
	t.deepEqual(decisions(owner.serveLines(1 + queuedMs)), ['vm-1 a declined']);
	t.false(owner.hasLines);
	for (let index = 0; index < 6; index++) {
		owner.decide('vm-1', reservation(`r${index}`, 14_000), 1 + queuedMs);
	}

	const declined = owner.decide('vm-1', reservation('last', 14_000), 1 + queuedMs);
	t.like(declined, {isGranted: false, queuedMs: 0, hasLine: true});
});

test('late requests and those of older VMs have no place in a line', t => {
	const owner = createBusyOwner();
	t.true(owner.decide('vm-1', reservation('a', 5000), 1).queuedMs > 0);
	t.like(owner.decide('vm-1', reservation('late', 5000, {isLate: true, givesWay: true}), 2), {isGranted: false, queuedMs: 0, hasLine: true});
	t.like(owner.decide('vm-2', reservation('older', 5000, {teamKey: 0, mayWait: false}), 3), {isGranted: false, queuedMs: 0});
});

test('a request leaves the line when its caller does, and with its target', t => {
	const owner = createBusyOwner();
	owner.decide('vm-1', reservation('a', 5000), 1);
	owner.onProgress({
		kind: 'progress', id: 'a', target: 't1', hasEnded: true,
	}, 2);
	t.false(owner.hasLines);
	owner.decide('vm-1', reservation('b', 5000), 3);
	owner.forget('t1');
	t.false(owner.hasLines);
});

test('a granted prompt that its VM never sends does not block the line', t => {
	const owner = createBusyOwner();
	owner.decide('vm-1', reservation('never-sent', 9000), 1);
	t.deepEqual(endPrefill(owner, 'first', 300), ['vm-1 never-sent granted']);
	let nowMs = 300;
	let granted: readonly string[] = [];
	for (; nowMs < 3000 && granted.length === 0; nowMs += 100) {
		owner.decide('vm-2', reservation(`next-${nowMs}`, 9000), nowMs);
		granted = decisions(owner.serveLines(nowMs + 50)).filter(reply => reply.endsWith('granted'));
	}

	t.is(granted.length, 1);
	t.true(nowMs < 1500, `granted after ${nowMs} ms`);
});

test('an engine whose first token is overdue gets no line that it cannot serve in time', t => {
	const owner = createBusyOwner();
	owner.decide('vm-1', reservation('a', 5000), 1);
	t.true(owner.decide('vm-2', reservation('b', 5000), 2).queuedMs > 0);
	owner.serveLines(700);
	t.is(owner.decide('vm-2', reservation('c', 5000, {waitedMs: 200}), 900).queuedMs, 0);
});
