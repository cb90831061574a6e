/** Client of the platform stand-in: writes configuration versions and the VM list. */
import {randomUUID} from 'node:crypto';
import * as z from 'zod';
import {fleetConfigSchema, type FleetConfig} from '../../src/core/config/fleet-config.js';
import {getText, postJson} from './call.js';
import {type ConfigChange, type RouterInfo} from './types.js';

/** Digits of a version in its row key, so that keys sort by version. */
const VERSION_DIGITS = 10;
const OPERATOR = 'launcher';

const rowSchema = z.object({value: fleetConfigSchema, revision: z.number()});
const viewsSchema = z.object({views: z.array(z.object({name: z.string(), address: z.string()}))});

const versionKey = (version: number): string => `version/${String(version).padStart(VERSION_DIGITS, '0')}`;

export class FleetPlatform {
	/** The platform's own address, not that of a proxy link. */
	readonly address: string;

	constructor(address: string) {
		this.address = address;
	}

	async control(body: unknown): Promise<unknown> {
		return postJson(`http://${this.address}/control`, body);
	}

	/** Writes the first version of the configuration. */
	async seed(document: FleetConfig): Promise<void> {
		await this.#write(document, null);
	}

	/** Writes a changed configuration as the next version and returns its number. */
	async change(change: ConfigChange): Promise<number> {
		const text = await getText(`http://${this.address}/tables/config/rows/current`);
		const {value, revision} = rowSchema.parse(JSON.parse(text ?? 'null'));
		const version = value.version + 1;
		await this.#write(fleetConfigSchema.parse({...change(value), version}), revision);
		return version;
	}

	async putVms(routers: readonly RouterInfo[], state: 'live' | 'leaving' = 'live'): Promise<void> {
		await this.control({
			put_vms: routers.map(({id, dataCentre, control, admin}) => ({
				id, data_centre: dataCentre, control, admin, state, started_ms: Date.now(),
			})),
		});
	}

	async removeVm(id: string): Promise<void> {
		await this.control({remove_vms: [id]});
	}

	/** Creates a view of the VM list for each router, with the control addresses at which it reaches the others; returns the address of each view by router id. */
	async addViews(views: ReadonlyArray<{readonly name: string; readonly controls: ReadonlyArray<{readonly vm: string; readonly control: string}>}>): Promise<ReadonlyMap<string, string>> {
		const response = viewsSchema.parse(await this.control({add_views: views}));
		return new Map(response.views.map(({name, address}) => [name, address]));
	}

	async #write(document: FleetConfig, expectRevision: unknown): Promise<void> {
		const operationId = randomUUID();
		await postJson(`http://${this.address}/tables/config/transactions`, {
			operation_id: operationId,
			operations: [
				{key: versionKey(document.version), expect_revision: null, value: {operation_id: operationId, operator: OPERATOR, document}},
				{key: 'current', expect_revision: expectRevision, value: document},
			],
		});
	}
}
