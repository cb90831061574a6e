/** Starts the processes of a fleet in the order of their dependencies. */
import {setTimeout as delay} from 'node:timers/promises';
import {getText, postJson} from './call.js';
import {initialConfig} from './config-document.js';
import {Fleet} from './fleet.js';
import {freeAddresses} from './free-ports.js';
import {createLauncher, type Launcher} from './launcher.js';
import {FleetPlatform} from './platform-client.js';
import {type FleetSpec, type RouterInfo, type TargetInfo} from './types.js';
import {
	controlAddress, controlLinks, needsProxy, platformLink, targetLink, targetLinks,
} from './wiring.js';
import {parseProxyLinks} from './proxy-links.js';

const READY_TIMEOUT_MS = 20_000;
const ADDRESSES_PER_ROUTER = 3;
const VM_LIST_POLL_MS = 50;

const assignRouterAddresses = async (spec: FleetSpec): Promise<readonly RouterInfo[]> => {
	const ids = spec.dataCentres.flatMap(({name, routers}) =>
		Array.from({length: routers}, (_, index) => ({id: `${name}-vm-${index + 1}`, dataCentre: name})));
	const addresses = await freeAddresses(ids.length * ADDRESSES_PER_ROUTER);
	return ids.map((router, index) => {
		const [callers = '', control = '', admin = ''] = addresses.slice(index * ADDRESSES_PER_ROUTER);
		return {
			...router, callers, control, admin,
		};
	});
};

const startTargets = async (spec: FleetSpec, launcher: Launcher, timeoutMs: number): Promise<readonly TargetInfo[]> => {
	const wanted = spec.dataCentres.flatMap(({name, targets}) => targets.flatMap(({service, count, settings, contract}) =>
		Array.from({length: count}, (_, index) => ({
			id: `${service}-${name}-${index + 1}`, service, dataCentre: name, settings: settings ?? {}, contract: contract ?? {},
		}))));
	return Promise.all(wanted.map(async ({settings, ...target}) => {
		const standin = spec.services.find(({name}) => name === target.service)?.standin ?? 'engine';
		const member = await launcher.start(target.id, standin, settings);
		const {listening} = await member.listening(timeoutMs);
		return {...target, address: listening, via: listening};
	}));
};

const startPlatform = async (spec: FleetSpec, launcher: Launcher, timeoutMs: number): Promise<FleetPlatform> => {
	const member = await launcher.start('platform', 'platform', spec.platform ?? {});
	const {listening} = await member.listening(timeoutMs);
	return new FleetPlatform(listening);
};

/** Starts the fault proxy, still without links; returns the address of its control interface. */
const startProxy = async (launcher: Launcher, timeoutMs: number): Promise<string> => {
	const member = await launcher.start('proxy', 'proxy', {});
	const {listening} = await member.listening(timeoutMs);
	return listening;
};

const addLinks = async (proxy: string, add: ReadonlyArray<{readonly name: string; readonly upstream: string}>): Promise<ReadonlyMap<string, string>> =>
	parseProxyLinks(await postJson(`http://${proxy}/control`, {add}));

/** The fault proxy and the processes between which it gets links. */
type ProxiedProcesses = {
	readonly proxy: string;
	readonly routers: readonly RouterInfo[];
	readonly targets: readonly TargetInfo[];
	readonly platform: FleetPlatform;
};

type Wiring = {
	readonly links: ReadonlyMap<string, string>;
	/** Address at which each router reaches the platform, by router id. */
	readonly platforms: ReadonlyMap<string, string>;
};

/** Adds the proxy links that `spec.proxies` asks for, and a view of the VM list for each router. */
const addProxyLinks = async (spec: FleetSpec, {proxy, routers, targets, platform}: ProxiedProcesses): Promise<Wiring> => {
	const first = await addLinks(proxy, [
		...(spec.proxies?.control ? controlLinks(routers) : []),
		...(spec.proxies?.targets ? targetLinks(targets) : []),
	]);
	const views = await platform.addViews(routers.map(router => ({
		name: router.id,
		controls: routers.filter(({id}) => id !== router.id).map(other => ({vm: other.id, control: controlAddress(router, other, first)})),
	})));
	if (!spec.proxies?.platform) {
		return {links: first, platforms: views};
	}

	const links = await addLinks(proxy, [...views].map(([id, address]) => ({name: platformLink(id), upstream: address})));
	return {links, platforms: new Map(routers.map(({id}) => [id, links.get(platformLink(id)) ?? '']))};
};

/** Waits until the platform's VM list, which lags behind changes, shows all VMs, or until the timeout. */
const vmsListed = async (platform: FleetPlatform, count: number, timeoutMs: number): Promise<void> => {
	const deadline = AbortSignal.timeout(timeoutMs);
	while (!deadline.aborted) {
		const text = await getText(`http://${platform.address}/vms`) ?? ''; // eslint-disable-line no-await-in-loop
		if (text.split('"id"').length > count) {
			return;
		}

		await delay(VM_LIST_POLL_MS); // eslint-disable-line no-await-in-loop
	}
};

const startAll = async (spec: FleetSpec, launcher: Launcher): Promise<Fleet> => {
	const timeoutMs = spec.readyTimeoutMs ?? READY_TIMEOUT_MS;
	const routers = await assignRouterAddresses(spec);
	const [platform, directTargets] = await Promise.all([startPlatform(spec, launcher, timeoutMs), startTargets(spec, launcher, timeoutMs)]);
	const proxy = needsProxy(spec) ? await startProxy(launcher, timeoutMs) : undefined;
	const wiring = proxy === undefined
		? undefined
		: await addProxyLinks(spec, {
			proxy, routers, targets: directTargets, platform,
		});
	const links = wiring?.links ?? new Map<string, string>();
	const targets = directTargets.map(target => ({...target, via: links.get(targetLink(target.id)) ?? target.address}));
	await platform.seed(initialConfig(spec, targets));
	await platform.putVms(routers);
	await vmsListed(platform, routers.length, timeoutMs);
	const fleet = new Fleet({
		spec, launcher, platform, routers, targets, links, proxy, timeoutMs, platforms: wiring?.platforms ?? new Map<string, string>(),
	});
	await Promise.all(routers.map(async ({id}) => fleet.startRouter(id)));
	return fleet;
};

/** Starts a fleet; resolves when every router is ready. On failure it stops all processes and removes the folder. */
export const startFleet = async (spec: FleetSpec): Promise<Fleet> => {
	const launcher = await createLauncher();
	try {
		return await startAll(spec, launcher);
	} catch (error) {
		await launcher.close();
		throw error;
	}
};
