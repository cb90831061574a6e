/** Consistent reads of configuration rows. */
import {randomUUID} from 'node:crypto';
import {type PlatformClient, type PlatformRow, type ReadResult} from '../platform/types.js';
import {CONFIG_TABLE} from './config-table.js';

/**
 * Reads a row by a transaction that expects the row to be absent. If the row exists, the conflict
 * in the response contains it. If not, the transaction has no effect. The transaction counts as a
 * write, so it is used only at the start of a process and for proposals.
 */
export const readConsistently = async (platform: Pick<PlatformClient, 'transact'>, key: string): Promise<ReadResult<PlatformRow>> => {
	const result = await platform.transact(CONFIG_TABLE, {
		operationId: randomUUID(),
		operations: [{key, expectRevision: 'absent', value: undefined}],
	});
	switch (result.kind) {
		case 'conflict': {
			const [row] = result.conflicts;
			return row?.value === undefined || row.revision === undefined
				? {kind: 'absent'}
				: {kind: 'found', value: {key, value: row.value, revision: row.revision}};
		}

		case 'ok': {
			return {kind: 'absent'};
		}

		case 'unknown': {
			return {kind: 'unavailable', reason: 'timeout'};
		}

		case 'unavailable':
		case 'rate_limited': {
			return result;
		}
	}
};
