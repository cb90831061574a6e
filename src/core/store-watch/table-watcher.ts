/**
 * Watches one table of the platform's store: reads the whole table once and then makes calls
 * that wait for changes. In a large fleet most calls wait long, since each call costs the store
 * the same and few return a change. A connection that stopped responding would then go
 * unnoticed, so VMs send each other the version of the last change that they know. A VM that
 * learns of a newer change and whose own call returns nothing cancels the call and makes
 * another one.
 *
 * A call that begins in an outage of the store may get no response even after the store is back.
 * So after a failed call the next one is made when the store is known to serve this VM again
 * (`store-contact.ts`), and a call that is under way at that time is made again.
 *
 * When the store comes back from an older copy, the whole table is read again, and the first read of
 * the new era counts as a change, so that VMs which have not called the store since hear of it.
 *
 * A version from another VM is never applied as a change; it only makes this VM call the store
 * again. A version that the store does not confirm is discarded, so false reports cost at most
 * one call a second.
 */
import {eraOf, eraStart} from './store-version.js';
import {type DropReason, type WatchEffect, type WatchMessage} from './types.js';

/** Milliseconds that a call may take to return a change that another VM has already reported. */
const REPORTED_CHANGE_GRACE_MS = 100;
/** Least milliseconds between two calls that are cancelled because of other VMs' reports. */
const MIN_CANCEL_INTERVAL_MS = 1000;
/** Least milliseconds from the start of a call that failed to that of the next one, doubled with each further failure in a row up to the maximum. */
const RETRY_MS = 250;
const MAX_RETRY_MS = 1000;
/** Milliseconds after a failed call until the next one, unless the store serves another call of this VM before. */
const UNPROMPTED_RETRY_MS = 3000;

/**
 * Milliseconds that a short call waits. A connection or a store that stopped responding is
 * noticed after this wait and the timeout of a call, 1 s. Both together and another call are
 * shorter than the 3 s after which a VM must know all changes again.
 */
const SHORT_WAIT_MS = 1800;
/** Milliseconds that a long call waits, a little less than the store allows. */
const LONG_WAIT_MS = 28_000;
/** Milliseconds that the first call after a pause of the process waits, so that its response soon shows whether anything changed. */
const RESUMED_WAIT_MS = 1;
/** VMs up to which all calls of a fleet are short. */
const SMALL_FLEET_VMS = 16;
/**
 * Average number of VMs of a larger fleet whose calls are short. Each VM draws at random whether its calls are
 * short, and draws again after about the time of a long call. When it draws does not depend on
 * its calls, so the average stays the same. The chance that no VM makes short calls is one in
 * 100,000.
 */
const SHORT_CALL_VMS = 12;

/** Whether calls for changes may wait long in a fleet of this size. */
export const mayWaitLong = (vms: number): boolean => vms > SMALL_FLEET_VMS;

export type TableWatcherOptions = {
	/** Milliseconds from the receipt of a change to the next call. */
	readonly pauseMs: number;
	/** Returns the number of VMs in the fleet, as known now. */
	readonly vms: () => number;
	/** Returns random numbers that are uniform in [0, 1). */
	readonly random: () => number;
};

export class TableWatcher {
	readonly #options: TableWatcherOptions;
	/** Version up to which all changes are known; undefined before the table was read. */
	#knownUpToVersion: number | undefined;
	#lastChangeVersion = 0;
	/** Number of the call that is under way; calls are numbered from 1. */
	#pendingCall: number | undefined;
	#callCount = 0;
	#failures = 0;
	#callStartMs = -Infinity;
	#nextCallMs = -Infinity;
	#behindSinceMs: number | undefined;
	#lastCancelMs = -Infinity;
	/** Number of the first call after a pause of the process; undefined once the store has responded to this or a later call. */
	#resumedCall: number | undefined;
	/** Random number that decides whether calls are short, and the time until which it is used. */
	#waitDraw = {draw: 0, untilMs: -Infinity};

	constructor(options: TableWatcherOptions) {
		this.#options = options;
	}

	/** Version of the last known change. */
	get lastChangeVersion(): number {
		return this.#lastChangeVersion;
	}

	/** Version up to which all changes are known. */
	get knownUpToVersion(): number | undefined {
		return this.#knownUpToVersion;
	}

	/** Whether the store has answered a call of this watcher since the last pause of the process. */
	get isCurrent(): boolean {
		return this.#resumedCall === undefined;
	}

	handle(message: WatchMessage, nowMs: number): readonly WatchEffect[] {
		switch (message.kind) {
			case 'start': {
				return this.#startCall(nowMs);
			}

			case 'read':
			case 'changes': {
				return message.call === this.#pendingCall ? this.#onResponse(message, nowMs) : [];
			}

			case 'history-lost': {
				if (message.call !== this.#pendingCall) {
					return [];
				}

				this.#knownUpToVersion = undefined;
				return this.#endCall(nowMs, 0);
			}

			case 'failed': {
				if (message.call !== this.#pendingCall) {
					return [];
				}

				this.#failures++;
				return this.#endCall(nowMs, UNPROMPTED_RETRY_MS);
			}

			case 'regained': {
				return this.#onRegained(nowMs);
			}

			case 'heard': {
				return this.#onReportedVersion(message.version, nowMs);
			}

			case 'resumed': {
				this.#resumedCall = this.#callCount + 1;
				return this.#restartCall(message.kind, nowMs);
			}

			case 'restored': {
				this.#knownUpToVersion = undefined;
				this.#behindSinceMs = undefined;
				return this.#restartCall(message.kind, nowMs);
			}

			case 'tick': {
				return this.#onTick(nowMs);
			}
		}
	}

	/** Whether the response to a call still counts: false once the call was answered or cancelled. */
	isPending(call: number): boolean {
		return call === this.#pendingCall;
	}

	#onResponse(message: Extract<WatchMessage, {kind: 'read' | 'changes'}>, nowMs: number): readonly WatchEffect[] {
		this.#failures = 0;
		this.#resumedCall = undefined;
		this.#knownUpToVersion = Math.max(this.#knownUpToVersion ?? 0, message.version);
		if (eraOf(message.version) > eraOf(this.#lastChangeVersion)) {
			this.#lastChangeVersion = eraStart(message.version);
		}

		const lastChangeVersion = message.kind === 'changes' ? message.lastChangeVersion : undefined;
		this.#lastChangeVersion = Math.max(this.#lastChangeVersion, lastChangeVersion ?? 0);
		// The store's own version is at least that of any change, so a report of a later change was false.
		this.#behindSinceMs = undefined;
		return this.#endCall(nowMs, lastChangeVersion === undefined ? 0 : this.#options.pauseMs);
	}

	#onReportedVersion(version: number, nowMs: number): readonly WatchEffect[] {
		if (this.#knownUpToVersion === undefined || version <= this.#knownUpToVersion) {
			return [];
		}

		const isFirst = this.#behindSinceMs === undefined;
		this.#behindSinceMs ??= nowMs;
		// Each further report checks again, since a call made in the meantime may be without a response too.
		return isFirst ? [{kind: 'wake', atMs: this.#cancelAtMs()}] : this.#cancelIfDue(nowMs);
	}

	/** Handles a tick, which may come a little early or needlessly. */
	#onTick(nowMs: number): readonly WatchEffect[] {
		if (this.#pendingCall === undefined) {
			return nowMs >= this.#nextCallMs ? this.#startCall(nowMs) : [{kind: 'wake', atMs: this.#nextCallMs}];
		}

		return this.#cancelIfDue(nowMs);
	}

	/** Returns the time at which a call without a response is cancelled. */
	#cancelAtMs(): number {
		return Math.max((this.#behindSinceMs ?? Infinity) + REPORTED_CHANGE_GRACE_MS, this.#lastCancelMs + MIN_CANCEL_INTERVAL_MS);
	}

	#cancelIfDue(nowMs: number): readonly WatchEffect[] {
		if (this.#pendingCall === undefined || nowMs < this.#cancelAtMs()) {
			return [];
		}

		const cancelledCall = this.#pendingCall;
		this.#lastCancelMs = nowMs;
		this.#behindSinceMs = nowMs;
		return [{kind: 'drop', call: cancelledCall, reason: 'behind'}, ...this.#startCall(nowMs)];
	}

	/** Makes a call again that began while the store did not serve this VM, or that has failed. */
	#onRegained(nowMs: number): readonly WatchEffect[] {
		if (this.#pendingCall !== undefined) {
			return this.#restartCall('regained', nowMs);
		}

		if (this.#failures === 0) {
			return [];
		}

		this.#nextCallMs = Math.max(nowMs, this.#callStartMs + Math.min(MAX_RETRY_MS, RETRY_MS * (2 ** (this.#failures - 1))));
		return this.#onTick(nowMs);
	}

	#restartCall(reason: DropReason, nowMs: number): readonly WatchEffect[] {
		const cancelledCall = this.#pendingCall;
		return [...(cancelledCall === undefined ? [] : [{kind: 'drop', call: cancelledCall, reason} as const]), ...this.#startCall(nowMs)];
	}

	#endCall(nowMs: number, pauseMs: number): readonly WatchEffect[] {
		this.#pendingCall = undefined;
		this.#nextCallMs = nowMs + pauseMs;
		return pauseMs === 0 ? this.#startCall(nowMs) : [{kind: 'wake', atMs: this.#nextCallMs}];
	}

	#waitMs(nowMs: number): number {
		const {vms, random} = this.#options;
		if (nowMs >= this.#waitDraw.untilMs) {
			this.#waitDraw = {draw: random(), untilMs: nowMs + (LONG_WAIT_MS * (0.5 + random()))};
		}

		return mayWaitLong(vms()) && this.#waitDraw.draw * vms() >= SHORT_CALL_VMS ? LONG_WAIT_MS : SHORT_WAIT_MS;
	}

	#startCall(nowMs: number): readonly WatchEffect[] {
		this.#callCount++;
		this.#pendingCall = this.#callCount;
		this.#callStartMs = nowMs;
		this.#nextCallMs = nowMs;
		return this.#knownUpToVersion === undefined
			? [{kind: 'read', call: this.#pendingCall}]
			: [{
				kind: 'wait', call: this.#pendingCall, afterVersion: this.#knownUpToVersion, waitMs: this.#resumedCall === undefined ? this.#waitMs(nowMs) : RESUMED_WAIT_MS,
			}];
	}
}
