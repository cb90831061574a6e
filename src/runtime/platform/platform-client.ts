/**
 * Client of the platform. Reads are retried within a budget. A write is sent once per call,
 * because only the caller (`commit.ts`) can determine whether a write without a response took
 * effect.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type * as z from 'zod';
import {exchange, type HttpCall, type HttpResult} from './platform-http.js';
import {
	conflictResponse, rowResponse, rowsResponse, transactionResponse, vmsResponse,
} from './platform-schema.js';
import {createRenewablePool} from './renewable-pool.js';
import {createRetryBudget} from './retry-budget.js';
import {
	type Absent, type Found, type ListedVm, type PlatformClient, type PlatformObserver, type PlatformRow, type RateLimited,
	type ReadResult, type RetryReason, type Transaction, type TransactionResult, type Unavailable,
} from './types.js';

export type PlatformClientOptions = {
	/** Origin of the platform, for instance `http://10.0.0.1:7000`. */
	readonly origin: string;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
	readonly timeoutMs?: number;
	readonly observer?: PlatformObserver;
};

const TIMEOUT_MS = 1500;
const MAX_READ_ATTEMPTS = 3;
const RETRY_SHARE = 0.2;
const RETRY_BURST = 10;
const RETRY_BASE_MS = 40;
const CONNECTIONS = 4;
const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;

const badResponse: Unavailable = {kind: 'unavailable', reason: 'bad_answer'};
const absent: Absent = {kind: 'absent'};

const parse = <Value>(schema: z.ZodType<Value>, body: string): Value | undefined => {
	try {
		return schema.safeParse(JSON.parse(body)).data;
	} catch {
		return undefined;
	}
};

const failure = (result: Exclude<HttpResult, {kind: 'answer'}>): Unavailable | RateLimited =>
	result.kind === 'rate_limited' ? result : {kind: 'unavailable', reason: result.reason};

const toRead = <Value>(result: HttpResult, read: (body: string) => Value | undefined): ReadResult<Value> => {
	if (result.kind !== 'answer') {
		return failure(result);
	}

	if (result.status === NOT_FOUND) {
		return absent;
	}

	const value = result.status === OK ? read(result.body) : undefined;
	return value === undefined ? badResponse : {kind: 'found', value} satisfies Found<Value>;
};

const toTransactionResult = (result: HttpResult): TransactionResult => {
	if (result.kind === 'unavailable' && result.lost) {
		return {kind: 'unknown'};
	}

	if (result.kind !== 'answer') {
		return failure(result);
	}

	if (result.status === OK) {
		const response = parse(transactionResponse, result.body);
		return response ? {kind: 'ok', rows: response.rows} : {kind: 'unknown'};
	}

	const conflict = result.status === CONFLICT ? parse(conflictResponse, result.body) : undefined;
	return conflict ? {kind: 'conflict', conflicts: conflict.conflicts} : {kind: 'unknown'};
};

const retryReason = (result: Unavailable | RateLimited): RetryReason =>
	result.kind === 'rate_limited' ? 'rate_limited' : result.reason;

const toBody = ({operationId, operations}: Transaction): string => JSON.stringify({
	operation_id: operationId,
	operations: operations.map(({key, expectRevision, value}) => ({
		key,
		...(expectRevision !== undefined && {expect_revision: expectRevision === 'absent' ? null : expectRevision}),
		value: value ?? null,
	})),
});

const readVms = (body: string): readonly ListedVm[] | undefined => parse(vmsResponse, body)?.vms.map(vm => ({
	id: vm.id,
	dataCentre: vm.data_centre,
	control: vm.control,
	admin: vm.admin,
	state: vm.state,
	startedMs: vm.started_ms,
}));

/** Creates a client; it connects on first use. */
export const createPlatformClient = ({origin, random, timeoutMs = TIMEOUT_MS, observer = {}}: PlatformClientOptions): PlatformClient => {
	const pool = createRenewablePool(origin, {connections: CONNECTIONS, pipelining: 1});
	const budget = createRetryBudget(RETRY_SHARE, RETRY_BURST);

	const mayRetry = (reason: RetryReason): boolean => {
		const granted = budget.take();
		(granted ? observer.onRetry : observer.onRetryRefused)?.(reason);
		return granted;
	};

	const read = async <Value>(call: HttpCall, readBody: (body: string) => Value | undefined): Promise<ReadResult<Value>> => {
		budget.noteCall();
		for (let attempt = 1; ; attempt++) {
			const result = toRead(await exchange(pool, call, timeoutMs), readBody); // eslint-disable-line no-await-in-loop
			if (result.kind === 'found' || result.kind === 'absent') {
				return result;
			}

			if (attempt >= MAX_READ_ATTEMPTS || !mayRetry(retryReason(result))) {
				return result;
			}

			await delay(RETRY_BASE_MS * (2 ** attempt) * (0.5 + random())); // eslint-disable-line no-await-in-loop
		}
	};

	return {
		async readRow(table, key) {
			const path = `/tables/${table}/rows/${encodeURIComponent(key)}`;
			return read<PlatformRow>({method: 'GET', path}, body => parse(rowResponse, body));
		},
		async readRows(table, prefix, limit) {
			const path = `/tables/${table}/rows?prefix=${encodeURIComponent(prefix)}&limit=${limit}`;
			return read<readonly PlatformRow[]>({method: 'GET', path}, body => parse(rowsResponse, body)?.rows);
		},
		async transact(table, transaction) {
			const call: HttpCall = {method: 'POST', path: `/tables/${table}/transactions`, body: toBody(transaction)};
			return toTransactionResult(await exchange(pool, call, timeoutMs));
		},
		async getObject(key) {
			return read({method: 'GET', path: `/objects/${encodeURIComponent(key)}`}, body => body);
		},
		async putObject(key, body) {
			const call: HttpCall = {
				method: 'PUT', path: `/objects/${encodeURIComponent(key)}`, body, contentType: 'application/octet-stream',
			};
			const result = await exchange(pool, call, timeoutMs);
			return {ok: result.kind === 'answer' && result.status >= OK && result.status < 300};
		},
		async listVms() {
			return read({method: 'GET', path: '/vms'}, readVms);
		},
		async close() {
			await pool.destroy();
		},
	};
};
