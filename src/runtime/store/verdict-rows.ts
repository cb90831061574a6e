/** Keeps the condemned prompt parts in the store, so that they outlive a restart of all VMs. */
import * as z from 'zod';
import {type StoredVerdict} from '../../core/quarantine/types.js';
import {
	type Store, type StoreRow, type VerdictStore, type WholeTable,
} from './types.js';

const VERDICTS_TABLE = 'verdicts';

/** A row without a count of checks is that of a verdict that has ended. */
const verdictSchema = z.looseObject({checks: z.int().nonnegative().max(1000)});

const decodeVerdict = ({key, value}: StoreRow): StoredVerdict | undefined => {
	try {
		const {data} = verdictSchema.safeParse(JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(value)));
		return data && {part: key, checks: data.checks};
	} catch {
		return undefined;
	}
};

export type VerdictRowsOptions = {
	readonly store: Pick<Store, 'write'>;
	/** Reads a whole table; undefined if the store did not serve the read. */
	readonly readAll: (table: string) => Promise<WholeTable | undefined>;
};

export const createVerdictRows = ({store, readAll}: VerdictRowsOptions): VerdictStore => ({
	async read() {
		const table = await readAll(VERDICTS_TABLE);
		return table?.rows.flatMap(row => decodeVerdict(row) ?? []);
	},
	async write(part, verdict) {
		const written = await store.write(VERDICTS_TABLE, part, JSON.stringify(verdict ?? {}));
		return written.kind === 'ok';
	},
});
