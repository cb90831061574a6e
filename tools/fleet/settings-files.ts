/** Builds and writes the settings files of the processes. */
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {stringify} from 'smol-toml';
import {controlAddress} from './wiring.js';
import {type FleetSpec, type RouterInfo} from './types.js';

type Fields = Readonly<Record<string, unknown>>;

const fieldsOf = (value: unknown): Fields => typeof value === 'object' && value !== null ? {...value} : {};

/** Writes a settings file and returns its path. */
export const writeSettings = async (folder: string, id: string, settings: Fields): Promise<string> => {
	const file = path.join(folder, `${id.replaceAll(/[^a-z\d\-]/gv, '_')}.toml`);
	await writeFile(file, stringify(settings));
	return file;
};

type RouterSettingsInput = {
	readonly spec: FleetSpec;
	readonly router: RouterInfo;
	readonly others: readonly RouterInfo[];
	/** Address at which this router reaches the platform. */
	readonly platform: string;
	/** Listen addresses of the fault proxy's links by link name. */
	readonly links: ReadonlyMap<string, string>;
};

/** Builds the settings of one router; the addresses and ids of the launcher have precedence over `spec.routerSettings`. */
export const routerSettings = ({spec, router, others, platform, links}: RouterSettingsInput): Fields => {
	const extra = spec.routerSettings ?? {};
	return {
		...extra,
		vm: {...fieldsOf(extra.vm), id: router.id, data_centre: router.dataCentre},
		listen: {
			...fieldsOf(extra.listen), callers: router.callers, control: router.control, admin: router.admin,
		},
		platform: {...fieldsOf(extra.platform), address: platform},
		peers: {
			seeds: others.map(other => ({
				vm: other.id, data_centre: other.dataCentre, control: controlAddress(router, other, links),
			})),
		},
	};
};
