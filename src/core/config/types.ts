/** The versions of the fleet configuration that one VM knows. */
import {type FleetConfig} from './fleet-config.js';

export type ConfigMessage =
	/** The versions that a peer has sent, in a notice or a heartbeat. */
	| {
		readonly kind: 'notice';
		readonly from: string;
		readonly dataCentre: string;
		readonly version: number;
		readonly heardVersion: number;
		/** The document as JSON; empty when the notice carries none. */
		readonly document: string;
		/** Whether the peer asks for this VM's document. */
		readonly isFetch: boolean;
	}
	/** A document read from the platform, or written to it by this VM. */
	| {readonly kind: 'document'; readonly document: string}
	/** An older document, for a VM that holds no valid one because it cannot read the newest version. */
	| {readonly kind: 'older'; readonly document: string}
	| {readonly kind: 'down'; readonly vm: string}
	/** VMs that have to send their versions before the first document is treated as current. */
	| {readonly kind: 'peers'; readonly vms: readonly string[]; readonly isReader: boolean}
	| {readonly kind: 'tick'};

export type ConfigEffect =
	/** Asks the VM for its document. */
	| {readonly kind: 'fetch'; readonly vm: string}
	/** Sends the document to a VM that asked for it. */
	| {readonly kind: 'reply'; readonly vm: string}
	/** Sends the new version to all linked peers. */
	| {readonly kind: 'announce'}
	| {readonly kind: 'applied'; readonly config: FleetConfig}
	| {readonly kind: 'rejected'; readonly version: number; readonly fault: string};

export type ConfigDocument = {readonly version: number; readonly document: string};

export type ConfigVersions = {
	readonly handle: (message: ConfigMessage, nowMs: number) => readonly ConfigEffect[];
	/** Returns the active version, which is the highest valid one that the VM holds. */
	readonly current: () => FleetConfig | undefined;
	/** Returns the document of the highest version that the VM holds, even if this release cannot read it. */
	readonly latest: () => ConfigDocument | undefined;
	/** Returns the highest version that the VM holds or that a peer has sent or reported. */
	readonly heardVersion: () => number;
	/** Whether requests may be served by the active version. Stays true once it has been true. */
	readonly isReady: (nowMs: number) => boolean;
};

export type ConfigVersionsOptions = {
	readonly dataCentre: string;
	readonly startedMs: number;
};
