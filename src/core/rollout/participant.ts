/**
 * Which versions of a service this VM may send requests to. The new version gets a share of
 * the requests only while the coordinator's announcement is fresh; a VM that was paused,
 * cut off or restarted has none and sends to the old version alone.
 *
 * Versions are ignored for a service that never had an order. A version that appears
 * without one is used only after the operators' table was read once more, since the table
 * of targets may be ahead of it.
 */
import {hash32} from '../membership/rendezvous.js';
import {
	type Announcement, type ExposureBounds, type RolloutOrder, type RolloutOrderRow, type TimedRolloutOrder, type StoredRolloutState,
} from './types.js';

/** Age up to which an announcement lets requests go to the new version: half of the time to roll back, since the alarm and word of the hold take the other half. */
const FRESHNESS_SHARE = 0.5;
const MAX_FRESHNESS_MS = 2500;
/** Milliseconds between ticks above which this process stood still: what arrived meanwhile is older than it says. */
const PAUSE_DETECTION_MS = 600;
/** Milliseconds after such a pause for which announcements are not believed: the datagrams of the pause are read in some turns of the event loop. */
const IGNORE_AFTER_PAUSE_MS = 300;
/** Milliseconds without a fresh announcement of an order that has not ended after which the row is read, and between such reads. */
const READ_AFTER_MS = 3000;
const READ_EVERY_MS = 2000;
const HASH_RANGE = 2 ** 32;

/** Where the requests of a service may go. */
export type VersionSplit = {
	/** Versions whose targets serve requests as ever; undefined when versions are ignored. */
	readonly before: readonly string[] | undefined;
	/** Versions that are not used until the operators' table was read once more. */
	readonly unconfirmed: ReadonlySet<string>;
	/** The version that is rolled out, with targets apart. */
	readonly next: string | undefined;
};

/** What is known of the targets of both lanes when a request is placed. */
export type VersionAvailability = {
	readonly hasBefore: boolean;
	/** Whether a target of the new version can take a request now. */
	readonly hasNext: boolean;
};

type KnownState = StoredRolloutState & {
	isHeld: boolean;
	coordinator: string | undefined;
	/** Reading of this VM's clock at which a coordinator renewed it last; -Infinity for what the store says. */
	renewedMs: number;
};

type ServiceState = {
	order: (RolloutOrder & {orderedMs: number; readonly isChange: boolean}) | undefined;
	/** Store version of the last change of the order's row, removals included. */
	orderRowVersion: number;
	latest: KnownState | undefined;
	/** Versions that it had while no order was known. */
	readonly versions: Set<string>;
	readonly unconfirmed: Set<string>;
	lastReadMs: number;
};

export class RolloutParticipant {
	readonly #maxAnnouncementAgeMs: number;
	readonly #services = new Map<string, ServiceState>();
	#lastTickMs = -Infinity;
	#ignoreUntilMs = -Infinity;

	constructor({rollbackMs}: ExposureBounds) {
		this.#maxAnnouncementAgeMs = Math.min(MAX_FRESHNESS_MS, rollbackMs * FRESHNESS_SHARE);
	}

	/** Services that have or had an order. */
	managedServices(): readonly string[] {
		return [...this.#services].filter(([, entry]) => entry.order ?? entry.latest).map(([service]) => service);
	}

	order(service: string): TimedRolloutOrder | undefined {
		return this.#services.get(service)?.order;
	}

	/** The newest row that is known. */
	storedState(service: string): StoredRolloutState | undefined {
		return this.#services.get(service)?.latest;
	}

	/** Revision at which the new version is held back. */
	heldRevision(service: string): number | undefined {
		const latest = this.#services.get(service)?.latest;
		return latest?.isHeld ? latest.revision : undefined;
	}

	/** Whether an order is in force that has not come to its end, as far as this VM knows. */
	isOpen(service: string): boolean {
		const entry = this.#services.get(service);
		const {order, latest} = entry ?? {};
		const isFinal = latest !== undefined && (latest.state.phase === 'completed' || latest.state.phase === 'rolled-back');
		return order ? latest === undefined || order.version > latest.state.order || (order.version === latest.state.order && !isFinal) : latest !== undefined && !isFinal;
	}

	/** Whether some version waits for the operators' table to be read. */
	hasUnconfirmed(): boolean {
		return [...this.#services.values()].some(({unconfirmed}) => unconfirmed.size > 0);
	}

	/** Takes in an order's row or its removal. An order of unknown age is taken to be new until other VMs or the row tell. */
	onOrder(service: string, {order, rowVersion, isChange}: RolloutOrderRow, nowMs: number): void {
		const entry = this.#stateOf(service);
		if (rowVersion <= entry.orderRowVersion) {
			return;
		}

		entry.orderRowVersion = rowVersion;
		entry.order = order && {...order, orderedMs: nowMs, isChange};
		entry.unconfirmed.clear();
	}

	/** A target of a version is known. Returns whether the operators' table has to be read before the version is used. */
	onVersion(service: string, version: string): boolean {
		const entry = this.#stateOf(service);
		if (entry.order && !entry.latest && entry.order.to !== version) {
			// Targets that are read after the first order had their version before it.
			entry.versions.add(version);
		}

		if (entry.order ?? entry.latest ?? entry.versions.has(version)) {
			return false;
		}

		entry.unconfirmed.add(version);
		return true;
	}

	/** The operators' table was read after these versions had appeared. */
	onConfirmed(versions: ReadonlyMap<string, ReadonlySet<string>>): void {
		for (const [service, names] of versions) {
			const entry = this.#stateOf(service);
			for (const version of names) {
				entry.unconfirmed.delete(version);
				if (entry.order?.to !== version) {
					entry.versions.add(version);
				}
			}
		}
	}

	/** Versions that wait for the operators' table, by service. */
	unconfirmed(): ReadonlyMap<string, ReadonlySet<string>> {
		return new Map([...this.#services].filter(([, {unconfirmed}]) => unconfirmed.size > 0).map(([service, {unconfirmed}]) => [service, new Set(unconfirmed)]));
	}

	/** Takes in a row as the store has it. */
	onStored(service: string, stored: StoredRolloutState, {nowMs, wallMs}: {readonly nowMs: number; readonly wallMs: number}): void {
		const entry = this.#stateOf(service);
		this.#applyState(entry, stored, {isHeld: false, coordinator: undefined, renewedMs: -Infinity});
		if (entry.order?.version === stored.state.order && !entry.order.isChange) {
			entry.order.orderedMs = Math.min(entry.order.orderedMs, nowMs - Math.max(0, wallMs - stored.state.orderedWallMs));
		}
	}

	/** Takes in what another VM, or the coordinator here, announces. Returns whether it was believed. */
	onAnnouncement(announcement: Announcement, nowMs: number): boolean {
		this.#detectPause(nowMs);
		if (nowMs < this.#ignoreUntilMs) {
			return false;
		}

		const entry = this.#stateOf(announcement.service);
		this.#applyState(entry, announcement, {isHeld: announcement.isHeld, coordinator: announcement.coordinator, renewedMs: nowMs - announcement.ageMs});
		if (entry.order?.version === announcement.state.order) {
			entry.order.orderedMs = Math.min(entry.order.orderedMs, nowMs - announcement.orderAgeMs);
		}

		return true;
	}

	/** Called several times a second. Returns whether the process stood still before. */
	onTick(nowMs: number): boolean {
		const wasPaused = this.#detectPause(nowMs);
		this.#lastTickMs = nowMs;
		return wasPaused;
	}

	/** What this VM passes on; undefined when there is nothing. */
	announcement(service: string, nowMs: number): Announcement | undefined {
		const entry = this.#services.get(service);
		const latest = entry?.latest;
		return latest && {
			service, state: latest.state, revision: latest.revision, isHeld: latest.isHeld, coordinator: latest.coordinator ?? '',
			ageMs: nowMs - latest.renewedMs,
			orderAgeMs: entry.order?.version === latest.state.order ? nowMs - entry.order.orderedMs : 0,
		};
	}

	/** Services whose rows have to be read, since no fresh announcement tells how their order goes on. */
	takeDueReads(nowMs: number): readonly string[] {
		return [...this.#services].flatMap(([service, entry]) => {
			const sinceMs = Math.max(entry.latest?.renewedMs ?? -Infinity, entry.order?.orderedMs ?? -Infinity);
			if (!this.isOpen(service) || nowMs - sinceMs < READ_AFTER_MS || nowMs - entry.lastReadMs < READ_EVERY_MS) {
				return [];
			}

			entry.lastReadMs = nowMs;
			return [service];
		});
	}

	/** How the targets of a service are divided now. */
	versionSplit(service: string): VersionSplit {
		const entry = this.#services.get(service);
		if (!entry) {
			return {before: undefined, unconfirmed: new Set(), next: undefined};
		}

		const {order, latest, versions, unconfirmed} = entry;
		if (!latest) {
			return order
				? {before: [...versions].filter(version => version !== order.to || versions.size === 1), unconfirmed: new Set(), next: undefined}
				: {before: undefined, unconfirmed, next: undefined};
		}

		const {state} = latest;
		if (state.phase === 'completed') {
			return {before: [state.to], unconfirmed: new Set(), next: undefined};
		}

		const isNext = order?.version === state.order && !latest.isHeld && state.phase !== 'rolled-back' && !state.before.includes(state.to);
		return {before: state.before, unconfirmed: new Set(), next: isNext ? state.to : undefined};
	}

	/** Whether a request goes to the new version. Decided by its id, so that it stays the same while it waits. */
	usesNewVersion(service: string, request: {readonly id: string; readonly isRepeat: boolean}, targets: VersionAvailability, nowMs: number): boolean {
		const {next} = this.versionSplit(service);
		const latest = this.#services.get(service)?.latest;
		if (next === undefined || !latest || latest.isHeld || !targets.hasNext) {
			return false;
		}

		if (!targets.hasBefore) {
			return true;
		}

		if (!this.#isAnnouncementFresh(latest, nowMs)) {
			return false;
		}

		// A request that failed once is not tried on an unproved version.
		return latest.state.share >= 1 || (!request.isRepeat && hash32(`${service}|${request.id}`) / HASH_RANGE < latest.state.share);
	}

	/** Whether a request may still be sent to a version; asked right before its first byte. */
	maySend(service: string, version: string, hasBefore: boolean, nowMs: number): boolean {
		const {before, unconfirmed, next} = this.versionSplit(service);
		if (version === next) {
			const latest = this.#services.get(service)?.latest;
			return latest !== undefined && !latest.isHeld && (!hasBefore || this.#isAnnouncementFresh(latest, nowMs));
		}

		return before ? before.includes(version) : !unconfirmed.has(version);
	}

	#stateOf(service: string): ServiceState {
		const entry = this.#services.get(service) ?? {
			order: undefined, orderRowVersion: 0, latest: undefined, versions: new Set(), unconfirmed: new Set(), lastReadMs: -Infinity,
		};
		this.#services.set(service, entry);
		return entry;
	}

	/** A later row replaces an earlier one; of one row, a hold stays and the newest renewal counts. */
	#applyState(entry: ServiceState, {state, revision}: StoredRolloutState, {isHeld, coordinator, renewedMs}: Pick<KnownState, 'isHeld' | 'coordinator' | 'renewedMs'>): void {
		const {latest} = entry;
		if (!latest || revision > latest.revision) {
			entry.latest = {
				state, revision, isHeld, coordinator, renewedMs,
			};
			entry.unconfirmed.clear();
		} else if (revision === latest.revision) {
			latest.isHeld ||= isHeld;
			if (renewedMs > latest.renewedMs) {
				latest.renewedMs = renewedMs;
				latest.coordinator = coordinator;
			}
		}
	}

	#isAnnouncementFresh(latest: KnownState, nowMs: number): boolean {
		this.#detectPause(nowMs);
		return nowMs >= this.#ignoreUntilMs && nowMs - latest.renewedMs <= this.#maxAnnouncementAgeMs;
	}

	#detectPause(nowMs: number): boolean {
		const wasPaused = Number.isFinite(this.#lastTickMs) && nowMs - this.#lastTickMs > PAUSE_DETECTION_MS;
		if (wasPaused) {
			this.#lastTickMs = nowMs;
			this.#ignoreUntilMs = nowMs + IGNORE_AFTER_PAUSE_MS;
		}

		return wasPaused;
	}
}
