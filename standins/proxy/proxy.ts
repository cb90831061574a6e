/** TCP proxy that injects faults into the links between processes. */
import {type ServerResponse} from 'node:http';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {camelKeys} from '../../src/core/settings/camel-keys.js';
import {StandinBodyInvalid} from '../shared/errors-data.js';
import {readJson, sendJson, startHttpService} from '../shared/http-service.js';
import {type HttpRequest, type Standin} from '../shared/types.js';
import {Link} from './link.js';
import {
	proxyControlSchema, type LinkSettings, type ProxyControl, type ProxySettings,
} from './settings.js';

class Proxy {
	readonly #links = new Map<string, Link>();

	async open(links: readonly LinkSettings[]): Promise<void> {
		for (const cfg of links) {
			this.close([cfg.name]);
			this.#links.set(cfg.name, new Link(cfg, monotonicClock));
		}

		await Promise.all(links.map(async ({name}) => this.#links.get(name)?.listen()));
	}

	close(names: Iterable<string> = this.#links.keys()): void {
		for (const name of names) {
			this.#links.get(name)?.close();
			this.#links.delete(name);
		}
	}

	async control(req: HttpRequest, res: ServerResponse): Promise<void> {
		const result = proxyControlSchema.safeParse(camelKeys(await readJson(req)));
		if (!result.success) {
			throw new JackdawwoodError(StandinBodyInvalid, {fault: result.error.message});
		}

		this.#apply(result.data);
		await this.open(result.data.add);
		sendJson(res, 200, {links: this.report()});
	}

	report(): ReadonlyArray<ReturnType<Link['report']>> {
		return [...this.#links.values()].map(link => link.report());
	}

	#apply({names, faults, upstream, remove}: ProxyControl): void {
		this.close(remove);
		const chosen = [...this.#links.values()].filter(({name}) => names?.includes(name) ?? true);
		for (const link of chosen) {
			if (faults) {
				link.setFaults(faults);
			}

			if (upstream !== undefined) {
				link.setUpstream(upstream);
			}
		}
	}
}

/** Starts a fault proxy. `address` is that of its administration interface. */
export const startProxy = async (cfg: ProxySettings): Promise<Standin> => {
	const proxy = new Proxy();
	await proxy.open(cfg.links);
	const admin = await startHttpService(cfg.adminPort, [
		['POST', '/control', async (req, res) => proxy.control(req, res)],
		['GET', '/links', (_, res) => {
			sendJson(res, 200, {links: proxy.report()});
		}],
	]);
	return {
		address: admin.address,
		details: Object.fromEntries(proxy.report().map(({name, address}) => [name, address])),
		async close() {
			proxy.close();
			await admin.close();
		},
	};
};
