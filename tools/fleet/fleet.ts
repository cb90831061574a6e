/** A running fleet: its processes, fault injection and configuration changes. */
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {getText, postJson} from './call.js';
import {UnknownMember} from './errors-data.js';
import {type Launcher} from './launcher.js';
import {type MemberProcess} from './member-process.js';
import {type FleetPlatform} from './platform-client.js';
import {routerSettings} from './settings-files.js';
import {
	type ConfigChange, type FleetSpec, type RouterInfo, type TargetInfo,
} from './types.js';
import {controlLink, platformLink} from './wiring.js';

type Fields = Readonly<Record<string, unknown>>;

export type FleetParts = {
	readonly spec: FleetSpec;
	readonly launcher: Launcher;
	readonly platform: FleetPlatform;
	readonly routers: readonly RouterInfo[];
	readonly targets: readonly TargetInfo[];
	/** Listen addresses of the fault proxy's links by link name. */
	readonly links: ReadonlyMap<string, string>;
	/** Address of the fault proxy's control interface; undefined if the fleet has no proxy. */
	readonly proxy: string | undefined;
	/** Address at which a router reaches the platform, by router id; a router without an entry uses the platform's own address. */
	readonly platforms: ReadonlyMap<string, string>;
	readonly timeoutMs: number;
};

export class Fleet {
	readonly routers: readonly RouterInfo[];
	readonly targets: readonly TargetInfo[];
	readonly platform: FleetPlatform;
	readonly #parts: FleetParts;

	constructor(parts: FleetParts) {
		this.#parts = parts;
		this.routers = parts.routers;
		this.targets = parts.targets;
		this.platform = parts.platform;
	}

	/** Folder of the settings and log files. */
	get folder(): string {
		return this.#parts.launcher.folder;
	}

	router(id: string): RouterInfo {
		const router = this.routers.find(item => item.id === id);
		if (!router) {
			throw new JackdawwoodError(UnknownMember, {id});
		}

		return router;
	}

	/** Returns the process of a router or target by its id, or that of `platform` or `proxy`. */
	process(id: string): MemberProcess {
		const member = this.#parts.launcher.get(id);
		if (!member) {
			throw new JackdawwoodError(UnknownMember, {id});
		}

		return member;
	}

	/** Starts a router without state from an earlier process, at the addresses of its `RouterInfo`; resolves when it is ready. */
	async startRouter(id: string): Promise<void> {
		const {spec, launcher, platforms, links, timeoutMs} = this.#parts;
		const router = this.router(id);
		const others = this.routers.filter(other => other !== router);
		const settings = routerSettings({
			spec, router, others, links, platform: platforms.get(id) ?? this.platform.address,
		});
		const member = await launcher.start(id, 'router', settings);
		await member.ready(async () => await getText(`http://${router.admin}/readyz`) !== undefined, timeoutMs);
	}

	/** Kills a process (SIGKILL); resolves when it has exited. */
	async kill(id: string): Promise<void> {
		this.process(id).signal('SIGKILL');
		await this.process(id).ended();
	}

	/** Stops a router as planned: lists it as leaving, sends SIGTERM, and removes it from the platform's VM list when it has exited. Returns its exit code. */
	async stop(id: string, timeoutMs?: number): Promise<number | undefined> {
		await this.platform.putVms([this.router(id)], 'leaving');
		const code = await this.process(id).stop(timeoutMs);
		await this.platform.removeVm(id);
		return code;
	}

	/** Kills a router if it still runs, and starts it again without its state at the same addresses. */
	async restart(id: string): Promise<void> {
		await this.kill(id);
		await this.platform.putVms([this.router(id)]);
		await this.startRouter(id);
	}

	/** Pauses a process (SIGSTOP). */
	pause(id: string): void {
		this.process(id).signal('SIGSTOP');
	}

	resume(id: string): void {
		this.process(id).signal('SIGCONT');
	}

	/** Injects faults at a target through its `/control` interface. */
	async targetControl(id: string, body: Fields): Promise<void> {
		const target = this.targets.find(item => item.id === id);
		if (!target) {
			throw new JackdawwoodError(UnknownMember, {id});
		}

		await postJson(`http://${target.address}/control`, body);
	}

	/** Injects faults at the platform through its `/control` interface. */
	async platformControl(body: Fields): Promise<void> {
		await this.platform.control(body);
	}

	/** Sets the faults of the named links of the proxy; an empty object clears them. */
	async setLinkFaults(names: readonly string[], faults: Fields = {}): Promise<void> {
		await postJson(`http://${this.#parts.proxy ?? ''}/control`, {names, faults});
	}

	/** Returns the names of the links between two groups of routers, in both directions. */
	linksBetween(left: readonly string[], right: readonly string[]): readonly string[] {
		return left.flatMap(from => right.flatMap(to => [controlLink(from, to), controlLink(to, from)]));
	}

	/** Returns the names of the links from these routers to the platform. */
	platformLinks(ids: readonly string[]): readonly string[] {
		return ids.map(id => platformLink(id));
	}

	/** Returns the ids of the routers of a data centre. */
	routersIn(dataCentre: string): readonly string[] {
		return this.routers.filter(router => router.dataCentre === dataCentre).map(({id}) => id);
	}

	/** Writes the next version of the configuration and returns its number. */
	async changeConfig(change: ConfigChange): Promise<number> {
		return this.platform.change(change);
	}

	/** Takes a data centre out of service or brings it back; returns the new configuration version. */
	async setDataCentre(name: string, state: 'in' | 'out'): Promise<number> {
		return this.changeConfig(document => ({
			...document,
			dataCentres: {...document.dataCentres, [name]: {...document.dataCentres[name], state}},
		}));
	}

	/** Returns the metrics page of a router; undefined if the router does not respond. */
	async metrics(id: string): Promise<string | undefined> {
		return getText(`http://${this.router(id).admin}/metrics`);
	}

	/** Stops all processes, and removes the folder unless `keepFolder` is set. */
	async close(options: {readonly keepFolder?: boolean} = {}): Promise<void> {
		await this.#parts.launcher.close(options.keepFolder);
	}
}
