/** Reads an earlier configuration version from the platform. */
import * as z from 'zod';
import {ConfigStoreUnavailable} from '../../core/config/config-errors-data.js';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {fleetConfigSchema, type FleetConfig} from '../../core/config/fleet-config.js';
import {CONFIG_TABLE, versionKey} from '../config/config-table.js';
import {type PlatformClient} from '../platform/types.js';

const rowSchema = z.looseObject({document: fleetConfigSchema});

/** Returns a stored configuration, or undefined if there is no such version. Throws `ConfigStoreUnavailable` when the platform does not return the row. */
export const readVersion = async (platform: Pick<PlatformClient, 'readRow'>, version: number): Promise<FleetConfig | undefined> => {
	const result = await platform.readRow(CONFIG_TABLE, versionKey(version));
	switch (result.kind) {
		case 'found': {
			return rowSchema.parse(result.value.value).document;
		}

		case 'absent': {
			return undefined;
		}

		case 'unavailable':
		case 'rate_limited': {
			throw new JackdawwoodError(ConfigStoreUnavailable, {reason: result.kind});
		}
	}
};
