/** Interface of the configuration task for other tasks. */
import {type ConfigDocument} from '../../core/config/types.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {type Accepted, type Proposal} from './propose-config.js';

export type ConfigTask = {
	/** Returns the active configuration, if any has been received. */
	readonly current: () => FleetConfig | undefined;
	/** Returns the document with the highest version received, even if this release cannot parse it. */
	readonly latest: () => ConfigDocument | undefined;
	/** Returns the highest version that any peer has reported. */
	readonly heardVersion: () => number;
	/** Whether this VM has had, since its start, an active configuration and a document at least as new as the versions that its peers reported. Once true, it stays true. */
	readonly isReady: () => boolean;
	/** Adds a listener that is called with each configuration that becomes active. */
	readonly onChange: (listener: (config: FleetConfig) => void) => void;
	/** Writes a new version; see `proposeConfig` for its errors. */
	readonly propose: (proposal: Proposal) => Promise<Accepted>;
	readonly stop: () => void;
};
