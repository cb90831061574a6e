/** Injected faults and rate limits of the platform's calls, and the counts of calls. */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Clock} from '../../src/core/clock.js';
import {resetConnection, sendJson} from '../shared/http-service.js';
import {type Handler} from '../shared/types.js';
import {RateLimit} from './rate-limit.js';
import {type PlatformControl, type PlatformSettings} from './settings.js';

const RATE_LIMIT_RETRY_S = '1';

type Access = 'read' | 'write';

export class CallGate {
	readonly #clock: Clock;
	readonly #limits: Readonly<Record<Access, RateLimit>>;
	readonly #calls: Record<string, number> = {};
	readonly #hung = new Set<ServerResponse>();
	#outage: 'none' | 'refuse' | 'hang' = 'none';
	#slowMs = 0;
	#loseNextAnswers = 0;

	constructor(cfg: PlatformSettings, clock: Clock) {
		this.#clock = clock;
		this.#limits = {
			read: new RateLimit(cfg.readsPerS, clock.nowMs()),
			write: new RateLimit(cfg.writesPerS, clock.nowMs()),
		};
	}

	/** Number of calls by kind, and number of calls that were refused, rate-limited, left without a response or lost their response. */
	get calls(): Readonly<Record<string, number>> {
		return this.#calls;
	}

	/** Returns a handler that counts the call and applies outage, delay and rate limit before `handler` runs. */
	wrap(kind: string, effort: Access, handler: Handler): Handler {
		return async (req, res) => {
			this.#count(kind);
			if (this.#isRefused(res, effort)) {
				return;
			}

			if (this.#slowMs > 0) {
				await delay(this.#slowMs);
			}

			await handler(req, res);
		};
	}

	/** Sends the response to a write that has taken effect, or resets the connection if the response is to be lost. */
	sendWriteResult(res: ServerResponse, status: number, body: unknown): void {
		if (this.#loseNextAnswers > 0) {
			this.#loseNextAnswers -= 1;
			this.#count('answers_lost');
			resetConnection(res);
			return;
		}

		sendJson(res, status, body);
	}

	control({outage, slowMs, loseNextAnswers, readsPerS, writesPerS}: PlatformControl): void {
		this.#slowMs = slowMs ?? this.#slowMs;
		this.#loseNextAnswers = loseNextAnswers ?? this.#loseNextAnswers;
		if (readsPerS !== undefined) {
			this.#limits.read.setRate(readsPerS);
		}

		if (writesPerS !== undefined) {
			this.#limits.write.setRate(writesPerS);
		}

		if (outage) {
			this.#setOutage(outage);
		}
	}

	#isRefused(res: ServerResponse, effort: Access): boolean {
		if (this.#outage === 'hang') {
			this.#count('hung');
			this.#hung.add(res);
			res.once('close', () => {
				this.#hung.delete(res);
			});
			return true;
		}

		if (this.#outage === 'refuse') {
			this.#count('refused');
			sendJson(res, 503, {error: {name: 'Outage'}});
			return true;
		}

		if (this.#limits[effort].take(this.#clock.nowMs())) {
			return false;
		}

		this.#count('rate_limited');
		sendJson(res, 429, {error: {name: 'RateLimited'}}, {'retry-after': RATE_LIMIT_RETRY_S});
		return true;
	}

	#count(kind: string): void {
		this.#calls[kind] = (this.#calls[kind] ?? 0) + 1;
	}

	#setOutage(outage: 'none' | 'refuse' | 'hang'): void {
		this.#outage = outage;
		if (outage === 'hang') {
			return;
		}

		for (const res of this.#hung) {
			res.destroy();
		}

		this.#hung.clear();
	}
}
