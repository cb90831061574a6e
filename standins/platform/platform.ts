/** Stand-in of the platform: table service, object store and list of VMs. */
import {type ServerResponse} from 'node:http';
import * as z from 'zod';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {camelKeys} from '../../src/core/settings/camel-keys.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {StandinBodyInvalid} from '../shared/errors-data.js';
import {
	readBody, readJson, sendJson, startHttpService,
} from '../shared/http-service.js';
import {type HttpRequest, type Route, type Standin} from '../shared/types.js';
import {CallGate} from './call-gate.js';
import {platformControlSchema, type PlatformSettings, type View} from './settings.js';
import {Table, transactionSchema} from './table.js';
import {VmList} from './vm-list.js';

const MAX_LIST = 10_000;
const ANY_PORT = 0;

const parseBody = <Schema extends z.ZodType>(schema: Schema, json: unknown): z.output<Schema> => {
	const result = schema.safeParse(json);
	if (!result.success) {
		throw new JackdawwoodError(StandinBodyInvalid, {fault: z.prettifyError(result.error)});
	}

	return result.data;
};

/** Returns the key after `/tables/TABLE/rows/` or `/objects/`; keys may contain slashes, plain or encoded. */
const keyOf = (req: HttpRequest): string => decodeURIComponent(req.path.replace(/^\/(?:tables\/[^\/]+\/rows|objects)\//v, ''));

class Platform {
	readonly #tables = new Map<string, Table>();
	readonly #objects = new Map<string, Uint8Array>();
	readonly #vms: VmList;
	readonly #gate: CallGate;
	readonly #services: Standin[] = [];

	constructor(private readonly cfg: PlatformSettings) {
		this.#vms = new VmList(cfg.vmLagMs);
		this.#gate = new CallGate(cfg, monotonicClock);
	}

	async start(): Promise<Standin> {
		const address = await this.#listen(this.cfg.port);
		return {
			address,
			close: async () => {
				await Promise.all(this.#services.map(async service => service.close()));
			},
		};
	}

	async #listen(port: number, view?: View): Promise<string> {
		const service = await startHttpService(port, this.#routes(view));
		this.#services.push(service);
		return service.address;
	}

	#routes(view?: View): readonly Route[] {
		const gate = this.#gate;
		return [
			['GET', '/tables/:table/rows', gate.wrap('list', 'read', (req, res) => {
				this.#list(req, res);
			})],
			['GET', '/tables/:table/rows/*', gate.wrap('get', 'read', (req, res) => {
				this.#get(req, res);
			})],
			['POST', '/tables/:table/transactions', gate.wrap('transaction', 'write', async (req, res) => this.#transact(req, res))],
			['PUT', '/objects/*', gate.wrap('put_object', 'write', async (req, res) => this.#putObject(req, res))],
			['GET', '/objects/*', gate.wrap('get_object', 'read', (req, res) => {
				this.#getObject(req, res);
			})],
			['GET', '/vms', gate.wrap('vms', 'read', (_, res) => {
				this.#listVms(res, view);
			})],
			['POST', '/control', async (req, res) => this.#control(req, res)],
			['GET', '/record', (_, res) => {
				sendJson(res, 200, {calls: gate.calls});
			}],
		];
	}

	#table(req: HttpRequest): Table {
		const name = req.params.table ?? '';
		const table = this.#tables.get(name) ?? new Table();
		this.#tables.set(name, table);
		return table;
	}

	#list(req: HttpRequest, res: ServerResponse): void {
		const limit = Number(req.query.limit ?? MAX_LIST);
		sendJson(res, 200, {rows: this.#table(req).list(String(req.query.prefix ?? ''), limit)});
	}

	#get(req: HttpRequest, res: ServerResponse): void {
		const row = this.#table(req).get(keyOf(req));
		sendJson(res, row ? 200 : 404, row ?? {error: {name: 'RowAbsent'}});
	}

	async #transact(req: HttpRequest, res: ServerResponse): Promise<void> {
		const transaction = parseBody(transactionSchema, await readJson(req));
		const result = this.#table(req).transact(transaction);
		this.#gate.sendWriteResult(res, 'rows' in result ? 200 : 409, result);
	}

	async #putObject(req: HttpRequest, res: ServerResponse): Promise<void> {
		this.#objects.set(keyOf(req), await readBody(req));
		this.#gate.sendWriteResult(res, 200, {});
	}

	#getObject(req: HttpRequest, res: ServerResponse): void {
		const body = this.#objects.get(keyOf(req));
		if (!body) {
			sendJson(res, 404, {error: {name: 'ObjectAbsent'}});
			return;
		}

		res.writeHead(200, {'content-type': 'application/octet-stream'});
		res.end(body);
	}

	#listVms(res: ServerResponse, view?: View): void {
		const shown = this.#vms.shown(monotonicClock.nowMs());
		sendJson(res, 200, {
			vms: shown.map(({id, dataCentre, control, admin, state, startedMs}) => ({
				id,
				data_centre: dataCentre,
				control: view?.controls.find(({vm}) => vm === id)?.control ?? control,
				admin,
				state,
				started_ms: startedMs,
			})),
		});
	}

	async #control(req: HttpRequest, res: ServerResponse): Promise<void> {
		const control = parseBody(platformControlSchema, camelKeys(await readJson(req)));
		this.#gate.control(control);
		if (control.putVms ?? control.removeVms) {
			this.#vms.change(control.putVms ?? [], control.removeVms ?? [], monotonicClock.nowMs());
		}

		const views = await Promise.all((control.addViews ?? []).map(async view => ({
			name: view.name, address: await this.#listen(ANY_PORT, view),
		})));
		sendJson(res, 200, {views});
	}
}

/** Starts the platform stand-in on loopback. */
export const startPlatform = async (cfg: PlatformSettings): Promise<Standin> => new Platform(cfg).start();
