/** Cancels a run at a model engine, so that its slot is free when we say so. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Dispatcher} from 'undici';
import {callTarget} from './call-target.js';
import {cancelRequest} from './stream-requests.js';

const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 200;
const ATTEMPT_TIMEOUT_MS = 2000;

/** Connections to the target as they are now. */
type TargetDispatcher = () => Dispatcher;

type CancelResult = 'ended' | 'unreachable' | 'failed';

/** Nothing listens any more: the process, and with it the run, has gone. */
const isConnectionRefused = (err: Error): boolean => 'code' in err && err.code === 'ECONNREFUSED';

const attemptCancel = async (pool: TargetDispatcher, requestId: string): Promise<CancelResult> => new Promise(resolve => {
	let status = 0;
	const call = callTarget(pool(), cancelRequest(requestId), {
		onWriting: () => true,
		onHeaders(received) {
			status = received;
		},
		onData: () => undefined,
		onEnd() {
			clearTimeout(timer);
			resolve(status === 200 || status === 404 ? 'ended' : 'failed');
		},
		onError(err) {
			clearTimeout(timer);
			resolve(isConnectionRefused(err) ? 'unreachable' : 'failed');
		},
	});
	const timer = setTimeout(() => {
		call.close();
		resolve('failed');
	}, ATTEMPT_TIMEOUT_MS);
});

/**
 * Resolves to true when the run is known to have ended. An engine that does not know
 * the run answers 404, which counts as ended.
 */
export const cancelRun = async (pool: TargetDispatcher, requestId: string, attempts = MAX_ATTEMPTS): Promise<boolean> => {
	const result = await attemptCancel(pool, requestId);
	if (result !== 'failed' || attempts <= 1) {
		return result !== 'failed';
	}

	await delay(RETRY_DELAY_MS);
	return cancelRun(pool, requestId, attempts - 1);
};
