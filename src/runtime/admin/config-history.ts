/** Reads the latest versions of the fleet configuration from the platform, as rows. */
import * as z from 'zod';
import {type Row} from '../../core/language/evaluate-query.js';
import {CONFIG_TABLE, CURRENT_KEY, versionKey} from '../config/config-table.js';
import {
	type PlatformClient, type PlatformRow, type RateLimited, type Unavailable,
} from '../platform/types.js';
import {type FleetRows} from './types.js';

/** Number of last digits in which the versions of one block differ. The keys of a block share a prefix, by which the block is read. */
const BLOCK_DIGITS = 2;
const BLOCK_SIZE = 10 ** BLOCK_DIGITS;

const currentSchema = z.looseObject({version: z.number()});
const versionSchema = z.looseObject({operator: z.string().exactOptional(), operation_id: z.string().exactOptional()});

const missing = ({kind}: Unavailable | RateLimited): FleetRows => ({
	rows: [],
	missing: [{vm: 'platform', reason: `the platform's table service is ${kind === 'unavailable' ? 'unavailable' : 'over its rate limit'}`}],
});

const blockPrefix = (version: number): string => versionKey(version).slice(0, -BLOCK_DIGITS);

const toRow = ({key, value}: PlatformRow): Row => {
	const {data} = versionSchema.safeParse(value);
	return {version: Number(key.slice(key.indexOf('/') + 1)), operator: data?.operator, operation_id: data?.operation_id};
};

/**
 * Reads the block of the current version and the block before it, so that the size of the read
 * does not grow with the number of versions. Returns up to 200 of the latest versions.
 */
export const readConfigHistory = async (platform: Pick<PlatformClient, 'readRow' | 'readRows'>): Promise<FleetRows> => {
	const current = await platform.readRow(CONFIG_TABLE, CURRENT_KEY);
	if (current.kind === 'unavailable' || current.kind === 'rate_limited') {
		return missing(current);
	}

	const version = current.kind === 'found' ? currentSchema.safeParse(current.value.value).data?.version ?? 0 : 0;
	const prefixes = new Set([blockPrefix(Math.max(0, version - BLOCK_SIZE)), blockPrefix(version)]);
	const blocks = await Promise.all([...prefixes].map(async prefix => platform.readRows(CONFIG_TABLE, prefix, BLOCK_SIZE)));
	const failed = blocks.find(block => block.kind === 'unavailable' || block.kind === 'rate_limited');
	return failed
		? missing(failed)
		: {rows: blocks.flatMap(block => block.kind === 'found' ? block.value.map(row => toRow(row)) : []), missing: []};
};
