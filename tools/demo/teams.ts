/** The sixteen teams of the demo: three large, five medium and eight small ones. */

export type DemoTeam = {
	readonly name: string;
	readonly token: string;
	readonly weight: number;
	/** Mean number of new requests per second. */
	readonly ratePerS: number;
	/** Index of the first router that the team sends to, and the number of routers. */
	readonly routers: readonly [first: number, count: number];
};

/** Name, weight, requests per second, and the first router with the number of routers. */
const TEAMS = [
	['courier-island', 4, 16, [0, 7]],
	['courier-express', 4, 16, [2, 5]],
	['exporters', 4, 12, [0, 4]],
	['merchants-web', 2, 6, [0, 7]],
	['merchants-app', 2, 5, [4, 3]],
	['shipping-north', 2, 4, [0, 2]],
	['shipping-south', 2, 4, [2, 2]],
	['shipping-hills', 2, 3, [4, 3]],
	['counter-galle', 1, 1.5, [0, 1]],
	['counter-kandy', 1, 1.5, [1, 1]],
	['counter-jaffna', 1, 1.5, [2, 1]],
	['counter-matara', 1, 1, [3, 1]],
	['agents-west', 1, 1, [4, 1]],
	['agents-east', 1, 1, [5, 1]],
	['agents-hills', 1, 0.7, [6, 1]],
	['refunds', 1, 0.5, [0, 7]],
] as const;

export const demoTeams: readonly DemoTeam[] = TEAMS.map(([name, weight, ratePerS, routers]) => ({
	name, weight, ratePerS, routers, token: `token-of-${name}`,
}));
