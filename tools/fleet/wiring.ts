/** Names and upstream addresses of the fault proxy links between the processes. */
import {type LinkSettings} from '../../standins/proxy/settings.js';
import {type FleetSpec, type RouterInfo, type TargetInfo} from './types.js';

export const controlLink = (from: string, to: string): string => `${from}>${to}`;
export const platformLink = (router: string): string => `${router}>platform`;
export const targetLink = (target: string): string => `>${target}`;

type NewLink = Pick<LinkSettings, 'name' | 'upstream'>;

/** Returns the links from each router to every other one. */
export const controlLinks = (routers: readonly RouterInfo[]): readonly NewLink[] => routers.flatMap(from =>
	routers.filter(to => to !== from).map(to => ({name: controlLink(from.id, to.id), upstream: to.control})));

/** Returns one link per target, which all routers share. */
export const targetLinks = (targets: ReadonlyArray<Pick<TargetInfo, 'id' | 'address'>>): readonly NewLink[] =>
	targets.map(({id, address}) => ({name: targetLink(id), upstream: address}));

/** Whether the description of the fleet asks for proxy links. */
export const needsProxy = ({proxies}: FleetSpec): boolean => Boolean(proxies?.control ?? proxies?.platform ?? proxies?.targets);

/** Returns the control address at which `from` reaches `to`: that of the proxy link, if there is one. */
export const controlAddress = (from: RouterInfo, to: RouterInfo, links: ReadonlyMap<string, string>): string =>
	links.get(controlLink(from.id, to.id)) ?? to.control;
