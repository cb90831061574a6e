/** Reads which requests the targets executed and compares that with the responses to callers. */
import {request} from 'undici';
import * as z from 'zod';
import {type RequestResult} from './types.js';

const READ_ATTEMPTS = 3;

const runSchema = z.object({
	request_id: z.string(),
	business_id: z.string(),
	team: z.string(),
	instance: z.string(),
	start_ms: z.number(),
	end_ms: z.number(),
	cost: z.number(),
	outcome: z.enum(['answered', 'cancelled', 'reset']),
});

const recordSchema = z.object({
	instance: z.string(),
	cold: z.boolean(),
	cold_violations: z.number(),
	cold_violations_unwarned: z.number(),
	falls: z.number(),
	overloads: z.number(),
	dropped: z.number(),
	runs: z.array(runSchema),
});

export type RequestExecution = Readonly<z.output<typeof runSchema>>;
export type TargetRecord = Readonly<z.output<typeof recordSchema>>;

/** Reads the record of one target; retries a failed read. */
export const readRecord = async (address: string, attemptsLeft = READ_ATTEMPTS): Promise<TargetRecord> => {
	try {
		const {body} = await request(`http://${address}/record`);
		return recordSchema.parse(await body.json());
	} catch (error) {
		if (attemptsLeft > 1) {
			return readRecord(address, attemptsLeft - 1);
		}

		throw error;
	}
};

/** Differences between the targets' records and the callers' results. */
export type Comparison = {
	/** Ids that callers gave to debits that targets executed more than once. */
	readonly doubled: readonly string[];
	/** Request ids of attempts that were refused as not run although a target executed them. */
	readonly falseNotRun: readonly string[];
	/** Ids that callers gave to answered debits that no target executed. */
	readonly phantom: readonly string[];
	readonly coldViolations: number;
	readonly coldViolationsUnwarned: number;
	readonly overloads: number;
	/** Cost of the executed requests by team, in cost units. */
	readonly servedByTeam: Readonly<Record<string, number>>;
};

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

const countBy = (keys: readonly string[]): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const key of keys) {
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	return counts;
};

const servedByTeam = (runs: readonly RequestExecution[]): Readonly<Record<string, number>> => {
	const served: Record<string, number> = {};
	for (const {team, cost} of runs) {
		served[team] = (served[team] ?? 0) + cost;
	}

	return served;
};

/** Compares the targets' records with the callers' results. */
export const compareRecords = (records: readonly TargetRecord[], results: readonly RequestResult[]): Comparison => {
	const runs = records.flatMap(record => record.runs);
	const runCounts = countBy(runs.map(run => run.business_id));
	const executedIds = new Set(runs.map(run => run.request_id));
	const debits = results.filter(({plan}) => plan.kind === 'debit');
	const refusals = results.flatMap(({attempts}) => attempts).filter(attempt => attempt.kind === 'refused' && attempt.notRun);
	return {
		doubled: debits.map(({plan}) => plan.nonce).filter(nonce => (runCounts.get(nonce) ?? 0) > 1),
		falseNotRun: refusals.map(({requestId}) => requestId).filter(id => executedIds.has(id)),
		phantom: debits.filter(({plan, last}) => last.kind === 'answered' && !runCounts.has(plan.nonce)).map(({plan}) => plan.nonce),
		coldViolations: sum(records.map(record => record.cold_violations)),
		coldViolationsUnwarned: sum(records.map(record => record.cold_violations_unwarned)),
		overloads: sum(records.map(record => record.overloads)),
		servedByTeam: servedByTeam(runs),
	};
};
