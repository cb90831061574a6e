/** A platform in memory, with outages and lost responses on command. */
import {
	type Json, type ListedVm, type PlatformClient, type PlatformRow, type Transaction, type TransactionResult,
} from '../../src/runtime/platform/types.js';

export type PlatformMode = 'up' | 'down' | 'lose_answers' | 'rate_limited';

type StoredRow = {readonly value: Json; readonly revision: number};

export class FakePlatform {
	readonly reads = new Map<string, number>();
	readonly objects = new Map<string, string>();
	vms: readonly ListedVm[] = [];
	writes = 0;
	/** Whether, from the first write on, no call gets a response. */
	isSilentAfterWrite = false;
	/** Tables as reads return them after `freezeReads`; transactions use the current ones. */
	#staleTables: ReadonlyMap<string, ReadonlyMap<string, StoredRow>> | undefined;
	readonly #tables = new Map<string, Map<string, StoredRow>>();
	readonly #modes = new Map<string, PlatformMode>();
	#revision = 0;

	/** Makes reads return the rows as they are now, also after later writes. */
	freezeReads(): void {
		this.#staleTables = new Map([...this.#tables].map(([table, rows]) => [table, new Map(rows)]));
	}

	setMode(mode: PlatformMode, client = '*'): void {
		this.#modes.set(client, mode);
	}

	row(table: string, key: string): PlatformRow | undefined {
		const row = this.#tables.get(table)?.get(key);
		return row && {key, ...row};
	}

	/** Returns the client by which one VM calls the platform. */
	client(name: string): PlatformClient {
		const unavailable = {kind: 'unavailable', reason: 'outage'} as const;
		const isDown = (): boolean => this.#mode(name) === 'down';
		return {
			readRow: async (table, key) => {
				if (isDown() || (this.isSilentAfterWrite && this.writes > 0)) {
					return unavailable;
				}

				if (this.#mode(name) === 'rate_limited') {
					return {kind: 'rate_limited', retryAfterMs: 1000};
				}

				this.reads.set(name, (this.reads.get(name) ?? 0) + 1);
				const stored = (this.#staleTables ?? this.#tables).get(table)?.get(key);
				const row = stored && {key, ...stored};
				return row ? {kind: 'found', value: row} : {kind: 'absent'};
			},
			readRows: async () => unavailable,
			transact: async (table, transaction) => {
				if (isDown()) {
					return unavailable;
				}

				if (this.#mode(name) === 'rate_limited') {
					return {kind: 'rate_limited', retryAfterMs: 1000};
				}

				const result = this.#transact(table, transaction);
				const isWrite = result.kind === 'ok' && transaction.operations.some(({value}) => value !== undefined);
				const isLost = isWrite && this.#mode(name) === 'lose_answers';
				return isLost || (this.isSilentAfterWrite && this.writes > 0) ? {kind: 'unknown'} : result;
			},
			getObject: async key => {
				const body = this.objects.get(key);
				return body === undefined ? {kind: 'absent'} : {kind: 'found', value: body};
			},
			putObject: async (key, body) => {
				this.objects.set(key, body);
				return {ok: true};
			},
			listVms: async () => isDown() ? unavailable : {kind: 'found', value: this.vms},
			async close() {
				// The client holds no connection.
			},
		};
	}

	#mode(client: string): PlatformMode {
		const all = this.#modes.get('*') ?? 'up';
		return all === 'up' ? this.#modes.get(client) ?? 'up' : all;
	}

	#transact(table: string, {operations}: Transaction): TransactionResult {
		const rows = this.#tables.get(table) ?? new Map<string, StoredRow>();
		this.#tables.set(table, rows);
		const conflicts = operations.filter(({key, expectRevision}) =>
			expectRevision !== undefined && (rows.get(key)?.revision ?? 'absent') !== expectRevision);
		if (conflicts.length > 0) {
			return {
				kind: 'conflict',
				conflicts: conflicts.map(({key}) => ({key, value: rows.get(key)?.value, revision: rows.get(key)?.revision})),
			};
		}

		this.writes += operations.some(({value}) => value !== undefined) ? 1 : 0;
		return {
			kind: 'ok',
			rows: operations.map(({key, value}) => {
				this.#revision++;
				if (value === undefined) {
					rows.delete(key);
				} else {
					rows.set(key, {value, revision: this.#revision});
				}

				return {key, revision: this.#revision};
			}),
		};
	}
}
