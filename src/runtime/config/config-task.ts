/**
 * Maintains the active configuration: announces its version to peers, fetches newer versions
 * from them, and polls the platform while this VM is the one that reads it for its data centre
 * (the reader).
 */
import {type Clock} from '../../core/clock.js';
import {createConfigVersions} from '../../core/config/config-versions.js';
import {type ConfigEffect, type ConfigMessage} from '../../core/config/types.js';
import {pickByRendezvous} from '../../core/membership/rendezvous.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {type Every} from '../membership/every.js';
import {type LinkPort, type MembershipTask} from '../membership/types.js';
import {type PlatformClient} from '../platform/types.js';
import {readConsistently} from './read-consistently.js';
import {
	CONFIG_TABLE, CURRENT_KEY, documentOf, versionKey,
} from './config-table.js';
import {proposeConfig} from './propose-config.js';
import {type ConfigTask} from './types.js';

/** Milliseconds between reads of the platform by one VM of each data centre. */
export const POLL_MS = 1000;
/** Milliseconds between checks of which VMs are peers and which VM is the reader. */
const TICK_MS = 250;

/** Most older versions that are read when this release cannot parse the latest version. */
const MAX_OLDER_VERSIONS = 10;
/** Key of the object with a copy of the current document, read when the table service is over its rate limit. */
const SNAPSHOT_OBJECT = 'config/current';

export type ConfigTaskOptions = {
	readonly clock: Clock;
	readonly every: Every;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
	readonly platform: PlatformClient;
	readonly links: LinkPort;
	readonly membership: Pick<MembershipTask, 'selfId' | 'dataCentre' | 'aliveIn' | 'linkPeers'>;
	/** Called when a newer document could not be parsed; the last valid one stays active. */
	readonly onRejected: (version: number, fault: string) => void;
};

export const createConfigTask = ({clock, every, random, platform, links, membership, onRejected}: ConfigTaskOptions): ConfigTask => {
	const state = createConfigVersions({dataCentre: membership.dataCentre, startedMs: clock.nowMs()});
	const listeners: Array<(config: FleetConfig) => void> = [];
	const linked = new Set<string>();
	let hasReadCurrent = false;

	const notice = (extra: {readonly document?: string; readonly fetch?: boolean} = {}) => ({
		config: {
			version: BigInt(state.latest()?.version ?? 0), heardVersion: BigInt(state.heardVersion()), ...extra,
		},
	});

	const announce = (): void => {
		for (const vm of linked) {
			links.queue(vm, notice());
		}
	};

	const carryOut = (effect: ConfigEffect): void => {
		switch (effect.kind) {
			case 'fetch': {
				links.queue(effect.vm, notice({fetch: true}));
				break;
			}

			case 'reply': {
				links.queue(effect.vm, notice({document: state.latest()?.document ?? ''}));
				break;
			}

			case 'announce': {
				announce();
				break;
			}

			case 'applied': {
				for (const listener of listeners) {
					listener(effect.config);
				}

				break;
			}

			case 'rejected': {
				onRejected(effect.version, effect.fault);
				break;
			}
		}
	};

	const handle = (message: ConfigMessage): void => {
		for (const effect of state.handle(message, clock.nowMs())) {
			carryOut(effect);
		}
	};

	const isReader = (): boolean => {
		const alive = membership.aliveIn(membership.dataCentre).map(({id}) => id);
		return pickByRendezvous('config-reader', alive) === membership.selfId;
	};

	const readSnapshot = async (): Promise<void> => {
		const object = await platform.getObject(SNAPSHOT_OBJECT);
		if (object.kind === 'found') {
			handle({kind: 'document', document: object.value});
		}
	};

	/** Reads the current document. The first read is consistent, since the previous process instance may have used a newer version than an inconsistent read returns. */
	const readPlatform = async (): Promise<void> => {
		const row = hasReadCurrent ? await platform.readRow(CONFIG_TABLE, CURRENT_KEY) : await readConsistently(platform, CURRENT_KEY);
		if (row.kind === 'found') {
			hasReadCurrent = true;
			handle({kind: 'document', document: JSON.stringify(row.value.value)});
		} else if (row.kind === 'rate_limited' && !state.latest()) {
			await readSnapshot();
		}
	};

	/** Applies the latest older version that this release can parse. It is called while no configuration is active, because the VM cannot parse the current version. */
	const readOlder = async (): Promise<void> => {
		const newest = state.latest()?.version ?? 0;
		const oldest = Math.max(1, newest - MAX_OLDER_VERSIONS);
		for (let version = newest - 1; !state.current() && version >= oldest; version--) {
			// eslint-disable-next-line no-await-in-loop
			const row = await platform.readRow(CONFIG_TABLE, versionKey(version));
			const document = row.kind === 'found' ? documentOf(row.value.value) : undefined;
			if (document !== undefined) {
				handle({kind: 'older', document});
			}
		}
	};

	const poll = (): void => {
		if (isReader() || !state.latest()) {
			void readPlatform();
		}

		if (state.latest() && !state.current()) {
			void readOlder();
		}
	};

	const tick = (): void => {
		handle({kind: 'peers', vms: membership.linkPeers().map(({id}) => id), isReader: isReader()});
	};

	links.onFrame((from, {config, heartbeat}) => {
		if (!config && !heartbeat) {
			return;
		}

		handle({
			kind: 'notice',
			from: from.vm,
			dataCentre: from.dataCentre,
			version: Number(config?.version ?? heartbeat?.configVersion ?? 0),
			heardVersion: Number(config?.heardVersion ?? 0),
			document: config?.document ?? '',
			isFetch: config?.fetch ?? false,
		});
	});

	links.onPeer(event => {
		if (event.state === 'up') {
			linked.add(event.vm);
			links.queue(event.vm, notice());
		} else {
			linked.delete(event.vm);
			handle({kind: 'down', vm: event.vm});
		}
	});

	tick();
	void readPlatform();
	const stops = [every(() => TICK_MS, tick), every(() => POLL_MS, poll)];

	return {
		current: () => state.current(),
		latest: () => state.latest(),
		heardVersion: () => state.heardVersion(),
		isReady: () => state.isReady(clock.nowMs()),
		onChange(listener) {
			listeners.push(listener);
		},
		async propose(proposal) {
			const accepted = await proposeConfig(proposal, {platform, random});
			handle({kind: 'document', document: accepted.document});
			void platform.putObject(SNAPSHOT_OBJECT, accepted.document);
			return accepted;
		},
		stop() {
			for (const stop of stops) {
				stop();
			}
		},
	};
};
