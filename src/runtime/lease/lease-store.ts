/** Reads and writes lease rows. If the response to a write is lost, the rows are read back to find out whether the write took effect. */
import * as z from 'zod';
import {type LeaseRow, type LeaseWrite} from '../../core/lease/types.js';
import {type Json, type PlatformClient} from '../platform/types.js';

const LEASES_TABLE = 'leases';

const leaseRowSchema = z.object({holder: z.string(), epoch: z.number().int(), operation_id: z.string()});

type StoredRow = {readonly row: LeaseRow; readonly operationId: string | undefined};

export type LeaseWriteResult =
	| {readonly kind: 'written'; readonly rows: readonly LeaseRow[]}
	| {readonly kind: 'conflict'; readonly rows: readonly LeaseRow[]}
	| {readonly kind: 'failed'};

export type LeaseStore = {
	readonly read: (service: string) => Promise<LeaseRow | undefined>;
	readonly write: (rows: readonly LeaseWrite[]) => Promise<LeaseWriteResult>;
};

const toStored = (service: string, value: Json | undefined, revision: number | undefined): StoredRow => {
	const parsed = leaseRowSchema.safeParse(value);
	if (revision === undefined) {
		return {
			row: {
				service, holder: '', epoch: 0, revision: 'absent',
			}, operationId: undefined,
		};
	}

	// An invalid row counts as a lease without a holder. A write to it still has to state its revision.
	const {holder = '', epoch = 0, operation_id: operationId} = parsed.data ?? {};
	return {
		row: {
			service, holder, epoch, revision,
		}, operationId,
	};
};

export type LeaseStoreOptions = {
	readonly platform: Pick<PlatformClient, 'readRow' | 'transact'>;
	readonly dataCentre: string;
	readonly createOperationId: () => string;
};

export const createLeaseStore = ({platform, dataCentre, createOperationId}: LeaseStoreOptions): LeaseStore => {
	const keyOf = (service: string): string => `${service}@${dataCentre}`;

	const readStored = async (service: string): Promise<StoredRow | undefined> => {
		const result = await platform.readRow(LEASES_TABLE, keyOf(service));
		switch (result.kind) {
			case 'found': {
				return toStored(service, result.value.value, result.value.revision);
			}

			case 'absent': {
				return toStored(service, undefined, undefined);
			}

			case 'unavailable':
			case 'rate_limited': {
				return undefined;
			}
		}
	};

	/** Reads the rows after the response to a write was lost, and compares their operation id with that of the write. */
	const readBack = async (rows: readonly LeaseWrite[], operationId: string): Promise<LeaseWriteResult> => {
		const stored = await Promise.all(rows.map(async ({service}) => readStored(service)));
		const known = stored.filter(item => item !== undefined);
		if (known.length < rows.length) {
			return {kind: 'failed'};
		}

		const isWritten = known.every(item => item.operationId === operationId);
		return {kind: isWritten ? 'written' : 'conflict', rows: known.map(({row}) => row)};
	};

	return {
		async read(service) {
			const stored = await readStored(service);
			return stored?.row;
		},
		async write(rows) {
			const operationId = createOperationId();
			const result = await platform.transact(LEASES_TABLE, {
				operationId,
				operations: rows.map(({service, holder, epoch, expectRevision}) => ({
					key: keyOf(service), expectRevision, value: {holder, epoch, operation_id: operationId},
				})),
			});
			switch (result.kind) {
				case 'ok': {
					const revisions = new Map(result.rows.map(({key, revision}) => [key, revision]));
					return {
						kind: 'written',
						rows: rows.map(({service, holder, epoch}) => ({
							service, holder, epoch, revision: revisions.get(keyOf(service)) ?? 'absent',
						})),
					};
				}

				case 'conflict': {
					const services = new Map(rows.map(({service}) => [keyOf(service), service]));
					return {
						kind: 'conflict',
						rows: result.conflicts.map(({key, value, revision}) => toStored(services.get(key) ?? key, value, revision).row),
					};
				}

				case 'unknown': {
					return readBack(rows, operationId);
				}

				case 'unavailable':
				case 'rate_limited': {
					return {kind: 'failed'};
				}
			}
		},
	};
};
