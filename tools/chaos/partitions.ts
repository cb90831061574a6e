/** Partitions data centres from the rest of the fleet; several partitions may overlap. */
import {type Fleet} from '../fleet/fleet.js';

/** Lists the links of a data centre to the other data centres and to the platform. */
const linksOf = (fleet: Fleet, dataCentre: string): readonly string[] => {
	const inside = fleet.routersIn(dataCentre);
	const outside = fleet.routers.map(({id}) => id).filter(id => !inside.includes(id));
	return [...fleet.linksBetween(inside, outside), ...fleet.platformLinks(inside)];
};

export class Partitions {
	readonly #fleet: Fleet;
	readonly #partitioned = new Set<string>();

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	/** Cuts all links of a data centre to the other data centres and to the platform. */
	async partition(dataCentre: string): Promise<void> {
		this.#partitioned.add(dataCentre);
		await this.#fleet.setLinkFaults(linksOf(this.#fleet, dataCentre), {cut: true});
	}

	/** Restores the links of a data centre, except those to a data centre that is still partitioned. */
	async restore(dataCentre: string): Promise<void> {
		this.#partitioned.delete(dataCentre);
		const stillPartitioned = new Set([...this.#partitioned].flatMap(other => linksOf(this.#fleet, other)));
		await this.#fleet.setLinkFaults(linksOf(this.#fleet, dataCentre).filter(link => !stillPartitioned.has(link)));
	}
}
