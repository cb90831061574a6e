/** Generates the requests of a team from its settings and a random stream. */
import {type Random} from './random.js';
import {type LoadMix, type LoadTeam} from './settings.js';
import {type RequestPlan} from './types.js';

/** Cost units per prompt token; an output token costs 1. */
const PROMPT_TOKEN_COST = 0.1;
/** Number of prompt words that carry the nonce and the number of output tokens. */
const MARKER_WORDS = 2;
/** Number of accounts over which debits and reads are spread. */
const ACCOUNTS = 50;

const sampleMix = (team: LoadTeam, random: Random): LoadMix => {
	const total = team.mix.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random.uniform() * total;
	return team.mix.find(({weight}) => {
		remaining -= weight;
		return remaining < 0;
	}) ?? team.mix[0]!;
};

const sampleCost = ({cost}: LoadMix, random: Random): number => {
	const fraction = random.uniform();
	return cost.distribution === 'uniform'
		? cost.min + (fraction * (cost.max - cost.min))
		: cost.min * ((cost.max / cost.min) ** fraction);
};

const hintHeader = (team: LoadTeam, cost: number, random: Random): Readonly<Record<string, string>> => {
	const factor = team.hintError ** ((2 * random.uniform()) - 1);
	return team.hintError === 0 ? {} : {'x-cost-hint': (cost * factor).toFixed(2)};
};

const promptOf = (team: LoadTeam, nonce: string, tokens: number, random: Random): string => {
	const prefix = random.int(1, team.prefixes);
	const words = Array.from({length: Math.max(0, team.promptTokens - MARKER_WORDS)}, (_, index) => `${team.name}-${prefix}-${index}`);
	return [...words, `nonce=${nonce}`, `tokens=${tokens}`].join(' ');
};

/** The sampled properties from which a request is built. */
type DraftInput = {
	readonly team: LoadTeam;
	readonly mix: LoadMix;
	readonly nonce: string;
	readonly cost: number;
	readonly random: Random;
};

type Draft = Pick<RequestPlan, 'method' | 'path' | 'body' | 'streamed' | 'wanted' | 'cost'>;

const modelDraft = ({team, mix, nonce, cost, random}: DraftInput): Draft => {
	const tokens = Math.max(1, Math.round(cost - (PROMPT_TOKEN_COST * team.promptTokens)));
	const prompt = promptOf(team, nonce, tokens, random);
	const streamed = random.uniform() < mix.streamed;
	const chat = mix.kind === 'chat';
	const input = chat ? {messages: [{role: 'user', content: prompt}]} : {prompt};
	return {
		method: 'POST',
		path: chat ? '/v1/chat/completions' : '/v1/completions',
		body: JSON.stringify({
			model: mix.service, ...input, max_tokens: tokens, stream: streamed, user: team.name,
		}),
		streamed,
		wanted: {nonce, tokens},
		cost: tokens + (PROMPT_TOKEN_COST * team.promptTokens),
	};
};

const plainDraft = ({team, mix, nonce, cost, random}: DraftInput): Draft => {
	const account = `account-${random.int(1, ACCOUNTS)}`;
	const common = {streamed: false, wanted: {nonce, tokens: 0}, cost: mix.kind === 'read' ? 1 : cost};
	if (mix.kind === 'read') {
		return {
			...common, method: 'GET', body: undefined, path: `/services/${mix.service}/accounts/${account}?id=${nonce}&team=${team.name}`,
		};
	}

	const body = {
		account, amount: random.int(1, 100), debit_id: nonce, team: team.name, cost,
	};
	return {
		...common, method: 'POST', path: `/services/${mix.service}/debits`, body: JSON.stringify(body),
	};
};

/** Generates the next request of a team. `runId` makes nonces unique across runs. */
export const planRequest = (team: LoadTeam, runId: string, number: number, random: Random): RequestPlan => {
	const mix = sampleMix(team, random);
	const cost = sampleCost(mix, random);
	const nonce = `${runId}x${team.name.replaceAll(/[^a-z\d]/gv, '')}x${number}`;
	const draft = mix.kind === 'completion' || mix.kind === 'chat' ? modelDraft : plainDraft;
	return {
		team: team.name, service: mix.service, kind: mix.kind, nonce, deadlineMs: team.deadlineMs,
		...draft({
			team, mix, nonce, cost, random,
		}),
		headers: {
			authorization: `Bearer ${team.token}`,
			'content-type': 'application/json',
			'x-deadline-ms': String(Math.round(team.deadlineMs)),
			...(mix.kind === 'debit' && {'idempotency-key': nonce}),
			...hintHeader(team, mix.kind === 'read' ? 1 : cost, random),
		},
	};
};
