/** Sends the requests of one team: in an open loop at a rate, or in a closed loop with a fixed concurrency. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Dispatcher} from 'undici';
import {type Clock} from '../../src/core/clock.js';
import {wallClockMs} from '../../standins/shared/wall-clock.js';
import {createRandom, type Random} from './random.js';
import {planRequest} from './request-plan.js';
import {RouterChoice} from './router-choice.js';
import {sendRequest} from './send-request.js';
import {type LoadTeam} from './settings.js';
import {
	type Attempt, type RequestPlan, type RequestResult, type TimedAttempt,
} from './types.js';

const MIN_RETRY_MS = 50;
const MS_PER_S = 1000;
/** Number of random streams per team. */
const RANDOM_STREAMS = 3;

/** State that all teams of a run share. */
export type RunContext = {
	readonly runId: string;
	readonly seed: number;
	readonly routers: readonly string[];
	readonly graceMs: number;
	readonly clock: Clock;
	readonly dispatcher: Dispatcher;
	/** Stops the sending of new requests and retries. */
	readonly stopSignal: AbortSignal;
	readonly onSubmitted: (team: string) => void;
	readonly onResult: (result: RequestResult) => void;
};

/** Whether an attempt may be retried; a debit is safe to retry after a broken connection, due to its idempotency key. */
const mayRetry = (attempt: Attempt): boolean =>
	(attempt.kind === 'refused' && attempt.notRun && attempt.retryAfterMs > 0) || attempt.kind === 'broken';

export class TeamLoad {
	/** Plan, pace and retries have a random stream each, so that the generated requests do not depend on the responses. */
	readonly #planRandom: Random;
	readonly #paceRandom: Random;
	readonly #retryRandom: Random;
	readonly #routers: RouterChoice;
	readonly #openRequests = new Set<Promise<void>>();
	#number = 0;
	/** Time from which neither new requests nor retries are sent. */
	#stopMs = Infinity;

	constructor(private readonly team: LoadTeam, index: number, private readonly run: RunContext) {
		this.#planRandom = createRandom(run.seed, (index * RANDOM_STREAMS) + 1);
		this.#paceRandom = createRandom(run.seed, (index * RANDOM_STREAMS) + 2);
		this.#retryRandom = createRandom(run.seed, (index * RANDOM_STREAMS) + 3);
		this.#routers = new RouterChoice(team.routers ?? run.routers, run.routers, index);
	}

	get #isOver(): boolean {
		return this.run.stopSignal.aborted || this.#number >= (this.team.maxRequests ?? Infinity) || this.run.clock.nowMs() >= this.#stopMs;
	}

	/** Sends the requests; resolves when no more are due and every request has ended. */
	async send(durationMs: number): Promise<void> {
		const startMs = this.run.clock.nowMs() + this.team.startMs;
		this.#stopMs = startMs + Math.min(durationMs, this.team.stopMs ?? durationMs) - this.team.startMs;
		await this.#sleep(this.team.startMs);
		await (this.team.ratePerS > 0 ? this.#sendAtRate(startMs) : this.#sendInClosedLoop());
		await Promise.all(this.#openRequests);
	}

	async #sendAtRate(startMs: number): Promise<void> {
		let dueMs = startMs;
		while (dueMs < this.#stopMs && !this.#isOver) {
			if (this.#openRequests.size < this.team.concurrency) {
				const request = this.#request().finally(() => {
					this.#openRequests.delete(request);
				});
				this.#openRequests.add(request);
			}

			dueMs += this.#paceRandom.exponential(MS_PER_S / this.team.ratePerS);
			await this.#sleep(Math.min(dueMs, this.#stopMs) - this.run.clock.nowMs()); // eslint-disable-line no-await-in-loop
		}
	}

	async #sendInClosedLoop(): Promise<void> {
		await Promise.all(Array.from({length: this.team.concurrency}, async () => {
			while (!this.#isOver) {
				await this.#request(); // eslint-disable-line no-await-in-loop
			}
		}));
	}

	async #request(): Promise<void> {
		this.#number += 1;
		const plan = planRequest(this.team, this.run.runId, this.#number, this.#planRandom);
		const startMs = wallClockMs();
		this.run.onSubmitted(this.team.name);
		const attempts = await this.#attempts(plan);
		const last = attempts.at(-1);
		if (last) {
			this.run.onResult({
				plan, attempts, last, startMs, endMs: wallClockMs(),
			});
		}
	}

	/** Sends a request and retries it until it is answered, may not be retried, has no retries left or the run is over. */
	async #attempts(plan: RequestPlan): Promise<readonly TimedAttempt[]> {
		const attempts: TimedAttempt[] = [];
		while (true) {
			const startMs = wallClockMs();
			const timeoutMs = plan.deadlineMs + this.run.graceMs;
			const attempt = await this.#sendToAny(plan, timeoutMs); // eslint-disable-line no-await-in-loop
			attempts.push({...attempt, startMs, endMs: wallClockMs()});
			const backoffMs = this.#backoffMs(attempt);
			const isOver = this.run.stopSignal.aborted || this.run.clock.nowMs() + backoffMs >= this.#stopMs;
			if (isOver || attempts.length > this.team.maxRetries || !mayRetry(attempt)) {
				return attempts;
			}

			await this.#sleep(backoffMs); // eslint-disable-line no-await-in-loop
		}
	}

	/** Sends one attempt to the first router that accepts the connection, until the timeout. */
	async #sendToAny(plan: RequestPlan, timeoutMs: number): Promise<Attempt> {
		const {clock, dispatcher} = this.run;
		const deadlineMs = clock.nowMs() + timeoutMs;
		while (true) {
			const router = this.#routers.next(clock.nowMs());
			const attempt = await sendRequest(plan, router, dispatcher, Math.max(1, deadlineMs - clock.nowMs())); // eslint-disable-line no-await-in-loop
			if (attempt.kind !== 'unreachable' || clock.nowMs() + MIN_RETRY_MS >= deadlineMs || this.run.stopSignal.aborted) {
				return attempt;
			}

			this.#routers.markDown(router, clock.nowMs());
			await this.#sleep(MIN_RETRY_MS); // eslint-disable-line no-await-in-loop
		}
	}

	#backoffMs(attempt: Attempt): number {
		const baseMs = Math.max(MIN_RETRY_MS, attempt.kind === 'refused' ? attempt.retryAfterMs : 0);
		return baseMs * (1 + this.#retryRandom.uniform());
	}

	async #sleep(ms: number): Promise<void> {
		if (ms <= 0) {
			return;
		}

		try {
			await delay(ms, undefined, {signal: this.run.stopSignal});
		} catch {
			// The run was stopped; the callers of this method check the signal.
		}
	}
}
