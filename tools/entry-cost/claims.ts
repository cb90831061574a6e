#!/usr/bin/env node
/**
 * Measures the cost of claims of idempotency keys in the platform's table at several rates:
 * time for each claim, transactions a second, and refused claims. The platform stand-in runs
 * in a process of its own.
 *
 * Usage: node dist/tools/entry-cost/claims.js
 */
import {fork} from 'node:child_process';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {build} from 'hdr-histogram-js';
import * as z from 'zod';
import {RefusalError} from '../../src/core/errors/refusal-error.js';
import {createTableClaims} from '../../src/runtime/claims/table-claims.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {createMetrics} from '../../src/runtime/observe/metrics.js';
import {createPlatformClient} from '../../src/runtime/platform/platform-client.js';

const RATES_PER_S = [10, 50, 200, 800] as const;
const SECONDS_PER_RATE = 3;
/** Time between two checks for claims that are due. */
const BURST_INTERVAL_MS = 5;

const platformProcess = fork(fileURLToPath(new URL('platform-process.js', import.meta.url)));
const {platform: address} = z.object({platform: z.string()}).parse(await new Promise(resolve => {
	platformProcess.once('message', resolve);
}));
const platform = createPlatformClient({origin: `http://${address}`, random: Math.random});

const measureClaims = async (ratePerS: number) => {
	let transactions = 0;
	let rows = 0;
	const claims = createTableClaims({
		platform: {
			async transact(table, transaction) {
				transactions++;
				rows += transaction.operations.length;
				return platform.transact(table, transaction);
			},
		},
		clock: monotonicClock, random: Math.random, wallMs: () => Date.now(), metrics: createMetrics(),
	});
	const histogram = build();
	let refused = 0;
	const claim = async (index: number) => {
		const startMs = monotonicClock.nowMs();
		try {
			const requestId = `${ratePerS}-${index}`;
			const held = await claims.claim({team: 'bench', key: requestId, requestId});
			histogram.recordValue(Math.round((monotonicClock.nowMs() - startMs) * 1000));
			held.settle('answered', 'yes');
		} catch (error) {
			if (!(error instanceof RefusalError)) {
				throw error;
			}

			refused++;
		}
	};

	const startMs = monotonicClock.nowMs();
	const running: Array<Promise<void>> = [];
	const total = ratePerS * SECONDS_PER_RATE;
	while (running.length < total) {
		const due = Math.min(total, Math.ceil((monotonicClock.nowMs() - startMs) * ratePerS / 1000));
		while (running.length < due) {
			running.push(claim(running.length));
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(BURST_INTERVAL_MS);
	}

	await Promise.all(running);
	const seconds = (monotonicClock.nowMs() - startMs) / 1000;
	const transactionsPerS = Math.round(transactions / seconds);
	await claims.close();
	return {
		claims_per_s: ratePerS, p50_ms: histogram.getValueAtPercentile(50) / 1000, p99_ms: histogram.getValueAtPercentile(99) / 1000,
		transactions_per_s: transactionsPerS, rows_a_transaction: rows / transactions, refused, claims: total,
	};
};

const results = [];
for (const rate of RATES_PER_S) {
	// eslint-disable-next-line no-await-in-loop
	results.push(await measureClaims(rate));
}

process.stdout.write(`${JSON.stringify(results, undefined, 2)}\n`);
platformProcess.disconnect();
await platform.close();
