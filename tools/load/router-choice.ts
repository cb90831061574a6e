/** Chooses a team's next router as a balancer does: in turn, without those that are down. */

/** Time for which a router that refused a connection is passed over. */
const DOWN_MS = 1000;

export class RouterChoice {
	readonly #own: readonly string[];
	readonly #all: readonly string[];
	readonly #downUntilMs = new Map<string, number>();
	#position: number;

	/** `own` are the team's routers, `all` those to turn to when its own are down. */
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
