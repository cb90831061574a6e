/** Holds new requests back while this VM is short of processor time, in the order of `start-queue.ts`. */
import {type ServerResponse} from 'node:http';
import {createStartQueue, type WaitingRequest} from '../../core/admission/start-queue.js';
import {type Clock} from '../../core/clock.js';
import {type CreateCalls} from './running-call.js';

/** Milliseconds after which waiting requests are looked at again, when no request has been sent until then. */
const RETRY_MS = 50;

type Waiting = WaitingRequest & {readonly decide: (decision: StartDecision) => void};

export type StartDecision = 'begin' | 'refuse' | 'gone';

export type StartGate = {
	/** Returns what is to be done with a new request, once it may be begun or its caller has disconnected. */
	readonly enter: (request: {readonly requestId: string; readonly team: string}, res: ServerResponse) => Promise<StartDecision>;
	/** Records that a request waits for another VM, or has ended. */
	readonly leave: (requestId: string) => void;
	/** Returns calls that tell the gate which requests have a place and are not sent yet. */
	readonly watchCalls: (createCalls: CreateCalls) => CreateCalls;
};

/** @param isShort - Returns whether this VM is short of processor time. */
export const createStartGate = (clock: Clock, isShort: () => boolean): StartGate => {
	const queue = createStartQueue<Waiting>();
	let isTurnScheduled = false;
	let timer: NodeJS.Timeout | undefined;

	const beginDue = (): void => {
		isTurnScheduled = false;
		clearTimeout(timer);
		const due = queue.takeDue(clock.nowMs());
		for (const request of due.refuse) {
			request.decide('refuse');
		}

		for (const request of due.begin) {
			request.decide('begin');
		}

		if (due.begin.length > 0) {
			scheduleTurn();
		} else if (queue.waiting() > 0) {
			timer = setTimeout(beginDue, RETRY_MS);
		}
	};

	const scheduleTurn = (): void => {
		if (!isTurnScheduled) {
			isTurnScheduled = true;
			setImmediate(beginDue);
		}
	};

	const leave = (requestId: string): void => {
		queue.deactivate(requestId);
		if (queue.waiting() > 0) {
			scheduleTurn();
		}
	};

	return {
		enter: async ({requestId, team}, res) => new Promise(resolve => {
			const request = {
				requestId, team, sinceMs: clock.nowMs(), decide: resolve,
			};
			const decision = queue.offer(request, isShort());
			if (decision === 'wait') {
				res.once('close', () => {
					queue.withdraw(request);
					resolve('gone');
				});
			} else {
				resolve(decision);
			}

			scheduleTurn();
		}),
		leave,
		watchCalls: createCalls => (job, response) => {
			const createCall = createCalls(job, response);
			return options => {
				queue.activate(job.requestId, clock.nowMs());
				const call = createCall({
					...options,
					mayWrite() {
						const mayWrite = options.mayWrite();
						leave(job.requestId);
						return mayWrite;
					},
					notify(message) {
						leave(job.requestId);
						options.notify(message);
					},
				});
				return call;
			};
		},
	};
};
