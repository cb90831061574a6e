/* eslint camelcase: off -- names in the record */
/**
 * A worker answers a stream without a length, so that the end of its connection marks the end of
 * the answer. While such answers pass through a machine, its process is killed.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {callOnce} from '../stand-ins/caller.js';
import {
	HOST, isTroubled, KEY, runCase,
} from '../stand-ins/case.js';

const EVENTS = 40;
const GAP_MS = 60;
const CALLERS_PER_MACHINE = 8;
/** The process is killed when its callers have about half of their events. */
const KILL_MS = 1200;

const eventOf = (attempt, id) => `id: ${id}\ndata: ${attempt} word ${id}\n\n`;
const wholeBody = attempt => Array.from({length: EVENTS}, (_, index) => eventOf(attempt, index + 1)).join('');

/** Writes all events; the answer has no length and no chunks, if `isUnframed`. */
const respondWith = (isUnframed, record, worker) => async (req, res, head) => {
	const attempt = head['x-attempt-id'];
	res.useChunkedEncodingByDefault = !isUnframed;
	res.shouldKeepAlive = !isUnframed;
	res.writeHead(200, {...head, 'content-type': 'text/event-stream'});
	for (let id = 1; id <= EVENTS; id++) {
		if (res.destroyed) {
			record('worker lost the channel', {worker, request: attempt, events: id - 1});
			return;
		}

		res.write(eventOf(attempt, id));
		await delay(GAP_MS); // eslint-disable-line no-await-in-loop
	}

	res.end();
	record('worker ended the answer', {worker, request: attempt});
};

await runCase(import.meta.dirname, async ({machines, record, startWorker}) => {
	for (const [index, isUnframed] of [true, false, true, false].entries()) {
		const id = `tutor-${index + 1}`;
		await startWorker({ // eslint-disable-line no-await-in-loop
			id, service: 'tutor', zone: machines[index].name, respond: respondWith(isUnframed, record, id),
		});
	}

	for (const machine of machines) {
		machine.start();
	}

	await Promise.all(machines.map(async machine => machine.untilReady()));
	const calls = machines.flatMap(machine => Array.from({length: CALLERS_PER_MACHINE}, async (_, index) => {
		const attempt = `${machine.name}-${index}`;
		record('sent', {request: attempt, machine: machine.name});
		const answer = await callOnce(machine, {
			// Every other caller's stream may be resumed.
			method: 'POST', path: `/${index % 2 === 0 ? 'query' : 'review'}/${attempt}`, body: '{}', headers: {
				host: HOST, 'x-attempt-id': attempt, 'x-api-key': KEY, 'x-deadline-ms': '10000',
				'x-model': 'm', 'x-token-count': '200,280', 'x-prompt-prefix': `aa:100,${index}${machine.name.at(-1)}:100`,
			},
		});
		const isWhole = answer.body === wholeBody(attempt);
		record('answered', {
			request: attempt, status: answer.status, stamp: answer.headers['x-server-stamp'], framing: answer.framing, end: answer.end,
			events: answer.body.split('\n\n').length - 1, of: EVENTS, looks_complete: answer.looksComplete, is_whole: isWhole,
		});
		return answer.status === 200 && answer.looksComplete && !isWhole;
	}));
	if (isTroubled) {
		await delay(KILL_MS);
		machines[0].signal('SIGKILL');
	}

	const broken = await Promise.all(calls);
	const count = broken.filter(Boolean).length;
	record('successes that look complete and are not the worker\'s whole body', {count});
	return count > 0;
});
