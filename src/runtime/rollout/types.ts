/** Ports of the roll-outs: where orders and states are kept, and how VMs reach each other. */
import {
	type Announcement, type EvidenceReport, type RolloutOrderRow, type RolloutWrite, type RolloutWriteResult, type StoredRolloutState,
} from '../../core/rollout/types.js';

/** The store's rows about roll-outs. Calls that fail give undefined. */
export type RolloutStore = {
	/** Orders by service, as of a version of the store. */
	readonly readOrders: () => Promise<{readonly orders: ReadonlyMap<string, RolloutOrderRow>; readonly atVersion: number} | undefined>;
	/** States by service. */
	readonly readStates: () => Promise<ReadonlyMap<string, StoredRolloutState> | undefined>;
	readonly write: (service: string, write: RolloutWrite) => Promise<RolloutWriteResult>;
};

/** What VMs send each other besides load reports. */
export type RolloutMessage = {
	readonly announcements?: readonly Announcement[];
	readonly evidence?: readonly EvidenceReport[];
};
