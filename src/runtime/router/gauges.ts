/** Updates the metrics gauges of one VM. */
import {type DispatchTask, type TableRow} from '../dispatch/types.js';
import {type LeaseView} from '../lease/types.js';
import {type LinkMesh} from '../link/types.js';
import {type Metrics} from '../observe/metrics.js';

export type GaugeSources = {
	readonly links: Pick<LinkMesh, 'stats'>;
	readonly dispatch: Pick<DispatchTask, 'rows'>;
	readonly leases: Pick<LeaseView, 'ownEpoch'>;
	readonly services: () => readonly string[];
};

const numberAt = (row: TableRow, column: string): number => Number(row[column] ?? 0);

const setControl = ({controlBytes, controlFrames}: Metrics, {links}: GaugeSources): void => {
	const stats = links.stats();
	controlBytes.set({direction: 'sent'}, stats.bytesSent);
	controlBytes.set({direction: 'received'}, stats.bytesReceived);
	controlFrames.set({direction: 'sent'}, stats.framesSent);
	controlFrames.set({direction: 'received'}, stats.framesReceived);
};

/** Sets each team's share of the cost that was charged for this VM's requests to a service. */
const setShares = ({teamShare}: Metrics, {dispatch}: GaugeSources): void => {
	const rows = dispatch.rows('teams').filter(({charged}) => charged !== undefined);
	const totals = new Map<string, number>();
	for (const row of rows) {
		const service = String(row.service);
		totals.set(service, (totals.get(service) ?? 0) + numberAt(row, 'charged'));
	}

	for (const row of rows) {
		const service = String(row.service);
		const total = totals.get(service) ?? 0;
		teamShare.set({service, team: String(row.name)}, total > 0 ? numberAt(row, 'charged') / total : 0);
	}
};

/** Sets the limits of the targets that this VM dispatches to, and removes those of all others. */
const setLimits = ({targetLimit}: Metrics, {dispatch}: GaugeSources): void => {
	targetLimit.reset();
	for (const row of dispatch.rows('targets').filter(({limit}) => limit !== undefined)) {
		targetLimit.set({target: String(row.name)}, numberAt(row, 'limit'));
	}
};

export const setGauges = (metrics: Metrics, sources: GaugeSources): void => {
	setControl(metrics, sources);
	setShares(metrics, sources);
	setLimits(metrics, sources);
	metrics.leases.set(sources.services().filter(service => sources.leases.ownEpoch(service) !== undefined).length);
};
