/**
 * Holds the newest configuration document and decides which peer to fetch a newer one from.
 * Peers announce their versions. In each data centre one VM, the reader, reads the platform and
 * fetches new versions from other data centres; the other VMs fetch them from VMs of their own
 * data centre. A lower version is never applied.
 */
import {type FleetConfig} from './fleet-config.js';
import {parseDocument} from './parse-document.js';
import {
	type ConfigEffect, type ConfigMessage, type ConfigVersions, type ConfigVersionsOptions, type ConfigDocument,
} from './types.js';

/** Milliseconds after which an unanswered fetch is repeated, at another peer if there is one. */
export const FETCH_TIMEOUT_MS = 500;

/** Milliseconds for which a VM that is not the reader knows of a newer version before it fetches the document from another data centre. */
export const REMOTE_FETCH_AFTER_MS = 1000;

/** Milliseconds after its start for which a VM waits for peers that have not sent their versions. */
export const START_WAIT_MS = 2000;

type PeerVersion = {readonly dataCentre: string; readonly version: number};
type Fetch = {readonly vm: string; readonly sinceMs: number};

/** Creates the state of one VM, which holds no document at first. */
export const createConfigVersions = ({dataCentre, startedMs}: ConfigVersionsOptions): ConfigVersions => {
	const peers = new Map<string, PeerVersion>();
	let expectedPeers: readonly string[] = [];
	let isReader = false;
	let active: FleetConfig | undefined;
	let latest: ConfigDocument | undefined;
	let heardVersion = 0;
	let fetch: Fetch | undefined;
	let behindSinceMs: number | undefined;
	let isReadyOnce = false;

	const latestVersion = (): number => latest?.version ?? 0;

	const applyDocument = (document: string): readonly ConfigEffect[] => {
		const parsed = parseDocument(document);
		if (parsed.kind === 'unreadable') {
			return [{kind: 'rejected', version: 0, fault: parsed.fault}];
		}

		if (parsed.version <= latestVersion()) {
			return [];
		}

		latest = {version: parsed.version, document};
		heardVersion = Math.max(heardVersion, parsed.version);
		fetch = undefined;
		if (parsed.kind === 'invalid') {
			return [{kind: 'rejected', version: parsed.version, fault: parsed.fault}, {kind: 'announce'}];
		}

		active = parsed.config;
		return [{kind: 'applied', config: parsed.config}, {kind: 'announce'}];
	};

	const applyOlderDocument = (document: string): readonly ConfigEffect[] => {
		const parsed = parseDocument(document);
		if (parsed.kind !== 'valid' || active !== undefined || parsed.version > latestVersion()) {
			return [];
		}

		active = parsed.config;
		return [{kind: 'applied', config: parsed.config}];
	};

	/** Chooses a peer with a newer version to fetch from: one of this VM's data centre if there is any, and preferably not the peer whose fetch timed out. */
	const chooseSource = (nowMs: number): string | undefined => {
		const newer = [...peers].filter(([, {version}]) => version > latestVersion());
		const local = newer.filter(([, peer]) => peer.dataCentre === dataCentre);
		const mayFetchRemote = isReader || nowMs - (behindSinceMs ?? nowMs) >= REMOTE_FETCH_AFTER_MS;
		const candidates = local.length > 0 || !mayFetchRemote ? local : newer;
		const other = candidates.find(([vm]) => vm !== fetch?.vm);
		return (other ?? candidates[0])?.[0];
	};

	const fetchIfBehind = (nowMs: number): readonly ConfigEffect[] => {
		if (![...peers.values()].some(({version}) => version > latestVersion())) {
			behindSinceMs = undefined;
			return [];
		}

		behindSinceMs ??= nowMs;
		if (fetch && nowMs - fetch.sinceMs < FETCH_TIMEOUT_MS) {
			return [];
		}

		const vm = chooseSource(nowMs);
		if (vm === undefined) {
			return [];
		}

		fetch = {vm, sinceMs: nowMs};
		return [{kind: 'fetch', vm}];
	};

	const applyNotice = (notice: Extract<ConfigMessage, {kind: 'notice'}>): readonly ConfigEffect[] => {
		peers.set(notice.from, {dataCentre: notice.dataCentre, version: notice.version});
		heardVersion = Math.max(heardVersion, notice.version, notice.heardVersion);
		return [
			...(notice.document === '' ? [] : applyDocument(notice.document)),
			...(notice.isFetch && latest ? [{kind: 'reply', vm: notice.from} as const] : []),
		];
	};

	const apply = (message: ConfigMessage): readonly ConfigEffect[] => {
		switch (message.kind) {
			case 'notice': {
				return applyNotice(message);
			}

			case 'document': {
				return applyDocument(message.document);
			}

			case 'older': {
				return applyOlderDocument(message.document);
			}

			case 'down': {
				peers.delete(message.vm);
				return [];
			}

			case 'peers': {
				expectedPeers = message.vms;
				isReader = message.isReader;
				return [];
			}

			case 'tick': {
				return [];
			}
		}
	};

	return {
		handle(message, nowMs) {
			const effects = apply(message);
			return [...effects, ...fetchIfBehind(nowMs)];
		},
		current: () => active,
		latest: () => latest,
		heardVersion: () => heardVersion,
		isReady(nowMs) {
			const hasWaitedForPeers = nowMs - startedMs >= START_WAIT_MS || expectedPeers.every(vm => peers.has(vm));
			isReadyOnce ||= active !== undefined && hasWaitedForPeers && latestVersion() >= heardVersion;
			return isReadyOnce;
		},
	};
};
