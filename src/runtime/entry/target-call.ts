/** Calls a target for one granted request in the product's own protocol: sends the request, classifies and reads the response, resumes a broken stream, and cancels the run. */
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {initialResume, planResume} from '../../core/attempt/resume.js';
import {type AttemptMessage, type FaultReason} from '../../core/attempt/types.js';
import {type Grant} from '../../core/dispatch/types.js';
import {type InputAge} from '../observe/input-age.js';
import {type Metrics} from '../observe/metrics.js';
import {type ResponseReader, type ReaderContext} from './response-reader.js';
import {callTarget, type Call, type CallListener} from './call-target.js';
import {type CallerResponse} from './caller-response.js';
import {cancelRun} from './cancel-run.js';
import {classifyResponse, type ResponseKind} from './classify-response.js';
import {oneHeader} from './headers.js';
import {type Job, type TargetRequest} from './job.js';
import {createStallTimer, type StallTimer} from './stall-timer.js';
import {readStreamResponse, type StreamReader} from './stream-response.js';
import {resumeRequest} from './stream-requests.js';
import {readWholeResponse} from './whole-response.js';

export type TargetCallOptions = {
	readonly job: Job;
	readonly grant: Grant;
	/** Returns the present pool of connections to the target. */
	readonly pool: () => Dispatcher;
	/** Milliseconds without a byte after which a stream is treated as broken. */
	readonly stallMs?: number;
	readonly response: CallerResponse;
	readonly metrics: Metrics;
	readonly inputAge: InputAge;
	/** Returns whether the attempt permits the first byte to be written. */
	readonly mayWrite: () => boolean;
	/** Notifies the attempt of the call's events. At most one message ends the call. */
	readonly notify: (message: AttemptMessage) => void;
};

const isEventStream = (status: number, headers: IncomingHttpHeaders): boolean =>
	status === 200 && (oneHeader(headers, 'content-type') ?? '').startsWith('text/event-stream');

export class TargetCall {
	readonly #options: TargetCallOptions;
	/** False once the final message has been sent, or the call has been dropped. */
	#open = true;
	#cancelled = false;
	/** Whether the attempt has permitted the first byte to be written. */
	#written = false;
	/** Whether the response is, or may still become, a stream of events. */
	#isStream: boolean;
	#call: Call | undefined;
	#instance: string | undefined;
	#reader: ResponseReader | undefined;
	#resume = initialResume;
	#resumeTimer: NodeJS.Timeout | undefined;
	readonly #stallTimer: StallTimer;

	constructor(options: TargetCallOptions) {
		this.#options = options;
		this.#isStream = options.job.mode === 'stream';
		this.#stallTimer = createStallTimer(() => {
			this.#onBroken('stalled');
		}, options.stallMs);
	}

	/** Cost of what has been received so far, in cost units. */
	get cost(): number {
		return this.#reader?.cost() ?? 0;
	}

	/** Sends the request to the target. */
	start(): void {
		const {job, grant, mayWrite} = this.#options;
		const request: TargetRequest = {
			...job.request,
			headers: {...job.request.headers, 'x-request-id': job.requestId, 'x-fencing-epoch': String(grant.epoch)},
		};
		const listener = this.#listener((status, headers) => {
			this.#onHeaders(status, headers);
		});
		const onWriting = () => {
			this.#written = this.#open && mayWrite();
			return this.#written;
		};

		this.#connect(request, {...listener, onWriting});
	}

	/** Closes the call without notifying the attempt of its end. */
	drop(): void {
		this.#open = false;
		this.#stallTimer.stop();
		this.#call?.close();
	}

	/**
	 * Cancels the call, because the caller has disconnected. A run at a model engine is cancelled.
	 * A call to a plain target continues to its end, since it occupies its slot until then.
	 */
	cancel(): void {
		this.#cancelled = true;
		this.#stallTimer.stop();
		if (this.#options.job.mode === 'plain') {
			this.#call?.resume();
		} else {
			void this.#cancelRun();
		}
	}

	/** Ends a call that has exceeded its run time, without notifying the attempt of its end. */
	abandon(): void {
		this.drop();
		if (this.#options.job.mode !== 'plain') {
			void this.#cancelRun();
		}
	}

	/** Resumes reading after a pause for a slow caller. */
	resume(): void {
		this.#call?.resume();
		this.#restartStallTimer();
	}

	async #cancelRun(): Promise<void> {
		const {pool, job, metrics} = this.#options;
		clearTimeout(this.#resumeTimer);
		const ended = await cancelRun(pool, job.requestId);
		metrics.cancels.inc({result: ended ? 'cancelled' : 'failed'});
		this.#call?.close();
		if (ended) {
			this.#finish({kind: 'cancelled', cost: this.cost, ...this.#instanceField});
		}
	}

	get #instanceField(): {readonly instance?: string} {
		return this.#instance === undefined ? {} : {instance: this.#instance};
	}

	#finish(message: AttemptMessage): void {
		if (this.#open) {
			this.#open = false;
			this.#stallTimer.stop();
			this.#options.notify(message);
		}
	}

	#fail(reason: FaultReason, cost: number): void {
		this.#finish({
			kind: 'failed', reason, cost, ...this.#instanceField,
		});
		this.#call?.close();
	}

	/** Restarts the stall timer. Only a stream that is open and not cancelled can stall. */
	#restartStallTimer(): void {
		if (this.#open && this.#isStream && !this.#cancelled) {
			this.#stallTimer.touch();
		}
	}

	#countDropped(reason: string): void {
		this.#options.metrics.droppedAnswers.inc({reason});
	}

	#connect(request: TargetRequest, listener: CallListener): void {
		this.#restartStallTimer();
		this.#call = callTarget(this.#options.pool, request, listener, {idHeader: 'x-request-id', inputAge: this.#options.inputAge});
	}

	#listener(onHeaders: CallListener['onHeaders']): CallListener {
		const whileOpen = <Args extends readonly unknown[]>(act: (...args: Args) => void) => (...args: Args) => {
			if (this.#open) {
				act(...args);
			}
		};

		return {
			onWriting: () => this.#open,
			onHeaders: whileOpen(onHeaders),
			onData: whileOpen(chunk => {
				this.#restartStallTimer();
				this.#reader?.onData(chunk);
			}),
			onEnd: whileOpen(() => {
				this.#reader?.onEnd();
			}),
			onError: whileOpen(() => {
				this.#onBroken();
			}),
		};
	}

	#onBroken(reason: FaultReason = 'link-broken'): void {
		const {job, pool} = this.#options;
		if (this.#cancelled && job.mode !== 'plain') {
			// The end of the run is reported by its cancellation, or by its time limit.
			return;
		}

		if (this.#reader) {
			this.#reader.onBroken();
			return;
		}

		if (this.#written && job.mode !== 'plain') {
			void cancelRun(pool, job.requestId);
		}

		this.#fail(reason, 0);
	}

	#onHeaders(status: number, headers: IncomingHttpHeaders): void {
		this.#instance = oneHeader(headers, 'x-instance-id');
		const kind = classifyResponse(this.#options.job.requestId, status, headers);
		if (kind === 'answer') {
			this.#reader = this.#startReader(status, headers);
		} else {
			this.#onUnusableResponse(kind);
		}
	}

	#onUnusableResponse(kind: Exclude<ResponseKind, 'answer'>): void {
		if (kind === 'overloaded' || kind === 'fenced') {
			this.#finish({kind: 'declined', reason: kind, ...this.#instanceField});
		} else {
			this.#countDropped(kind);
			this.#fail(kind, 0);
		}
	}

	#startReader(status: number, headers: IncomingHttpHeaders): ResponseReader {
		const ctx = this.#readerContext(status, headers);
		if (ctx.job.mode !== 'stream' || !isEventStream(status, headers)) {
			this.#isStream = false;
			this.#stallTimer.stop();
			return readWholeResponse(ctx);
		}

		const stream = readStreamResponse(ctx, offset => {
			this.#resumeStream(stream, offset);
		});
		return stream;
	}

	#readerContext(status: number, headers: IncomingHttpHeaders): ReaderContext {
		const {job, response, notify} = this.#options;
		return {
			job,
			status,
			headers,
			response,
			onDelivering() {
				notify({kind: 'delivering'});
			},
			onAnswered: cost => {
				this.#finish({kind: 'answered', cost, ...this.#instanceField});
			},
			onFailed: (reason, cost) => {
				this.#fail(reason, cost);
			},
			onDropped: reason => {
				this.#countDropped(reason);
			},
			pause: () => {
				this.#stallTimer.stop();
				this.#call?.pause();
			},
		};
	}

	#resumeStream(stream: StreamReader, offset: number): void {
		this.#call?.close();
		if (this.#cancelled) {
			return;
		}

		const plan = planResume(this.#resume, offset);
		if (!plan) {
			this.#options.metrics.streamResumes.inc({result: 'given-up'});
			this.#fail('link-broken', stream.cost());
			return;
		}

		this.#resume = plan.state;
		this.#resumeTimer = setTimeout(() => {
			stream.restart();
			this.#connect(resumeRequest(this.#options.job.requestId, offset), this.#listener((status, headers) => {
				this.#onResumed(stream, status, headers);
			}));
		}, plan.delayMs);
	}

	#onResumed(stream: StreamReader, status: number, headers: IncomingHttpHeaders): void {
		const {metrics, job} = this.#options;
		const resumed = isEventStream(status, headers) && classifyResponse(job.requestId, status, headers) === 'answer';
		metrics.streamResumes.inc({result: resumed ? 'resumed' : 'refused'});
		if (!resumed) {
			this.#fail('link-broken', stream.cost());
		}
	}
}
