/** Writes this VM's row in the store and reads the rows of all VMs, by which the VMs of a fleet find each other. */
import * as z from 'zod';
import {type Clock} from '../../core/clock.js';
import {isAddress} from '../../core/settings/is-address.js';
import {type Log} from '../observe/log.js';
import {createPause} from './pause.js';
import {type Store, type StoreRow, type WholeTable} from './types.js';

const VMS_TABLE = 'vms';

/**
 * Milliseconds between writes of this VM's row: the minimum, the addition for each VM up to
 * `SMALL_FLEET_VMS`, and the addition for each further VM. The interval grows with the fleet, so
 * that a large fleet makes no more calls than a small one; a VM that joins it is noticed by its
 * load reports.
 */
const MIN_VM_ROW_INTERVAL_MS = 5000;
const VM_ROW_INTERVAL_MS_PER_VM = 150;
const SMALL_FLEET_VMS = 16;
const VM_ROW_INTERVAL_MS_PER_FURTHER_VM = 500;
/** Least milliseconds between two reads of the VMs' rows because of a message from a VM without a known row. */
const MIN_UNKNOWN_VM_READ_INTERVAL_MS = 3000;
/** Milliseconds from the first read of the VMs' rows to the second. All VMs of a fleet may start at once, so the first read may miss some. */
const SECOND_READ_DELAY_MS = 2000;
/** Rounds (a write of this VM's row and a read of all rows) without a change after which another VM's row counts as stale; fewer in a large fleet, whose rounds are longer. */
const VM_ROW_VALID_ROUNDS = 4;
const LARGE_FLEET_VALID_ROUNDS = 3;

export type VmRowsOptions = {
	readonly vm: string;
	/** `IP:PORT` on which this VM receives load reports. */
	readonly exchange: string;
	readonly store: Pick<Store, 'write'>;
	/** Reads a whole table; undefined if the store did not serve the read. */
	readonly readAll: (table: string) => Promise<WholeTable | undefined>;
	readonly clock: Clock;
	readonly log: Log;
	/** Ends the writes and reads. */
	readonly stopped: AbortSignal;
};

export type VmRows = {
	/** Writes and reads the rows, in rounds until `stopped`. */
	readonly maintain: () => Promise<void>;
	/** Returns the names of the VMs whose rows are not stale, and of this VM. */
	readonly names: () => readonly string[];
	/** Returns the `IP:PORT` of each of these other VMs' load exchange. */
	readonly exchanges: () => readonly string[];
	/** Returns the `IP:PORT` of one VM's load exchange; undefined if the VM has no row. */
	readonly exchangeOf: (vm: string) => string | undefined;
	/** Reads the rows after a message from a VM that has no known row. */
	readonly onUnknownVm: (vm: string) => void;
};

const vmRowSchema = z.looseObject({exchange: z.string().refine(text => isAddress(text))});

/** Returns the address in a VM's row; undefined if the row cannot be decoded. */
const decodeExchange = (row: string): string | undefined => {
	try {
		return vmRowSchema.safeParse(JSON.parse(row)).data?.exchange;
	} catch {
		return undefined;
	}
};

export const createVmRows = ({vm, exchange, store, readAll, clock, log, stopped}: VmRowsOptions): VmRows => {
	/** VMs' rows, each with the number of rounds that found it unchanged. Rounds are counted rather than time, since rows also stay unchanged while the store is unavailable or this process is paused. */
	const vmRows = new Map<string, {readonly value: string; readonly exchange: string | undefined; readonly unchanged: number}>();
	/** Cached list of the running VMs, since it is needed for each request. It changes only with the rows. */
	let recentVmsCache: {readonly names: readonly string[]; readonly exchanges: readonly string[]} | undefined;

	const pause = createPause(stopped);

	/**
	 * Records the VMs' rows.
	 *
	 * @param isNewRound - Whether a full round has passed since the last one, in which each running VM has written its row.
	 */
	const recordVmRows = (rows: readonly StoreRow[], isNewRound: boolean): void => {
		for (const {key, value} of rows) {
			const text = value ? new TextDecoder().decode(value) : '';
			const previous = vmRows.get(key);
			vmRows.set(key, previous?.value === text
				? {...previous, unchanged: previous.unchanged + (isNewRound ? 1 : 0)}
				: {value: text, exchange: decodeExchange(text), unchanged: 0});
		}

		recentVmsCache = undefined;
	};

	const readVmRows = async (isNewRound: boolean): Promise<void> => {
		const all = await readAll(VMS_TABLE);
		if (all) {
			recordVmRows(all.rows, isNewRound);
		}
	};

	/** Returns the milliseconds from one write of this VM's row to the next. */
	const vmRowIntervalMs = () => Math.max(
		MIN_VM_ROW_INTERVAL_MS,
		(vmRows.size * VM_ROW_INTERVAL_MS_PER_VM) + (Math.max(0, vmRows.size - SMALL_FLEET_VMS) * (VM_ROW_INTERVAL_MS_PER_FURTHER_VM - VM_ROW_INTERVAL_MS_PER_VM)),
	);
	/* eslint-disable no-await-in-loop -- one round after the other */
	/** Writes this VM's row and reads all VMs' rows, in rounds until the source stops. */
	const maintain = async (): Promise<void> => {
		for (let round = 0; !stopped.aborted; round++) {
			const written = await store.write(VMS_TABLE, vm, JSON.stringify({exchange, round}));
			await readVmRows(written.kind === 'ok');
			if (round === 0) {
				await pause(SECOND_READ_DELAY_MS);
				await readVmRows(false);
			}

			await pause(written.kind === 'ok' ? vmRowIntervalMs() : MIN_VM_ROW_INTERVAL_MS);
		}
	};
	/* eslint-enable no-await-in-loop */

	let unknownVmReadMs = -Infinity;
	const onUnknownVm = (name: string): void => {
		const nowMs = clock.nowMs();
		if (!vmRows.has(name) && nowMs >= unknownVmReadMs + MIN_UNKNOWN_VM_READ_INTERVAL_MS) {
			unknownVmReadMs = nowMs;
			log.info('message from an unknown VM, reading the rows of VMs', {vm: name});
			void readVmRows(false);
		}
	};

	/** Returns the VMs whose rows are not stale. */
	const recentVms = () => {
		if (recentVmsCache) {
			return recentVmsCache;
		}

		const validRounds = vmRows.size > SMALL_FLEET_VMS ? LARGE_FLEET_VALID_ROUNDS : VM_ROW_VALID_ROUNDS;
		const rows = [...vmRows].filter(([, {unchanged}]) => unchanged < validRounds);
		const others = rows.filter(([name]) => name !== vm);
		recentVmsCache = {
			names: [...others.map(([name]) => name), vm],
			exchanges: others.flatMap(([, row]) => row.exchange ?? []),
		};
		return recentVmsCache;
	};

	return {
		maintain,
		names: () => recentVms().names,
		exchanges: () => recentVms().exchanges,
		exchangeOf: name => vmRows.get(name)?.exchange,
		onUnknownVm,
	};
};
