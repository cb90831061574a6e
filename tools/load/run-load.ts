/** Runs the load of all teams concurrently, then compares the results with the targets' records. */
import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {Agent} from 'undici';
import {type Clock} from '../../src/core/clock.js';
import {type LoadSettings} from './settings.js';
import {Tally} from './tally.js';
import {
	compareRecords, readRecord, type Comparison, type TargetRecord,
} from './target-records.js';
import {TeamLoad, type RunContext} from './team-load.js';
import {type RequestResult} from './types.js';

/** Result of a load run. */
export type LoadResult = {
	readonly tallies: ReadonlyMap<string, Tally>;
	readonly total: Tally;
	readonly results: readonly RequestResult[];
	/** The targets' records by address. */
	readonly records: ReadonlyMap<string, TargetRecord>;
	readonly comparison: Comparison;
	readonly elapsedMs: number;
};

export type LoadOptions = {
	/** Called every `progressMs` with the counts so far, by team. */
	readonly onProgress?: (tallies: ReadonlyMap<string, Tally>, elapsedMs: number) => void;
	readonly progressMs?: number;
	/** Stops the sending of new requests and retries before the end of the run. */
	readonly signal?: AbortSignal;
};

const PROGRESS_MS = 1000;

/** Returns the sum of the tallies of all teams. */
export const totalOf = (tallies: Iterable<Tally>): Tally => {
	const total = new Tally();
	for (const tally of tallies) {
		total.merge(tally);
	}

	return total;
};

/** Sends the load; resolves when every request has ended and the targets' records have been read. */
export const runLoad = async (cfg: LoadSettings, clock: Clock, options: LoadOptions = {}): Promise<LoadResult> => {
	const tallies = new Map(cfg.teams.map(({name}) => [name, new Tally()]));
	const results: RequestResult[] = [];
	const dispatcher = new Agent({connections: null, headersTimeout: 0, bodyTimeout: 0});
	const startMs = clock.nowMs();
	const stopSignal = options.signal ?? new AbortController().signal;
	// Every request that waits before a retry adds a listener to the signal.
	setMaxListeners(0, stopSignal);
	const context: RunContext = {
		runId: randomUUID().slice(0, 8), seed: cfg.seed, routers: cfg.routers, graceMs: cfg.graceMs, clock, dispatcher,
		stopSignal,
		onSubmitted(team) {
			tallies.get(team)!.asked += 1;
		},
		onResult(result) {
			results.push(result);
			tallies.get(result.plan.team)!.add(result);
		},
	};
	const timer = setInterval(() => {
		options.onProgress?.(tallies, clock.nowMs() - startMs);
	}, options.progressMs ?? PROGRESS_MS);
	try {
		await Promise.all(cfg.teams.map(async (team, index) => new TeamLoad(team, index, context).send(cfg.durationMs)));
	} finally {
		clearInterval(timer);
		await dispatcher.destroy();
	}

	const records = new Map(await Promise.all(cfg.targets.map(async address => [address, await readRecord(address)] as const)));
	return {
		tallies, results, records,
		total: totalOf(tallies.values()),
		comparison: compareRecords([...records.values()], results),
		elapsedMs: clock.nowMs() - startMs,
	};
};
