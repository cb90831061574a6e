/**
 * Commits transactions whose response may be lost. In that case a row of the transaction is read
 * back, and the transaction is retried unless the row shows that it took effect.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	type Json, type PlatformClient, type Transaction, type TransactionResult,
} from './types.js';

const COMMIT_ATTEMPTS = 3;
const COMMIT_PAUSE_MS = 100;

/** Returns the operation id in a row's value, or `undefined` if it has none. */
export const operationIdOf = (value: Json | undefined): string | undefined => {
	if (typeof value !== 'object' || value === null || Array.isArray(value) || !('operation_id' in value)) {
		return undefined;
	}

	const id = value.operation_id;
	return typeof id === 'string' ? id : undefined;
};

type CommitOptions = {
	readonly platform: PlatformClient;
	readonly table: string;
	/**
	 * The transaction. Its first operation expects a revision, and the value of that
	 * operation has a member `operation_id` with the operation id of the transaction.
	 */
	readonly transaction: Transaction;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
};

const readBack = async ({platform, table, transaction}: CommitOptions): Promise<'done' | 'absent' | 'unread'> => {
	const [first] = transaction.operations;
	const row = first && await platform.readRow(table, first.key);
	if (row?.kind === 'found') {
		return operationIdOf(row.value.value) === transaction.operationId ? 'done' : 'absent';
	}

	return row?.kind === 'absent' ? 'absent' : 'unread';
};

const isOwn = (result: TransactionResult, operationId: string): boolean =>
	result.kind === 'conflict' && result.conflicts.some(row => operationIdOf(row.value) === operationId);

/**
 * Commits a transaction. Returns `unknown` only if no attempt could show whether the transaction
 * took effect. It cannot take effect twice, even if the platform executes an attempt late, since
 * it expects a revision.
 */
export const commit = async (options: CommitOptions): Promise<TransactionResult> => {
	const {platform, table, transaction, random} = options;
	let isUncertain = false;
	for (let attempt = 1; ; attempt++) {
		const result = await platform.transact(table, transaction); // eslint-disable-line no-await-in-loop
		if (isOwn(result, transaction.operationId)) {
			return {kind: 'ok', rows: []};
		}

		if (result.kind !== 'unknown') {
			return isUncertain && result.kind !== 'ok' && result.kind !== 'conflict' ? {kind: 'unknown'} : result;
		}

		isUncertain = true;
		const trace = await readBack(options); // eslint-disable-line no-await-in-loop
		if (trace === 'done') {
			return {kind: 'ok', rows: []};
		}

		if (attempt >= COMMIT_ATTEMPTS) {
			return result;
		}

		await delay(COMMIT_PAUSE_MS * (0.5 + random())); // eslint-disable-line no-await-in-loop
	}
};
