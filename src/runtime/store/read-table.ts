import {eraOf} from '../../core/store-watch/store-version.js';
import {
	type Store, type StoreFailure, type StoreRow, type WholeTable,
} from './types.js';

/** Reads all pages of a table. Changes made during the read are part of the feed after `atVersion`. */
export const readTable = async (store: Pick<Store, 'read'>, table: string): Promise<WholeTable | StoreFailure> => {
	const rows: StoreRow[] = [];
	let from: string | undefined;
	let atVersion: number | undefined;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- pages follow each other
		const read = await store.read(table, from);
		if (read.kind !== 'rows') {
			return read;
		}

		atVersion ??= read.atVersion;
		if (eraOf(read.atVersion) !== eraOf(atVersion)) {
			return {kind: 'unavailable', reason: 'the store began a new era during the read'};
		}

		rows.push(...read.rows);
		const last = read.rows.at(-1);
		if (!read.hasMore || !last) {
			return {kind: 'table', rows, atVersion};
		}

		from = `${last.key}\0`;
	}
};
