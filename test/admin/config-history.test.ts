import test from 'ava';
import {versionKey} from '../../src/runtime/config/config-table.js';
import {readConfigHistory} from '../../src/runtime/admin/config-history.js';
import {type Json, type PlatformClient, type PlatformRow} from '../../src/runtime/platform/types.js';

/** Returns the read functions of a fake platform that stores the given number of versions. */
const platformWith = (versions: number): Pick<PlatformClient, 'readRow' | 'readRows'> => {
	const row = (key: string, value: Json): PlatformRow => ({key, value, revision: 1});
	const rows = Array.from({length: versions}, (_, index) => row(versionKey(index + 1), {operator: 'ruwan', operation_id: `operation-${index + 1}`}));
	return {
		readRow: async (_table, key) => versions === 0 ? {kind: 'absent'} : {kind: 'found', value: row(key, {version: versions})},
		readRows: async (_table, prefix, limit) => ({kind: 'found', value: rows.filter(({key}) => key.startsWith(prefix)).slice(0, limit)}),
	};
};

for (const versions of [1, 99, 100, 101, 350, 10_000]) {
	test(`the latest of ${versions} versions are read, each once`, async t => {
		const {rows, missing} = await readConfigHistory(platformWith(versions));
		const numbers = rows.map(row => Number(row.version));
		t.deepEqual(missing, []);
		t.true(numbers.length >= Math.min(versions, 100));
		t.deepEqual(numbers, Array.from({length: numbers.length}, (_, index) => versions - numbers.length + 1 + index));
		t.deepEqual(rows.at(-1), {version: versions, operator: 'ruwan', operation_id: `operation-${versions}`});
	});
}

test('before the first version there is no history', async t => {
	t.deepEqual(await readConfigHistory(platformWith(0)), {rows: [], missing: []});
});

test('an unavailable platform is reported as the missing part', async t => {
	const down = {...platformWith(5), readRows: async () => ({kind: 'unavailable', reason: 'outage'} as const)};
	t.deepEqual(await readConfigHistory(down), {rows: [], missing: [{vm: 'platform', reason: 'the platform\'s table service is unavailable'}]});
});
