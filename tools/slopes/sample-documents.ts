/** Generates configuration documents of given sizes for the trials. */

export type DocumentSizes = {
	readonly targets: number;
	readonly teams: number;
	readonly services: number;
	readonly dataCentres: number;
	readonly version?: number;
};

const TOKEN_HASH = 'ab'.repeat(32);

const entries = <Value>(count: number, prefix: string, create: (index: number) => Value): Readonly<Record<string, Value>> =>
	Object.fromEntries(Array.from({length: count}, (_, index) => [`${prefix}-${index}`, create(index)]));

/** Generates a document whose targets are spread evenly over services and data centres. */
export const sampleDocument = ({targets, teams, services, dataCentres, version = 1}: DocumentSizes): Readonly<Record<string, unknown>> => ({
	version,
	teams: entries(teams, 'team', () => ({weight: 1, tokenHashes: [TOKEN_HASH]})),
	services: entries(services, 'model', () => ({kind: 'model'})),
	dataCentres: entries(dataCentres, 'dc', () => ({state: 'in'})),
	targets: entries(targets, 'worker', index => ({
		service: `model-${index % services}`,
		dataCentre: `dc-${Math.floor(index / services) % dataCentres}`,
		address: `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:8000`,
	})),
});
