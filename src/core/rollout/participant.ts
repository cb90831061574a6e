/**
 * Decides which versions of a service this VM may send requests to. The new version gets a
 * share of the requests only while the coordinator's announcement is fresh; a VM that was
 * paused, partitioned or restarted has no fresh one and sends to the old versions only.
 *
 * Versions are ignored for a service that never had an order. A version that appears without
 * an order is used only after the operators' table was read again, since the table of targets
 * may be ahead of it.
 */
import {hash32} from '../membership/rendezvous.js';
import {eraOf} from '../store-watch/store-version.js';
import {
	type Announcement, type ExposureBounds, type RolloutOrder, type RolloutOrderRow, type RolloutState, type TimedRolloutOrder, type StoredRolloutState,
} from './types.js';

/** Largest age of an announcement that lets requests go to the new version, as a share of the time to roll back. The alarm and the announcement that holds the version back take the other half. */
const FRESHNESS_SHARE = 0.5;
const MAX_FRESHNESS_MS = 2500;
/** Milliseconds between ticks above which the process is assumed to have been paused. Messages that arrived during the pause are older than the age that they state. */
const PAUSE_DETECTION_MS = 600;
/** Milliseconds after such a pause for which announcements are ignored: the event loop takes several iterations to read the datagrams that arrived during the pause. */
const IGNORE_AFTER_PAUSE_MS = 300;
/** Milliseconds without a fresh announcement after which the state row of an unfinished order is read. `READ_EVERY_MS` is the least time between two such reads. */
const READ_AFTER_MS = 3000;
const READ_EVERY_MS = 2000;
const HASH_RANGE = 2 ** 32;

/** How the requests of a service are split by version. */
export type VersionSplit = {
	/** Versions whose targets serve requests as usual; undefined when versions are ignored. */
	readonly before: readonly string[] | undefined;
	/** Versions that are not used until the operators' table was read again. */
	readonly unconfirmed: ReadonlySet<string>;
	/** The version being rolled out, which gets only its share of the requests; undefined when there is none. */
	readonly next: string | undefined;
};

/** Which of the old and new versions' targets are available when the version for a request is chosen. */
export type VersionAvailability = {
	/** Whether a target of the old versions is usable. */
	readonly hasBefore: boolean;
	/** Whether a target of the new version can accept a request now. */
	readonly hasNext: boolean;
};

type KnownState = StoredRolloutState & {
	isHeld: boolean;
	coordinator: string | undefined;
	/** Time by this VM's clock at which a coordinator last renewed the state; -Infinity for a state that was only read from the store. */
	renewedMs: number;
};

/** Whether a state row of a later era of the store shows an earlier step than the known one. */
export const isFromOlderCopy = (state: RolloutState, known: RolloutState): boolean =>
	state.counter < known.counter || (state.order === known.order && known.phase === 'rolled-back' && state.phase !== 'rolled-back');

const isSameStep = (a: RolloutState, b: RolloutState): boolean => a.order === b.order && a.counter === b.counter;

type ServiceState = {
	order: (RolloutOrder & {orderedMs: number; readonly isChange: boolean}) | undefined;
	/** Store version of the last change of the order's row, including removals. */
	orderRowVersion: number;
	/** The newest known state row. */
	latest: KnownState | undefined;
	/** Versions that the service had while no order was known. */
	readonly versions: Set<string>;
	readonly unconfirmed: Set<string>;
	lastReadMs: number;
};

export class RolloutParticipant {
	readonly #maxAnnouncementAgeMs: number;
	readonly #services = new Map<string, ServiceState>();
	#lastTickMs = -Infinity;
	/** Time until which announcements are ignored after a pause of the process. */
	#ignoreUntilMs = -Infinity;

	constructor({rollbackMs}: ExposureBounds) {
		this.#maxAnnouncementAgeMs = Math.min(MAX_FRESHNESS_MS, rollbackMs * FRESHNESS_SHARE);
	}

	/** Returns the services that have or had an order. */
	managedServices(): readonly string[] {
		return [...this.#services].filter(([, entry]) => entry.order ?? entry.latest).map(([service]) => service);
	}

	/** Returns the service's active order; undefined when there is none. */
	order(service: string): TimedRolloutOrder | undefined {
		return this.#services.get(service)?.order;
	}

	/** Returns the newest known state row. */
	storedState(service: string): StoredRolloutState | undefined {
		return this.#services.get(service)?.latest;
	}

	/** Returns the revision of the newest known state row if an announcement of it holds the new version back, else undefined. */
	heldRevision(service: string): number | undefined {
		const latest = this.#services.get(service)?.latest;
		return latest?.isHeld ? latest.revision : undefined;
	}

	/** Whether the service has a roll-out that has not ended, as far as this VM knows. */
	isOpen(service: string): boolean {
		const entry = this.#services.get(service);
		const {order, latest} = entry ?? {};
		// The stored state is of an earlier era of the store than the order's row, so it may have to be written again.
		if (order?.rowVersion !== undefined && latest?.state.order === order.version && eraOf(order.rowVersion) > eraOf(latest.revision)) {
			return true;
		}

		const isFinal = latest !== undefined && (latest.state.phase === 'completed' || latest.state.phase === 'rolled-back');
		return order ? latest === undefined || order.version > latest.state.order || (order.version === latest.state.order && !isFinal) : latest !== undefined && !isFinal;
	}

	/** Whether any version waits for a read of the operators' table. */
	hasUnconfirmed(): boolean {
		return [...this.#services.values()].some(({unconfirmed}) => unconfirmed.size > 0);
	}

	/** Handles an order's row or its removal. An order of unknown age is treated as new until an announcement or the state row gives its age. */
	onOrder(service: string, {order, rowVersion, isChange, isRewritten = false}: RolloutOrderRow, nowMs: number): void {
		const entry = this.#stateOf(service);
		if (rowVersion <= entry.orderRowVersion) {
			return;
		}

		entry.orderRowVersion = rowVersion;
		if (isRewritten && order && order.to === entry.order?.to && order.durationMs === entry.order.durationMs) {
			entry.order = {...entry.order, rowVersion};
			return;
		}

		entry.order = order && {...order, orderedMs: nowMs, isChange};
		entry.unconfirmed.clear();
	}

	/** Records that a target of a version is known. Returns whether the operators' table has to be read before the version is used. */
	onVersion(service: string, version: string): boolean {
		const entry = this.#stateOf(service);
		if (entry.order && !entry.latest && entry.order.to !== version) {
			// Before the first state row, any version but the ordered one is an old version, even if its target is read after the order.
			entry.versions.add(version);
		}

		if (entry.order ?? entry.latest ?? entry.versions.has(version)) {
			return false;
		}

		entry.unconfirmed.add(version);
		return true;
	}

	/** Handles a read of the operators' table that began after the given versions had appeared. `versions` lists them by service. */
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

	/** Returns the versions that wait for a read of the operators' table, by service. */
	unconfirmed(): ReadonlyMap<string, ReadonlySet<string>> {
		return new Map([...this.#services].filter(([, {unconfirmed}]) => unconfirmed.size > 0).map(([service, {unconfirmed}]) => [service, new Set(unconfirmed)]));
	}

	/** Handles a state row as the store holds it. */
	onStored(service: string, stored: StoredRolloutState, {nowMs, wallMs}: {readonly nowMs: number; readonly wallMs: number}): void {
		const entry = this.#stateOf(service);
		this.#applyState(entry, stored, {isHeld: false, coordinator: undefined, renewedMs: -Infinity});
		if (entry.order?.version === stored.state.order && !entry.order.isChange) {
			entry.order.orderedMs = Math.min(entry.order.orderedMs, nowMs - Math.max(0, wallMs - stored.state.orderedWallMs));
		}
	}

	/** Handles an announcement from another VM or from the coordinator in this process. Returns false when it was ignored. */
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

	/** Called several times a second. Returns whether the process was paused before this call. */
	onTick(nowMs: number): boolean {
		const wasPaused = this.#detectPause(nowMs);
		this.#lastTickMs = nowMs;
		return wasPaused;
	}

	/** Returns the announcement that this VM passes on; undefined when it knows no state row. */
	announcement(service: string, nowMs: number): Announcement | undefined {
		const entry = this.#services.get(service);
		const latest = entry?.latest;
		return latest && {
			service, state: latest.state, revision: latest.revision, isHeld: latest.isHeld, coordinator: latest.coordinator ?? '',
			ageMs: nowMs - latest.renewedMs,
			orderAgeMs: entry.order?.version === latest.state.order ? nowMs - entry.order.orderedMs : 0,
		};
	}

	/** Returns the services whose state rows have to be read now, since no recent announcement describes their roll-out. The rows count as read from then on. */
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

	/** Returns how the requests of a service are split by version now. */
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

	/** Whether a request goes to the new version. The request's id decides, so that the choice stays the same while the request waits. */
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

		// A request that failed once is not repeated at an unverified version.
		return latest.state.share >= 1 || (!request.isRepeat && hash32(`${service}|${request.id}`) / HASH_RANGE < latest.state.share);
	}

	/** Whether a request may still be sent to a version; called right before its first byte is sent. */
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

	/**
	 * Keeps the later of two state rows. Of two copies of one row, a hold stays in effect and the
	 * newest renewal counts. A row of an older copy of the store is ignored: it has fewer writes than
	 * the known one, or shows a version in use that was rolled back.
	 */
	#applyState(entry: ServiceState, {state, revision}: StoredRolloutState, {isHeld, coordinator, renewedMs}: Pick<KnownState, 'isHeld' | 'coordinator' | 'renewedMs'>): void {
		const {latest} = entry;
		if (latest && eraOf(revision) > eraOf(latest.revision) && isFromOlderCopy(state, latest.state)) {
			return;
		}

		if (!latest || revision > latest.revision) {
			entry.latest = {
				state, revision, isHeld: isHeld || (latest?.isHeld === true && isSameStep(state, latest.state)), coordinator, renewedMs,
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
