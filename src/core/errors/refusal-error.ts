import {JackdawwoodError, type ErrorDetails} from './jackdawwood-error.js';
import {type RefusalData} from './refusals-data.js';

/**
 * Refusal of one request. The VM that received the request from its caller returns the refusal to the caller.
 *
 * @example
 * throw new RefusalError(QueueFull, {limit: 200}, {retryAfterMs: 1200});
 */
export class RefusalError extends JackdawwoodError {
	declare readonly data: RefusalData;
	/** Milliseconds after which the caller should retry; undefined where a retry cannot help. */
	readonly retryAfterMs: number | undefined;

	constructor(data: RefusalData, details: ErrorDetails = {}, options: {readonly retryAfterMs?: number; readonly cause?: Error} = {}) {
		super(data, details, options.cause);
		this.retryAfterMs = options.retryAfterMs;
	}

	/** Whether it is certain that no target has started the request. */
	get notRun(): boolean {
		return this.data.notRun;
	}
}
