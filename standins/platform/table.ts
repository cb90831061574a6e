/** A table with transactions and compare-and-set; does no I/O. */
import * as z from 'zod';

export const transactionSchema = z.object({
	operation_id: z.string().min(1),
	operations: z.array(z.object({
		key: z.string().min(1),
		/** Revision that the row must have; `null` if there must be no row, absent if the row is not checked. */
		expect_revision: z.number().int().nullable().optional(),
		/** New value of the row; `null` deletes the row. */
		value: z.unknown(),
	})).min(1),
});

export type Transaction = Readonly<z.output<typeof transactionSchema>>;

export type Row = {readonly key: string; readonly value: unknown; readonly revision: number};

export class Table {
	readonly #rows = new Map<string, Row>();
	#revision = 0;

	get(key: string): Row | undefined {
		return this.#rows.get(key);
	}

	/** Returns up to `limit` rows whose key begins with the prefix, ordered by key. */
	list(prefix: string, limit: number): readonly Row[] {
		return [...this.#rows.values()]
			.filter(({key}) => key.startsWith(prefix))
			.toSorted((a, b) => (a.key < b.key ? -1 : 1))
			.slice(0, limit);
	}

	/** Executes all operations, or none if rows have other revisions than expected; then returns these rows. */
	transact({operations}: Transaction) {
		const conflicts = operations.filter(({key, expect_revision: expected}) =>
			expected !== undefined && (this.#rows.get(key)?.revision ?? null) !== expected);
		if (conflicts.length > 0) {
			return {
				conflicts: conflicts.map(({key}) => this.#rows.get(key) ?? {key, value: null, revision: null}),
			};
		}

		return {rows: operations.map(({key, value}) => this.#write(key, value))};
	}

	#write(key: string, value: unknown): {readonly key: string; readonly revision: number} {
		this.#revision += 1;
		if (value === null || value === undefined) {
			this.#rows.delete(key);
		} else {
			this.#rows.set(key, {key, value, revision: this.#revision});
		}

		return {key, revision: this.#revision};
	}
}
