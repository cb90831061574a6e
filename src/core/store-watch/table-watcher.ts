/**
 * Follows one table of the platform's store: read whole once, then by calls that wait for
 * changes. In a large fleet most calls wait long, since each costs the store the same and
 * few bring anything. A connection that fell silent would then go unnoticed, so VMs tell
 * each other the version of the last change that they know: a VM that hears of a newer one
 * and whose own call brings nothing gives the call up and asks anew.
 *
 * Nothing that another VM says is taken for a change; it only makes a VM ask. A version
 * that the store does not confirm is forgotten, so false word costs one call a second.
 */
import {type WatchEffect, type WatchMessage} from './types.js';

/** Milliseconds for which a call may bring a change later than the word of other VMs. */
const REPORTED_CHANGE_GRACE_MS = 250;
/** Milliseconds between calls that are given up because of word from other VMs. */
const MIN_CANCEL_INTERVAL_MS = 1000;
/** Milliseconds before a failed call is made again, doubled with each failure in a row up to the most: a store that is back is heard well within the time of contact. */
const RETRY_MS = 250;
const MAX_RETRY_MS = 1000;

/**
 * Milliseconds that a short call waits. A connection or a store that fell silent is noticed
 * after this and the timeout of a call: within the time of contact, and before entries of
 * targets lapse because the store is away.
 */
const SHORT_WAIT_MS = 2500;
/** Milliseconds of the other calls, a little less than what the store allows. */
const LONG_WAIT_MS = 28_000;
/** Milliseconds that the first call after a pause of the process waits: its answer tells that nothing changed. */
const RESUMED_WAIT_MS = 1;
/**
 * VMs whose calls are short, on average. Which ones they are is drawn anew by each VM as
 * often as a long call ends, whatever its calls did meanwhile, so that their number holds;
 * that there is none has a chance of one in 100,000.
 */
const SHORT_CALL_VMS = 12;

export type TableWatcherOptions = {
	/** Milliseconds from a change to the next call. */
	readonly pauseMs: number;
	/** VMs of the fleet, as now known. */
	readonly vms: () => number;
	/** Uniform in [0, 1). */
	readonly random: () => number;
};

export class TableWatcher {
	readonly #options: TableWatcherOptions;
	/** All changes up to it are known; undefined before the table was read. */
	#knownUpToVersion: number | undefined;
	#lastChangeVersion = 0;
	/** Number of the call that is under way; calls count from 1. */
	#pendingCall: number | undefined;
	#callCount = 0;
	#failures = 0;
	#nextCallMs = -Infinity;
	#behindSinceMs: number | undefined;
	#lastCancelMs = -Infinity;
	/** The first call after a pause of the process, until one since then has an answer. */
	#resumedCall: number | undefined;
	/** Decides whether calls are short until it is drawn again. */
	#waitDraw = {draw: 0, untilMs: -Infinity};

	constructor(options: TableWatcherOptions) {
		this.#options = options;
	}

	/** Version of the last change that is known. */
	get lastChangeVersion(): number {
		return this.#lastChangeVersion;
	}

	/** Version up to which all changes are known. */
	get knownUpToVersion(): number | undefined {
		return this.#knownUpToVersion;
	}

	/** Whether the table was heard of since the last pause of the process. */
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

				const pauseMs = Math.min(MAX_RETRY_MS, RETRY_MS * (2 ** this.#failures));
				this.#failures++;
				return this.#endCall(nowMs, pauseMs);
			}

			case 'heard': {
				return this.#onReportedVersion(message.version, nowMs);
			}

			case 'resumed': {
				const cancelledCall = this.#pendingCall;
				this.#resumedCall = this.#callCount + 1;
				return [...(cancelledCall === undefined ? [] : [{kind: 'drop', call: cancelledCall} as const]), ...this.#startCall(nowMs)];
			}

			case 'tick': {
				return this.#onTick(nowMs);
			}
		}
	}

	/** Whether an answer that is under way still counts. */
	isPending(call: number): boolean {
		return call === this.#pendingCall;
	}

	#onResponse(message: Extract<WatchMessage, {kind: 'read' | 'changes'}>, nowMs: number): readonly WatchEffect[] {
		this.#failures = 0;
		this.#resumedCall = undefined;
		this.#knownUpToVersion = Math.max(this.#knownUpToVersion ?? 0, message.version);
		const lastChangeVersion = message.kind === 'changes' ? message.lastChangeVersion : undefined;
		this.#lastChangeVersion = Math.max(this.#lastChangeVersion, lastChangeVersion ?? 0);
		// The store's own version is newer than any change: word of one beyond it was false.
		this.#behindSinceMs = undefined;
		return this.#endCall(nowMs, lastChangeVersion === undefined ? 0 : this.#options.pauseMs);
	}

	#onReportedVersion(version: number, nowMs: number): readonly WatchEffect[] {
		if (this.#knownUpToVersion === undefined || version <= this.#knownUpToVersion) {
			return [];
		}

		const isFirst = this.#behindSinceMs === undefined;
		this.#behindSinceMs ??= nowMs;
		// Each word of it looks again: a call that was made since may have fallen silent too.
		return isFirst ? [{kind: 'wake', atMs: this.#cancelAtMs()}] : this.#cancelIfDue(nowMs);
	}

	/** A tick may come a little early or for nothing. */
	#onTick(nowMs: number): readonly WatchEffect[] {
		if (this.#pendingCall === undefined) {
			return nowMs >= this.#nextCallMs ? this.#startCall(nowMs) : [{kind: 'wake', atMs: this.#nextCallMs}];
		}

		return this.#cancelIfDue(nowMs);
	}

	/** Reading of the clock at which a call that brings nothing is given up. */
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
		return [{kind: 'drop', call: cancelledCall}, ...this.#startCall(nowMs)];
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

		return this.#waitDraw.draw * vms() < SHORT_CALL_VMS ? SHORT_WAIT_MS : LONG_WAIT_MS;
	}

	#startCall(nowMs: number): readonly WatchEffect[] {
		this.#callCount++;
		this.#pendingCall = this.#callCount;
		this.#nextCallMs = nowMs;
		return this.#knownUpToVersion === undefined
			? [{kind: 'read', call: this.#pendingCall}]
			: [{
				kind: 'wait', call: this.#pendingCall, afterVersion: this.#knownUpToVersion, waitMs: this.#resumedCall === undefined ? this.#waitMs(nowMs) : RESUMED_WAIT_MS,
			}];
	}
}
