/** Ports of the roll-outs: where orders and states are kept, and how VMs reach each other. */
import {
	type Announcement, type EvidenceReport, type OrderRow, type RolloutWrite, type RolloutWritten, type StoredState,
} from '../../core/rollout/types.js';

/** The store's rows about roll-outs. Calls that fail give undefined. */
export type RolloutStore = {
	/** Orders by service, as of a version of the store. */
	readonly readOrders: () => Promise<{readonly orders: ReadonlyMap<string, OrderRow>; readonly atVersion: number} | undefined>;
	/** States by service. */
	readonly readStates: () => Promise<ReadonlyMap<string, StoredState> | undefined>;
	readonly write: (service: string, write: RolloutWrite) => Promise<RolloutWritten>;
};

/** What VMs send each other besides load reports. */
export type RolloutMessage = {
	readonly announcements?: readonly Announcement[];
	readonly evidence?: readonly EvidenceReport[];
};
