/** HTTP routes and state that the engine and the ledger share: admission, load report, record of runs, injected faults. */
import {randomUUID} from 'node:crypto';
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Clock} from '../../src/core/clock.js';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {camelKeys} from '../../src/core/settings/camel-keys.js';
import {StandinBodyInvalid} from './errors-data.js';
import {readJson, resetConnection, sendJson} from './http-service.js';
import {LaggingReport} from './lagging-report.js';
import {RunRecord, type RunOutcome} from './run-record.js';
import {targetControlSchema, type TargetSettings} from './target-settings.js';
import {TargetState} from './target-state.js';
import {type HttpRequest, type Route} from './types.js';
import {wallClockMs} from './wall-clock.js';

type LoadReport = {
	readonly instance: string;
	readonly running: number;
	readonly waiting: number;
	readonly cold: boolean;
	readonly leaving: boolean;
	readonly cached_prefixes: number;
};

/** What is recorded of a run at its start. */
export type RunStart = {
	readonly requestId: string;
	readonly businessId: string;
	readonly team: string;
	readonly instance: string;
	readonly startMs: number;
};

type Hooks = {
	/** Closes all connections and drops all running work. */
	readonly onRestart: () => void;
	readonly cachedPrefixes: () => number;
};

export class TargetHost {
	readonly state: TargetState;
	readonly record = new RunRecord();
	readonly #running = new Set<RunStart>();
	readonly #load: LaggingReport<LoadReport>;

	constructor(name: string, cfg: TargetSettings, private readonly clock: Clock, private readonly hooks: Hooks) {
		this.state = new TargetState(cfg, `${name}-${randomUUID().slice(0, 8)}`);
		this.#load = new LaggingReport(() => this.#loadReport(), cfg.loadLagMs, clock);
	}

	get routes(): readonly Route[] {
		return [
			['GET', '/load', (req, res) => {
				this.#sendLoad(res);
			}],
			['GET', '/record', (req, res) => {
				sendJson(res, 200, this.#recordBody());
			}],
			['POST', '/control', async (req, res) => this.#control(req, res)],
		];
	}

	/** Returns the headers of every response to `requestId`. */
	headers(requestId: string): Readonly<Record<string, string>> {
		return {'x-request-id': requestId, 'x-instance-id': this.state.instance};
	}

	/**
	 * Admits the request and returns its run, or responds with the reason for the refusal
	 * and returns undefined.
	 */
	async admit(req: HttpRequest, res: ServerResponse, work: {readonly businessId: string; readonly team: string}): Promise<RunStart | undefined> {
		await this.waitWhileFrozen();
		const requestId = String(req.headers['x-request-id'] ?? randomUUID());
		const admission = this.state.admit(Number(req.headers['x-fencing-epoch'] ?? 0), this.clock.nowMs());
		if (admission === 'overloaded') {
			sendJson(res, 503, {error: {name: 'Overloaded'}}, {...this.headers(requestId), 'x-overloaded': '1'});
			return undefined;
		}

		if (admission === 'fenced') {
			sendJson(res, 409, {error: {name: 'FencingRefused'}}, {...this.headers(requestId), 'x-fencing-refused': '1'});
			return undefined;
		}

		if (admission === 'fall-over') {
			resetConnection(res);
			this.restart();
			return undefined;
		}

		const start: RunStart = {
			requestId, ...work, instance: this.state.instance, startMs: wallClockMs(),
		};
		this.#running.add(start);
		return start;
	}

	/** Records the end of a run. Does nothing if a restart has already ended it. */
	end(start: RunStart, outcome: RunOutcome, cost: number): void {
		if (!this.#running.delete(start)) {
			return;
		}

		this.record.add({
			...start, endMs: wallClockMs(), cost, outcome,
		});
		this.state.end(outcome === 'answered', this.clock.nowMs());
	}

	/** Whether the run has neither ended nor been dropped by a restart. */
	isRunning(start: RunStart): boolean {
		return this.#running.has(start);
	}

	/** Drops all running work and becomes a new, cold instance. */
	restart(): void {
		for (const start of this.#running) {
			this.record.add({
				...start, endMs: wallClockMs(), cost: 0, outcome: 'reset',
			});
		}

		this.#running.clear();
		this.state.restart(this.clock.nowMs());
		this.hooks.onRestart();
	}

	/** Resolves as soon as the target is not frozen. */
	async waitWhileFrozen(): Promise<void> {
		const leftMs = this.state.frozenUntilMs - this.clock.nowMs();
		if (leftMs > 0) {
			await delay(leftMs);
			await this.waitWhileFrozen();
		}
	}

	close(): void {
		this.#load.close();
	}

	#sendLoad(res: ServerResponse): void {
		const report = this.#load.read();
		if (report.cold && report.instance === this.state.instance) {
			this.state.recordLoadRead(this.clock.nowMs());
		}

		sendJson(res, 200, report);
	}

	#loadReport(): LoadReport {
		const {instance, running, cold, leaving} = this.state;
		return {
			instance, running, waiting: 0, cold, leaving, cached_prefixes: this.hooks.cachedPrefixes(),
		};
	}

	#recordBody(): unknown {
		const {instance, cold, leaving, running, coldViolations, coldViolationsUnwarned, falls, overloads, fenced} = this.state;
		return {
			instance, cold, leaving, running, falls, overloads, fenced,
			cold_violations: coldViolations,
			cold_violations_unwarned: coldViolationsUnwarned,
			dropped: this.record.dropped,
			runs: this.record.runs.map(run => ({
				request_id: run.requestId, business_id: run.businessId, team: run.team, instance: run.instance,
				start_ms: run.startMs, end_ms: run.endMs, cost: run.cost, outcome: run.outcome,
			})),
		};
	}

	async #control(req: HttpRequest, res: ServerResponse): Promise<void> {
		const result = targetControlSchema.safeParse(camelKeys(await readJson(req)));
		if (!result.success) {
			throw new JackdawwoodError(StandinBodyInvalid, {fault: result.error.message});
		}

		this.state.inject(result.data, this.clock.nowMs());
		if (result.data.restart) {
			res.once('finish', () => {
				this.restart();
			});
		}

		sendJson(res, 200, {instance: this.state.instance});
	}
}
