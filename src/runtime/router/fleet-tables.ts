/** Reads the tables of the operators' language from every VM of the fleet. */
import * as z from 'zod';
import {type Row} from '../../core/language/evaluate-query.js';
import {type TableName} from '../../core/language/types.js';
import {readConfigHistory} from '../admin/config-history.js';
import {type FleetRows, type MissingPart} from '../admin/types.js';
import {type LinkMesh} from '../link/types.js';
import {type MembershipView} from '../membership/types.js';
import {type PlatformClient} from '../platform/types.js';

const READ_TIMEOUT_MS = 2000;

const rowsSchema = z.array(z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])));

export type FleetTablesOptions = {
	readonly links: Pick<LinkMesh, 'readTable'>;
	readonly membership: Pick<MembershipView, 'selfId' | 'vms'>;
	readonly platform: Pick<PlatformClient, 'readRow' | 'readRows'>;
	readonly ownRows: (table: TableName) => readonly Row[];
};

type PeerRows = {readonly rows: readonly Row[]; readonly missing: readonly MissingPart[]};

const readPeer = async (vm: string, table: TableName, {links}: FleetTablesOptions): Promise<PeerRows> => {
	try {
		const rows = rowsSchema.parse(JSON.parse(await links.readTable(vm, table, READ_TIMEOUT_MS)));
		return {rows, missing: []};
	} catch (error) {
		return {rows: [], missing: [{vm, reason: error instanceof Error ? error.message : 'no answer'}]};
	}
};

/** Returns the rows of all reachable VMs, and the ids of those that did not reply, each with the reason. */
export const readFleetTable = async (table: TableName, options: FleetTablesOptions): Promise<FleetRows> => {
	if (table === 'config_history') {
		return readConfigHistory(options.platform);
	}

	const {membership, ownRows} = options;
	const peers = membership.vms().filter(({id}) => id !== membership.selfId);
	const replies = await Promise.all(peers.map(async ({id}) => readPeer(id, table, options)));
	return {
		rows: [...ownRows(table), ...replies.flatMap(({rows}) => rows)],
		missing: replies.flatMap(({missing}) => missing),
	};
};
