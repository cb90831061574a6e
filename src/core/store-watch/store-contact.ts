/**
 * Decides from the outcome of calls whether the store serves this VM, when to probe it, and whether
 * it was unavailable for so long that the entries of running targets may have expired.
 *
 * Fault patterns: an outage of the store, a call that begins in an outage and gets no response
 * although the store is back, a single call that fails, connections that stop responding, and a
 * store that serves only some of the VMs.
 */
import {mayWaitLong} from './table-watcher.js';
import {type ContactEffect, type ContactMessage} from './types.js';

/**
 * Milliseconds between the starts of two probes of a store that does not serve this VM. A probe does
 * not wait for the end of the one before, so the store's return is noticed within this time.
 */
const PROBE_INTERVAL_MS = 600;
/** Milliseconds without a response to any VM after which the store counts as having been unavailable. Longer than a short call for changes takes at most. */
const MAX_QUIET_MS = 3000;
/** The same for a VM whose own calls may wait long, and which learns of responses from reports that pass through other VMs. */
const MAX_REPORTED_QUIET_MS = 4000;

/** Milliseconds from the first failure after which an outage is reported to other VMs. Longer than a short call waits: if the store served others, this VM would have heard of it. */
const MIN_REPORTED_OUTAGE_MS = 2000;

/**
 * Milliseconds after the end of an outage within which running targets have written their entries
 * again. Together with the time of a probe, less than the 3 s after which a VM must know again which
 * targets have left.
 */
const ENTRY_GRACE_MS = 2200;

export class StoreContact {
	#isServed = true;
	#nextProbeMs = Infinity;
	#isWakeRequested = false;
	/** Time of the store's last response to this VM. */
	#lastResponseMs: number;
	/** Time of the store's last response to any VM, as far as this VM knows. */
	#lastResponseToAnyVmMs: number;
	/** Time of the first failed call since the store last responded to any VM. */
	#firstFailureMs: number | undefined;
	/** Whether a call that began after the first failed one has failed too. One failure alone may be that of a connection, or of a call that began in an outage that is over. */
	#isOutage = false;
	#graceUntilMs = -Infinity;
	/** Returns the number of VMs in the fleet, as known now. */
	readonly #vms: () => number;

	constructor(vms: () => number, nowMs: number) {
		this.#vms = vms;
		this.#lastResponseMs = nowMs;
		this.#lastResponseToAnyVmMs = nowMs;
	}

	get lastResponseMs(): number {
		return this.#lastResponseMs;
	}

	get lastResponseToAnyVmMs(): number {
		return this.#lastResponseToAnyVmMs;
	}

	/** Returns the time from which a missing entry means that its target has left; infinite while the store does not serve this VM. */
	get entriesCompleteMs(): number {
		return this.#isServed ? this.#graceUntilMs : Infinity;
	}

	/** Returns the time of the first failed call of an outage that is not over and that other VMs may rely on; undefined if there is none. */
	outageSinceMs(nowMs: number): number | undefined {
		return this.#isOutage && nowMs >= (this.#firstFailureMs ?? Infinity) + MIN_REPORTED_OUTAGE_MS ? this.#firstFailureMs : undefined;
	}

	handle(message: ContactMessage, nowMs: number): readonly ContactEffect[] {
		switch (message.kind) {
			case 'answered': {
				this.#lastResponseMs = nowMs;
				const ended = this.#recordResponse(nowMs);
				if (this.#isServed) {
					return ended;
				}

				this.#isServed = true;
				this.#nextProbeMs = Infinity;
				return [...ended, {kind: 'regained'}];
			}

			case 'answered-elsewhere': {
				return this.#recordResponse(message.atMs);
			}

			case 'outage-elsewhere': {
				// A VM whose own calls are short judges by them, since the store may just not serve the sender.
				// A response that this VM knows of shows that the store did serve in that time.
				if (mayWaitLong(this.#vms()) && message.sinceMs > this.#lastResponseToAnyVmMs) {
					this.#firstFailureMs = Math.min(this.#firstFailureMs ?? Infinity, message.sinceMs);
					this.#isOutage = true;
				}

				return [];
			}

			case 'watch-failed': {
				return this.#onFailed(message.begunMs, nowMs);
			}

			case 'read-failed': {
				// A read that began in an outage may fail after a later call was answered.
				return message.begunMs < this.#lastResponseMs ? [] : this.#onFailed(message.begunMs, nowMs);
			}

			case 'resumed': {
				// During the pause this VM received no other VM's report of a response, so the age of the last one does not show an outage.
				this.#lastResponseToAnyVmMs = nowMs;
				this.#firstFailureMs = undefined;
				this.#isOutage = false;
				return [];
			}

			case 'restored': {
				this.#graceUntilMs = nowMs + ENTRY_GRACE_MS;
				return [];
			}

			case 'tick': {
				this.#isWakeRequested = false;
				return this.#probeIfDue(nowMs);
			}
		}
	}

	#onFailed(begunMs: number, nowMs: number): readonly ContactEffect[] {
		this.#isOutage ||= this.#firstFailureMs !== undefined && begunMs >= this.#firstFailureMs;
		this.#firstFailureMs ??= nowMs;
		if (!this.#isServed) {
			return [];
		}

		this.#isServed = false;
		this.#nextProbeMs = Math.max(nowMs, begunMs + PROBE_INTERVAL_MS);
		return [{kind: 'lost'}, ...this.#probeIfDue(nowMs)];
	}

	/** Records a response to any VM; it ends an outage if there was one. */
	#recordResponse(atMs: number): readonly ContactEffect[] {
		const quietMs = atMs - this.#lastResponseToAnyVmMs;
		if (quietMs < 0) {
			return [];
		}

		const maxQuietMs = mayWaitLong(this.#vms()) ? MAX_REPORTED_QUIET_MS : MAX_QUIET_MS;
		const wasOutage = quietMs > maxQuietMs || (this.#isOutage && atMs >= (this.#firstFailureMs ?? Infinity));
		this.#lastResponseToAnyVmMs = atMs;
		if (atMs >= (this.#firstFailureMs ?? -Infinity)) {
			this.#firstFailureMs = undefined;
			this.#isOutage = false;
		}

		if (!wasOutage) {
			return [];
		}

		this.#graceUntilMs = Math.max(this.#graceUntilMs, atMs + ENTRY_GRACE_MS);
		return [{kind: 'outage-ended', quietMs}];
	}

	#probeIfDue(nowMs: number): readonly ContactEffect[] {
		if (this.#isServed) {
			return [];
		}

		const isDue = nowMs >= this.#nextProbeMs;
		if (isDue) {
			this.#nextProbeMs = nowMs + PROBE_INTERVAL_MS;
		}

		return [...(isDue ? [{kind: 'probe'} as const] : []), ...this.#wake()];
	}

	#wake(): readonly ContactEffect[] {
		if (this.#isWakeRequested) {
			return [];
		}

		this.#isWakeRequested = true;
		return [{kind: 'wake', atMs: this.#nextProbeMs}];
	}
}
