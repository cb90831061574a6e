/** Versions of the fleet configuration as one VM holds them. */
import {type FleetConfig} from './fleet-config.js';

export type ConfigMessage =
	/** What a peer told of its versions, in a notice or a heartbeat. */
	| {
		readonly kind: 'notice';
		readonly from: string;
		readonly dataCentre: string;
		readonly version: number;
		readonly heardVersion: number;
		/** The document as JSON; empty when the notice brings none. */
		readonly document: string;
		/** The peer asks for the document. */
		readonly isFetch: boolean;
	}
	/** A document read from the platform, or written to it by this VM. */
	| {readonly kind: 'document'; readonly document: string}
	/** An older document, for a VM that started on a version that it cannot read. */
	| {readonly kind: 'older'; readonly document: string}
	| {readonly kind: 'down'; readonly vm: string}
	/** VMs to hear before the first document is taken for current. */
	| {readonly kind: 'peers'; readonly vms: readonly string[]; readonly isReader: boolean}
	| {readonly kind: 'tick'};

export type ConfigEffect =
	/** Ask the VM for its document. */
	| {readonly kind: 'fetch'; readonly vm: string}
	/** Send the document to a VM that asked. */
	| {readonly kind: 'reply'; readonly vm: string}
	/** Tell all linked peers of the new version. */
	| {readonly kind: 'announce'}
	| {readonly kind: 'applied'; readonly config: FleetConfig}
	| {readonly kind: 'rejected'; readonly version: number; readonly fault: string};

export type ConfigDocument = {readonly version: number; readonly document: string};

export type ConfigVersions = {
	readonly handle: (message: ConfigMessage, nowMs: number) => readonly ConfigEffect[];
	/** The version in force: the highest valid one held. */
	readonly current: () => FleetConfig | undefined;
	/** The highest version held, also when this release cannot read it. */
	readonly latest: () => ConfigDocument | undefined;
	/** The highest version heard of. */
	readonly heardVersion: () => number;
	/** The version in force may be served by. Stays true once it is. */
	readonly isReady: (nowMs: number) => boolean;
};

export type ConfigVersionsOptions = {
	readonly dataCentre: string;
	readonly startedMs: number;
};
