/** Finds the route of a request: the one for its host that has the longest matching path prefix. */
import {type Route, type WeightedService} from './types.js';

export type RouteTable = {
	/**
	 * Returns the route of a request, or undefined.
	 *
	 * @param host - Host as the caller sent it, with or without a port.
	 * @param path - Path with or without a query.
	 */
	readonly routeOf: (host: string, path: string) => Route | undefined;
};

const hostName = (host: string): string => host.replace(/:\d+$/v, '').toLowerCase();

/** Returns every prefix of a path that ends with a slash, the longest first. */
const prefixesOf = (path: string): readonly string[] => {
	const pathname = path.split('?', 1)[0] ?? '';
	const prefixes: string[] = [];
	for (let end = pathname.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : pathname.lastIndexOf('/', end - 1)) {
		prefixes.push(pathname.slice(0, end + 1));
	}

	return prefixes;
};

/** Builds the look-up tables for one version of the routes. */
export const createRouteTable = (routes: readonly Route[]): RouteTable => {
	const byHost = new Map<string, Map<string, Route>>();
	for (const route of routes) {
		const byPrefix = byHost.get(route.host) ?? new Map<string, Route>();
		byPrefix.set(route.pathPrefix, route);
		byHost.set(route.host, byPrefix);
	}

	return {
		routeOf(host, path) {
			const byPrefix = byHost.get(hostName(host));
			const prefix = byPrefix && prefixesOf(path).find(candidate => byPrefix.has(candidate));
			return prefix === undefined ? undefined : byPrefix?.get(prefix);
		},
	};
};

/**
 * Chooses the service of one request at random by weight.
 *
 * @param random - Returns a number that is uniform in [0, 1).
 */
export const chooseService = (services: readonly WeightedService[], random: () => number): string | undefined => {
	const total = services.reduce((sum, {weight}) => sum + weight, 0);
	let remainingWeight = random() * total;
	for (const {service, weight} of services) {
		remainingWeight -= weight;
		if (remainingWeight < 0) {
			return service;
		}
	}

	return services.at(-1)?.service;
};
