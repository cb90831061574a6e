/** The lease holders of the pools, as other tasks see them. */

export type PoolHolder = {
	readonly vm: string;
	readonly epoch: number;
};

export type LeaseView = {
	/** Returns the VM that dispatches the pool, as far as this VM knows. */
	readonly holderOf: (service: string, dataCentre: string) => PoolHolder | undefined;
	/**
	 * Returns the epoch under which this VM dispatches the pool now; `undefined` if it does
	 * not. To be called before each grant, because a lease may expire at any moment.
	 */
	readonly ownEpoch: (service: string) => number | undefined;
	/** Whether this VM holds a valid lease of the pool. */
	readonly isHeldHere: (service: string, dataCentre: string) => boolean;
	/** Adds a listener that is called when a lease holder changes. */
	readonly onChange: (listener: (service: string, dataCentre: string) => void) => void;
};

export type LeaseTask = LeaseView & {
	/** Starts to hand over the leases; the notices are sent again with each heartbeat until `stop`. */
	readonly leave: () => void;
	readonly stop: () => void;
};

