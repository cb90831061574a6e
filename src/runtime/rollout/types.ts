/** Interfaces of the roll-outs to the store and to the other VMs. */
import {
	type Announcement, type EvidenceReport, type RolloutOrderRow, type RolloutWrite, type RolloutWriteResult, type StoredRolloutState,
} from '../../core/rollout/types.js';

/** Access to the roll-out rows of the store. A failed read resolves to `undefined`. */
export type RolloutStore = {
	/** Reads the orders by service, as of a version of the store. */
	readonly readOrders: () => Promise<{readonly orders: ReadonlyMap<string, RolloutOrderRow>; readonly atVersion: number} | undefined>;
	/** Reads the states by service. */
	readonly readStates: () => Promise<ReadonlyMap<string, StoredRolloutState> | undefined>;
	readonly write: (service: string, write: RolloutWrite) => Promise<RolloutWriteResult>;
};

/** Roll-out message between VMs. */
export type RolloutMessage = {
	readonly announcements?: readonly Announcement[];
	readonly evidence?: readonly EvidenceReport[];
};
