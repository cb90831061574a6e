/** Identifies the team of a caller by its bearer token. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {Unauthenticated} from '../../core/errors/refusals-data.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';

type TeamToken = {readonly team: string; readonly hash: Uint8Array};

/** Teams by token hash, indexed once for each configuration document. */
const tokenIndexes = new WeakMap<FleetConfig, ReadonlyMap<string, TeamToken>>();

const buildIndex = (cfg: FleetConfig): ReadonlyMap<string, TeamToken> =>
	new Map(Object.entries(cfg.teams).flatMap(([team, {tokenHashes}]) =>
		tokenHashes.map(hash => [hash, {team, hash: Buffer.from(hash, 'hex')}] as const)));

const tokenIndexOf = (cfg: FleetConfig): ReadonlyMap<string, TeamToken> => {
	const known = tokenIndexes.get(cfg);
	if (known) {
		return known;
	}

	const index = buildIndex(cfg);
	tokenIndexes.set(cfg, index);
	return index;
};

/**
 * Returns the team of an `authorization` header. Only the token's hash is looked up, and
 * the hashes are compared in constant time, so that timing reveals nothing about tokens.
 * Throws the refusal `Unauthenticated` if no team has the token.
 */
export const authenticate = (cfg: FleetConfig, authorization: string | undefined): string => {
	const token = /^bearer +(?<token>\S+)$/iv.exec(authorization ?? '')?.groups?.token;
	const hash = createHash('sha256').update(token ?? '').digest();
	const found = tokenIndexOf(cfg).get(hash.toString('hex'));
	if (token === undefined || !found || !timingSafeEqual(found.hash, hash)) {
		throw new RefusalError(Unauthenticated);
	}

	return found.team;
};
