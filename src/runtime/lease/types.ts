/** Who dispatches the pools, for other tasks. */

export type PoolHolder = {
	readonly vm: string;
	readonly epoch: number;
};

export type LeaseView = {
	/** The VM that dispatches the pool as far as this VM knows. */
	readonly holderOf: (service: string, dataCentre: string) => PoolHolder | undefined;
	/**
	 * The epoch under which this VM dispatches the pool now; `undefined` when it does
	 * not. Asked before each grant, because a lease may lapse at any moment.
	 */
	readonly ownEpoch: (service: string) => number | undefined;
	/** True while this VM holds a valid lease of the pool. */
	readonly isHeldHere: (service: string, dataCentre: string) => boolean;
	/** Called when a holder changes. */
	readonly onChange: (listener: (service: string, dataCentre: string) => void) => void;
};

export type LeaseTask = LeaseView & {
	/** Hands the leases over. Repeated with each heartbeat until `stop`. */
	readonly leave: () => void;
	readonly stop: () => void;
};

