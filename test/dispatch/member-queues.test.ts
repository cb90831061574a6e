import test from 'ava';
import {MemberQueues} from '../../src/core/dispatch/member-queues.js';

const STARTS_PER_S = 2;

/** Returns a queue with 21 waiting requests, from which two requests a second have started for five seconds. */
const waitingQueue = (deadlineMs: number) => {
	const queues = new MemberQueues(() => 100);
	const add = (index: number, nowMs: number) => queues.add({
		requestId: `r${index}`, team: 'couriers', service: 'tariff', estimatedCost: 1, deadlineMs,
	}, nowMs);
	for (let index = 0; index < 31; index++) {
		add(index, 0);
	}

	for (let start = 1; start <= 5 * STARTS_PER_S; start++) {
		queues.take(queues.of('couriers'), start * 1000 / STARTS_PER_S);
	}

	return {queues, add};
};

test('requests that cannot start before their deadline are refused long before it', t => {
	const {queues} = waitingQueue(10_000);
	const refusals = queues.expire(5000);
	t.true(refusals.length > 0);
	t.true(refusals.every(({refusal, request}) => refusal.name === 'DeadlineUnreachable' && request.deadlineMs === 10_000));
	// Five seconds are left, in which ten more can start; the prediction margin lets a quarter more stay.
	t.is(queues.queued, 12);
	t.true(refusals.every(({retryAfterMs}) => retryAfterMs > 0));
});

test('a request that arrives at a queue too long for its deadline is refused at once', t => {
	const {add} = waitingQueue(10_000);
	t.is(add(99, 5000)?.refusal.name, 'DeadlineUnreachable');
});

test('requests that can start before their deadline stay in the queue', t => {
	const {queues} = waitingQueue(30_000);
	t.deepEqual(queues.expire(5000), []);
});

test('a request whose deadline has passed is refused with DeadlinePassed', t => {
	const {queues} = waitingQueue(5000);
	t.true(queues.expire(5000).every(({refusal}) => refusal.name === 'DeadlinePassed'));
	t.is(queues.queued, 0);
});
