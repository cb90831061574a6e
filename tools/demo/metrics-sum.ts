/** Sums of a metric over the routers of a fleet. */
import {type Fleet} from '../fleet/fleet.js';

/** Returns the sum of the samples on a metrics page whose lines start with `metric`: a name, or a name with labels. */
export const sumOnPage = (page: string, metric: string): number => page.split('\n')
	.filter(line => line.startsWith(metric))
	.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' '))), 0);

/** Returns the sum of a metric over all routers that respond. */
export const sumOverRouters = async (fleet: Fleet, metric: string): Promise<number> => {
	const pages = await Promise.all(fleet.routers.map(async ({id}) => fleet.metrics(id)));
	return pages.reduce((sum, page) => sum + sumOnPage(page ?? '', metric), 0);
};
