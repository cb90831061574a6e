import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setImmediate as turn, setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {request} from 'undici';
import {
	HOST, KEY, startPlatform, until,
} from './_platform.js';

/** Blocks the event loop for the given time. */
const blockEventLoop = (ms: number): void => {
	const endMs = performance.now() + ms;
	while (performance.now() < endMs) {
		// Blocks the event loop.
	}
};

/** Delay of the event loop in milliseconds from which the VM counts as overloaded. */
const BEHIND_MS = 30;

const requestText = (id: string): string =>
	`GET /look/a HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${id}\r\nX-Api-Key: ${KEY}\r\nX-Deadline-Ms: 4000\r\n\r\n`;

const openCaller = async (address: string): Promise<Socket> => {
	const caller = connect(Number(address.split(':')[1]), '127.0.0.1');
	await once(caller, 'connect');
	return caller;
};

test.serial('a request whose caller disconnected while the event loop was blocked is not sent to a target', async t => {
	const {address, ledgers, call} = await startPlatform(t);
	// Opens connections to the targets, so that a request could be sent at once.
	await Promise.all(Array.from({length: 8}, async () => call('/look/warm')));
	const arrived = () => ledgers.reduce((sum, target) => sum + target.arrivals().length, 0);
	const before = arrived();
	const callers = await Promise.all(Array.from({length: 5}, async () => openCaller(address)));
	await delay(50);
	for (const [index, caller] of callers.entries()) {
		caller.end(requestText(`left-${index}`));
	}

	blockEventLoop(400);
	await delay(300);
	t.is(arrived(), before);
	for (const caller of callers) {
		caller.destroy();
	}
});

test.serial('a request whose caller disconnected before its connection was accepted is not sent to a target', async t => {
	const {address, ledgers, call} = await startPlatform(t);
	await Promise.all(Array.from({length: 8}, async () => call('/look/warm')));
	const arrived = () => ledgers.reduce((sum, target) => sum + target.arrivals().length, 0);
	const before = arrived();
	const callers = Array.from({length: 20}, () => connect(Number(address.split(':')[1]), '127.0.0.1'));
	for (const [index, caller] of callers.entries()) {
		caller.on('error', () => undefined);
		caller.end(requestText(`early-${index}`));
	}

	// Blocks the event loop only briefly at a time: timers are not late, but connections wait long to be accepted.
	for (let round = 0; round < 60; round++) {
		blockEventLoop(5);
		await turn(); // eslint-disable-line no-await-in-loop
	}

	await delay(300);
	t.is(arrived(), before);
	for (const caller of callers) {
		caller.destroy();
	}
});

test.serial('an overloaded VM refuses callers at once, so that they retry at other VMs', async t => {
	const {call, ready} = await startPlatform(t, undefined, BEHIND_MS);
	for (let round = 0; round < 12; round++) {
		blockEventLoop(400);
		await turn(); // eslint-disable-line no-await-in-loop
	}

	const balancer = await request(`http://${ready}/v1/readyz`);
	await balancer.body.dump();
	t.is(balancer.statusCode, 503, 'not ready, so that new callers are routed to other VMs');
	const answers = await Promise.all(Array.from({length: 40}, async () => call('/look/a')));
	const refused = answers.filter(({status}) => status === 503);
	t.true(refused.length >= 20, `${refused.length} of 40 refused`);
	for (const {headers} of refused) {
		const seconds = Number(headers['retry-after']);
		t.true(seconds > 0 && seconds <= 0.5, 'a short retry delay, since another VM can serve the caller');
	}

	await until(t, async () => {
		const {status} = await call('/look/a');
		return status === 200;
	}, 'served again');
	await delay(3000);
	const balancerLater = await request(`http://${ready}/v1/readyz`);
	await balancerLater.body.dump();
	t.is(balancerLater.statusCode, 200);
	const later = await Promise.all(Array.from({length: 20}, async () => call('/look/a')));
	t.deepEqual(later.filter(({status}) => status !== 200), [], 'nothing is refused once the VM is not overloaded');
});
