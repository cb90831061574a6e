/** Cancels the execution of a request (its run) at a model engine, so that the slot is not reported as free while the engine still executes the request. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Dispatcher} from 'undici';
import {callTarget} from './call-target.js';
import {cancelRequest} from './stream-requests.js';

const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 200;
const ATTEMPT_TIMEOUT_MS = 2000;

/** Returns the present pool of connections to the target. */
type TargetDispatcher = () => Dispatcher;

type CancelResult = 'ended' | 'unreachable' | 'failed';

/** Whether nothing listens at the address. This shows that the process has ended, and the run with it. */
const isConnectionRefused = (err: Error): boolean => 'code' in err && err.code === 'ECONNREFUSED';

const attemptCancel = async (pool: TargetDispatcher, requestId: string): Promise<CancelResult> => new Promise(resolve => {
	let status = 0;
	const call = callTarget(pool, cancelRequest(requestId), {
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
 * Cancels a run, with retries. Resolves to true when the run is known to have ended. An engine
 * that does not know the run responds with 404, which counts as ended.
 */
export const cancelRun = async (pool: TargetDispatcher, requestId: string, attempts = MAX_ATTEMPTS): Promise<boolean> => {
	const result = await attemptCancel(pool, requestId);
	if (result !== 'failed' || attempts <= 1) {
		return result !== 'failed';
	}

	await delay(RETRY_DELAY_MS);
	return cancelRun(pool, requestId, attempts - 1);
};
