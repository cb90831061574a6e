/**
 * Limits the time of a call. Its signal is aborted by a timer that this module holds: on Node.js 20
 * a signal of `AbortSignal.timeout` that only `AbortSignal.any` refers to may be collected, and then
 * a call that gets no response never ends.
 */

/** Reason of the abort of a call that took too long. */
export class CallTimeout extends Error {
	override readonly name = 'CallTimeout';
}

/** Makes a call with a signal that is aborted after `timeoutMs` with a `CallTimeout`, or with `stopped`. */
export const callWithin = async <Value>(timeoutMs: number, call: (signal: AbortSignal) => Promise<Value>, stopped?: AbortSignal): Promise<Value> => {
	const controller = new AbortController();
	const timer = setTimeout(() => {
		controller.abort(new CallTimeout(`no response within ${timeoutMs} ms`));
	}, timeoutMs);
	const stop = (): void => {
		controller.abort(stopped?.reason);
	};

	if (stopped?.aborted) {
		stop();
	}

	stopped?.addEventListener('abort', stop);
	try {
		return await call(controller.signal);
	} finally {
		clearTimeout(timer);
		stopped?.removeEventListener('abort', stop);
	}
};
