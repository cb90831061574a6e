/** Chooses the router for a team's next request as a load balancer does: round robin over the routers that are up. */

/** Time in milliseconds for which a router is skipped after it refused a connection. */
const DOWN_MS = 1000;

export class RouterChoice {
	readonly #own: readonly string[];
	readonly #all: readonly string[];
	readonly #downUntilMs = new Map<string, number>();
	#position: number;

	/** `own` are the team's routers; `all` are used when all of these are down. */
	constructor(own: readonly string[], all: readonly string[], firstPosition: number) {
		this.#own = own;
		this.#all = all;
		this.#position = firstPosition;
	}

	next(nowMs: number): string {
		const isUp = (router: string): boolean => (this.#downUntilMs.get(router) ?? 0) <= nowMs;
		const choices = [this.#own, this.#all].map(routers => routers.filter(router => isUp(router)));
		const routers = choices.find(({length}) => length > 0) ?? this.#all;
		this.#position += 1;
		return routers[this.#position % routers.length] ?? '';
	}

	markDown(router: string, nowMs: number): void {
		this.#downUntilMs.set(router, nowMs + DOWN_MS);
	}
}
