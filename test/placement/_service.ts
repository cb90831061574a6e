/** Builders of services, targets, requests and their placement. */
import {type PlacementInput, type Prompt} from '../../src/core/dispatch/types.js';
import {type PlacementEffect} from '../../src/core/placement/messages.js';
import {FleetLoads} from '../../src/core/placement/fleet-loads.js';
import {ServicePlacement} from '../../src/core/placement/service-placement.js';
import {type FleetBounds, type PlacementRequest} from '../../src/core/placement/types.js';
import {type RoutedService, type TargetRecord} from '../../src/core/routing/types.js';

export const bounds: FleetBounds = {
	coldFactor: 1.5, coldSlack: 5, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 54, heartbeatMs: 1200,
};

export const modelService: RoutedService = {
	name: 'tariff', healthPath: '/healthz', maxConnections: 360, coldStartMs: 3000, coldPerS: 10, engine: {slots: 64, kvCapacityTokens: 400_000, canCopyPrompts: true}, tokensPerS: undefined,
};

export const plainService: RoutedService = {
	name: 'ledger', healthPath: '/healthz', maxConnections: 100, coldStartMs: 0, coldPerS: 0, engine: undefined, tokensPerS: undefined,
};

export const target = (id: string, changes: Partial<TargetRecord> = {}): TargetRecord => ({
	id, service: 'tariff', address: `10.0.0.${id.length}:80`, dataCentre: 'dc-a', slots: 64, isDraining: false, coldRemainingMs: 0, sequence: 1, bornMs: 1, ...changes,
});

export const prompt = (subject: string, tokens: number): Prompt => ({
	model: 'm', parts: [{id: 'common', tokens: 500}, {id: subject, tokens: 4000}, {id: `own-${subject}`, tokens: tokens - 4500}], tokens, outputTokens: 300,
});

let requests = 0;

export const createRequest = (team: string, arrivedMs: number, changes: Partial<PlacementInput> = {}): PlacementRequest => {
	requests++;
	return {
		requestId: `r${requests}`, team, service: 'tariff', estimatedCost: 1, deadlineMs: arrivedMs + 10_000, arrivedMs, targetLatencyMs: 1000, tried: [], isResumed: false, ...changes,
	};
};

export type Setup = {
	readonly vm?: string;
	readonly vms?: readonly string[];
	readonly service?: RoutedService;
	readonly fleet?: FleetLoads;
	readonly random?: () => number;
	readonly isVmOverloaded?: () => boolean;
};

export const createPlacement = ({vm = 'vm-1', vms = ['vm-1'], service = modelService, fleet = new FleetLoads(), random = () => 0.5, isVmOverloaded = () => false}: Setup = {}): ServicePlacement => {
	let grants = 0;
	return new ServicePlacement({
		service, bounds, vm, vms: () => vms, dataCentre: 'dc-a', fleet, random, isVmOverloaded,
		createGrantId() {
			grants++;
			return `${vm}-${grants}`;
		},
	});
};

/** Returns the target to which a request is sent or at which it is to be reserved, or the reason of its rejection. */
export const outcomeOf = (effect: PlacementEffect): string => {
	switch (effect.kind) {
		case 'grant': {
			return effect.target.id;
		}

		case 'reject': {
			return effect.reason;
		}

		case 'tell-peer': {
			return effect.message.kind === 'request' ? effect.message.wish.target : effect.message.kind;
		}
	}
};
