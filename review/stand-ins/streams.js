/* eslint camelcase: off -- names in the record */
/**
 * The frame of the cases on streams without a length: some of four workers answer their streams so, the
 * others in chunks. Eight callers a machine each ask for one stream; every other one may be resumed.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {callOnce} from './caller.js';
import {
	HOST, isTroubled, KEY, runCase,
} from './case.js';

const GAP_MS = 60;
const CALLERS_PER_MACHINE = 8;
/** Milliseconds from the requests to the signal. */
const SIGNAL_MS = 1200;

const eventOf = (attempt, id) => `id: ${id}\ndata: ${attempt} word ${id}\n\n`;
const wholeBody = (attempt, events) => Array.from({length: events}, (_, index) => eventOf(attempt, index + 1)).join('');

/** Writes the events that the caller doesn't have; the answer has no length and no chunks, if `isUnframed`. */
const respondWith = ({isUnframed, events, record, worker}) => async (req, res, head) => {
	const attempt = head['x-attempt-id'];
	res.useChunkedEncodingByDefault = !isUnframed;
	res.shouldKeepAlive = !isUnframed;
	res.writeHead(200, {...head, 'content-type': 'text/event-stream'});
	for (let id = Number(req.headers['last-event-id'] ?? 0) + 1; id <= events; id++) {
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

/** Runs a case in which one of six machines gets `signal` while its streams of `events` events run; `unframed` tells which workers use neither a length nor chunks. */
export const runStreamCase = async (folder, {events, signal, unframed}) => runCase(folder, async ({machines, record, startWorker}) => {
	for (const [index, isUnframed] of unframed.entries()) {
		const worker = `tutor-${index + 1}`;
		await startWorker({ // eslint-disable-line no-await-in-loop
			id: worker, service: 'tutor', zone: machines[index].name, respond: respondWith({
				isUnframed, events, record, worker,
			}),
		});
	}

	for (const machine of machines) {
		machine.start();
	}

	await Promise.all(machines.map(async machine => machine.untilReady()));
	const calls = machines.flatMap(machine => Array.from({length: CALLERS_PER_MACHINE}, async (_, index) => {
		const attempt = `${machine.name}-${index}`;
		const kind = index % 2 === 0 ? 'query' : 'review';
		record('sent', {request: attempt, kind, machine: machine.name});
		const answer = await callOnce(machine, {
			method: 'POST', path: `/${kind}/${attempt}`, body: '{}', headers: {
				host: HOST, 'x-attempt-id': attempt, 'x-api-key': KEY, 'x-deadline-ms': kind === 'query' ? '10000' : '12000',
				'x-model': 'm', 'x-token-count': '200,1400', 'x-prompt-prefix': `aa:100,${index}${machine.name.at(-1)}:100`,
			},
		});
		const isWhole = answer.body === wholeBody(attempt, events);
		record('answered', {
			request: attempt, kind, status: answer.status, stamp: answer.headers['x-server-stamp'], framing: answer.framing, end: answer.end,
			events: answer.body.split('\n\n').length - 1, of: events, looks_complete: answer.looksComplete, is_whole: isWhole,
		});
		return answer.status === 200 && answer.looksComplete && !isWhole;
	}));
	if (isTroubled) {
		await delay(SIGNAL_MS);
		machines[0].signal(signal);
	}

	const broken = await Promise.all(calls);
	const count = broken.filter(Boolean).length;
	record('successes that look complete and are not the worker\'s whole body', {count});
	return count > 0;
});
