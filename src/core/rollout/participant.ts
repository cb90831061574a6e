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
const FRESH_SHARE = 0.5;
const MAX_FRESH_MS = 2500;
/** Milliseconds between ticks above which this process stood still: what arrived meanwhile is older than it says. */
const GAP_MS = 600;
/** Milliseconds after such a pause for which announcements are not believed: the datagrams of the pause are read in some turns of the event loop. */
const DISTRUST_MS = 300;
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

type Word = StoredRolloutState & {
	isHeld: boolean;
	coordinator: string | undefined;
	/** Reading of this VM's clock at which a coordinator renewed it last; -Infinity for what the store says. */
	renewedMs: number;
};

type Service = {
	order: (RolloutOrder & {orderedMs: number; readonly isChange: boolean}) | undefined;
	/** Store version of the last change of the order's row, removals included. */
	orderRowVersion: number;
	word: Word | undefined;
	/** Versions that it had while no order was known. */
	readonly versions: Set<string>;
	readonly unconfirmed: Set<string>;
	readMs: number;
};

export class RolloutParticipant {
	readonly #freshMs: number;
	readonly #services = new Map<string, Service>();
	#tickMs = -Infinity;
	#distrustUntilMs = -Infinity;

	constructor({rollbackMs}: ExposureBounds) {
		this.#freshMs = Math.min(MAX_FRESH_MS, rollbackMs * FRESH_SHARE);
	}

	/** Services that have or had an order. */
	managedServices(): readonly string[] {
		return [...this.#services].filter(([, known]) => known.order ?? known.word).map(([service]) => service);
	}

	order(service: string): TimedRolloutOrder | undefined {
		return this.#services.get(service)?.order;
	}

	/** The newest row that is known. */
	storedState(service: string): StoredRolloutState | undefined {
		return this.#services.get(service)?.word;
	}

	/** Revision at which the new version is held back. */
	heldRevision(service: string): number | undefined {
		const word = this.#services.get(service)?.word;
		return word?.isHeld ? word.revision : undefined;
	}

	/** Whether an order is in force that has not come to its end, as far as this VM knows. */
	isOpen(service: string): boolean {
		const known = this.#services.get(service);
		const {order, word} = known ?? {};
		const isFinal = word !== undefined && (word.state.phase === 'completed' || word.state.phase === 'rolled-back');
		return order ? word === undefined || order.version > word.state.order || (order.version === word.state.order && !isFinal) : word !== undefined && !isFinal;
	}

	/** Whether some version waits for the operators' table to be read. */
	hasUnconfirmed(): boolean {
		return [...this.#services.values()].some(({unconfirmed}) => unconfirmed.size > 0);
	}

	/** Takes in an order's row or its removal. An order of unknown age is taken to be new until other VMs or the row tell. */
	onOrder(service: string, {order, rowVersion, isChange}: RolloutOrderRow, nowMs: number): void {
		const known = this.#serviceOf(service);
		if (rowVersion <= known.orderRowVersion) {
			return;
		}

		known.orderRowVersion = rowVersion;
		known.order = order && {...order, orderedMs: nowMs, isChange};
		known.unconfirmed.clear();
	}

	/** A target of a version is known. Returns whether the operators' table has to be read before the version is used. */
	onVersion(service: string, version: string): boolean {
		const known = this.#serviceOf(service);
		if (known.order && !known.word && known.order.to !== version) {
			// Targets that are read after the first order had their version before it.
			known.versions.add(version);
		}

		if (known.order ?? known.word ?? known.versions.has(version)) {
			return false;
		}

		known.unconfirmed.add(version);
		return true;
	}

	/** The operators' table was read after these versions had appeared. */
	onConfirmed(versions: ReadonlyMap<string, ReadonlySet<string>>): void {
		for (const [service, names] of versions) {
			const known = this.#serviceOf(service);
			for (const version of names) {
				known.unconfirmed.delete(version);
				if (known.order?.to !== version) {
					known.versions.add(version);
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
		const known = this.#serviceOf(service);
		this.#take(known, stored, {isHeld: false, coordinator: undefined, renewedMs: -Infinity});
		if (known.order?.version === stored.state.order && !known.order.isChange) {
			known.order.orderedMs = Math.min(known.order.orderedMs, nowMs - Math.max(0, wallMs - stored.state.orderedWallMs));
		}
	}

	/** Takes in what another VM, or the coordinator here, announces. Returns whether it was believed. */
	onAnnouncement(announcement: Announcement, nowMs: number): boolean {
		this.#noteGap(nowMs);
		if (nowMs < this.#distrustUntilMs) {
			return false;
		}

		const known = this.#serviceOf(announcement.service);
		this.#take(known, announcement, {isHeld: announcement.isHeld, coordinator: announcement.coordinator, renewedMs: nowMs - announcement.ageMs});
		if (known.order?.version === announcement.state.order) {
			known.order.orderedMs = Math.min(known.order.orderedMs, nowMs - announcement.orderAgeMs);
		}

		return true;
	}

	/** Called several times a second. Returns whether the process stood still before. */
	onTick(nowMs: number): boolean {
		const hasGap = this.#noteGap(nowMs);
		this.#tickMs = nowMs;
		return hasGap;
	}

	/** What this VM passes on; undefined when there is nothing. */
	announcement(service: string, nowMs: number): Announcement | undefined {
		const known = this.#services.get(service);
		const word = known?.word;
		return word && {
			service, state: word.state, revision: word.revision, isHeld: word.isHeld, coordinator: word.coordinator ?? '',
			ageMs: nowMs - word.renewedMs,
			orderAgeMs: known.order?.version === word.state.order ? nowMs - known.order.orderedMs : 0,
		};
	}

	/** Services whose rows have to be read, since no fresh announcement tells how their order goes on. */
	takeDueReads(nowMs: number): readonly string[] {
		return [...this.#services].flatMap(([service, known]) => {
			const sinceMs = Math.max(known.word?.renewedMs ?? -Infinity, known.order?.orderedMs ?? -Infinity);
			if (!this.isOpen(service) || nowMs - sinceMs < READ_AFTER_MS || nowMs - known.readMs < READ_EVERY_MS) {
				return [];
			}

			known.readMs = nowMs;
			return [service];
		});
	}

	/** How the targets of a service are divided now. */
	versionSplit(service: string): VersionSplit {
		const known = this.#services.get(service);
		if (!known) {
			return {before: undefined, unconfirmed: new Set(), next: undefined};
		}

		const {order, word, versions, unconfirmed} = known;
		if (!word) {
			return order
				? {before: [...versions].filter(version => version !== order.to || versions.size === 1), unconfirmed: new Set(), next: undefined}
				: {before: undefined, unconfirmed, next: undefined};
		}

		const {state} = word;
		if (state.phase === 'completed') {
			return {before: [state.to], unconfirmed: new Set(), next: undefined};
		}

		const isNext = order?.version === state.order && !word.isHeld && state.phase !== 'rolled-back' && !state.before.includes(state.to);
		return {before: state.before, unconfirmed: new Set(), next: isNext ? state.to : undefined};
	}

	/** Whether a request goes to the new version. Decided by its id, so that it stays the same while it waits. */
	usesNewVersion(service: string, request: {readonly id: string; readonly isRepeat: boolean}, targets: VersionAvailability, nowMs: number): boolean {
		const {next} = this.versionSplit(service);
		const word = this.#services.get(service)?.word;
		if (next === undefined || !word || word.isHeld || !targets.hasNext) {
			return false;
		}

		if (!targets.hasBefore) {
			return true;
		}

		if (!this.#isFresh(word, nowMs)) {
			return false;
		}

		// A request that failed once is not tried on an unproved version.
		return word.state.share >= 1 || (!request.isRepeat && hash32(`${service}|${request.id}`) / HASH_RANGE < word.state.share);
	}

	/** Whether a request may still be sent to a version; asked right before its first byte. */
	maySend(service: string, version: string, hasBefore: boolean, nowMs: number): boolean {
		const {before, unconfirmed, next} = this.versionSplit(service);
		if (version === next) {
			const word = this.#services.get(service)?.word;
			return word !== undefined && !word.isHeld && (!hasBefore || this.#isFresh(word, nowMs));
		}

		return before ? before.includes(version) : !unconfirmed.has(version);
	}

	#serviceOf(service: string): Service {
		const known = this.#services.get(service) ?? {
			order: undefined, orderRowVersion: 0, word: undefined, versions: new Set(), unconfirmed: new Set(), readMs: -Infinity,
		};
		this.#services.set(service, known);
		return known;
	}

	/** A later row replaces an earlier one; of one row, a hold stays and the newest renewal counts. */
	#take(known: Service, {state, revision}: StoredRolloutState, {isHeld, coordinator, renewedMs}: Pick<Word, 'isHeld' | 'coordinator' | 'renewedMs'>): void {
		const {word} = known;
		if (!word || revision > word.revision) {
			known.word = {
				state, revision, isHeld, coordinator, renewedMs,
			};
			known.unconfirmed.clear();
		} else if (revision === word.revision) {
			word.isHeld ||= isHeld;
			if (renewedMs > word.renewedMs) {
				word.renewedMs = renewedMs;
				word.coordinator = coordinator;
			}
		}
	}

	#isFresh(word: Word, nowMs: number): boolean {
		this.#noteGap(nowMs);
		return nowMs >= this.#distrustUntilMs && nowMs - word.renewedMs <= this.#freshMs;
	}

	#noteGap(nowMs: number): boolean {
		const hasGap = Number.isFinite(this.#tickMs) && nowMs - this.#tickMs > GAP_MS;
		if (hasGap) {
			this.#tickMs = nowMs;
			this.#distrustUntilMs = nowMs + DISTRUST_MS;
		}

		return hasGap;
	}
}
