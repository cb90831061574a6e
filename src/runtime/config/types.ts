/** The configuration in force, for other tasks. */
import {type ConfigDocument} from '../../core/config/types.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {type Accepted, type Proposal} from './propose-config.js';

export type ConfigTask = {
	/** The version in force, if any has been received. */
	readonly current: () => FleetConfig | undefined;
	/** The highest document held, also when this release cannot read it. */
	readonly latest: () => ConfigDocument | undefined;
	/** The highest version heard of from any peer. */
	readonly heardVersion: () => number;
	/** False until a starting VM has a version not older than what its peers have seen. */
	readonly isReady: () => boolean;
	/** Called with each version that comes into force. */
	readonly onChange: (listener: (config: FleetConfig) => void) => void;
	/** Writes a new version; see `proposeConfig` for what it throws. */
	readonly propose: (proposal: Proposal) => Promise<Accepted>;
	readonly stop: () => void;
};
